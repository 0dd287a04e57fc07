#pragma once

#include "Base/Time.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

namespace sardinefold::standins {

/// Faults of a stand-in that can be switched on at run time. Each has a name
/// in the JSON object of PUT /admin/faults.
class FaultSwitches
{
public:
  void AddFlag(std::string aName, bool& aValue);
  void AddCount(std::string aName, std::uint64_t& aValue);
  void AddMilliseconds(std::string aName, base::Duration& aValue);
  void AddText(std::string aName, std::string& aValue);
  /// Adds a switch that runs the action once each time it is set to true.
  void AddAction(std::string aName, std::function<void()> aAction);

  /// Sets the switches that the object names and leaves the others unchanged.
  /// On an error, which names the field, no switch is changed.
  tl::expected<void, std::string> Apply(Json::Value const& aObject);
  Json::Value Render() const;

private:
  using Action = std::function<void()>;
  using Switch = std::variant<bool*, std::uint64_t*, base::Duration*, std::string*, Action>;

  static tl::expected<void, std::string> Check(Switch const& aSwitch, Json::Value const& aValue);
  static void Set(Switch const& aSwitch, Json::Value const& aValue);

  std::map<std::string, Switch> m_switches;
};

} // namespace sardinefold::standins
