#pragma once

#include "Base/Time.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <deque>
#include <string>

namespace sardinefold::standins {

/// Host list in which each change becomes visible after a lag.
class HostList
{
public:
  /// Sets the list from {"hosts":[...]}. The error names the field.
  tl::expected<void, std::string> Set(Json::Value const& aList, base::Instant aNow);
  Json::Value Visible(base::Instant aNow);

  base::Duration& Lag() { return m_lag; }
  bool& IsFrozen() { return m_frozen; }

private:
  struct Pending
  {
    base::Instant m_setAt;
    Json::Value m_list;
  };

  std::deque<Pending> m_pending;
  Json::Value m_visible;
  base::Duration m_lag{};
  bool m_frozen = false;
};

} // namespace sardinefold::standins
