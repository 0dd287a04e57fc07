#pragma once

#include "Base/EventLoop.h"
#include "Base/Log.h"
#include "Base/ProcessProfile.h"
#include "Base/Signal.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <concepts>
#include <string>
#include <tuple>
#include <utility>

namespace sardinefold::programs {

/// Source of a process's settings.
template<typename Source>
concept SettingsSource = requires(Source const& aSource, std::string const& aText)
{
  {
    aSource.Read()
    } -> std::same_as<tl::expected<std::string, std::string>>;
  {
    aSource.Parse(aText)
    } -> std::same_as<tl::expected<base::ProcessProfile, std::string>>;
};

/// Rereads the settings on request and periodically, since they may change without
/// a signal, and passes changed ones to the program.
template<SettingsSource Source>
class SettingsFollower
{
public:
  SettingsFollower(base::EventLoop& aLoop, Source aSource, std::string aText)
    : m_loop(aLoop)
    , m_source(std::move(aSource))
    , m_text(std::move(aText))
    , m_checkRequested(aLoop.Context())
  {
  }

  /// Makes Run() reread the settings at once.
  void RequestCheck() { m_checkRequested.Notify(); }

  template<typename Program>
  boost::asio::awaitable<void> Run(Program& aProgram)
  {
    // Changes must be in force within two seconds.
    constexpr base::Duration kCheckInterval = std::chrono::seconds(1);
    while (true) {
      co_await m_checkRequested.Wait(kCheckInterval);
      Check(aProgram);
    }
  }

private:
  template<typename Program>
  void Check(Program& aProgram)
  {
    auto text = m_source.Read();
    if (!text) {
      if (!m_isUnreadable) {
        base::log::Error("settings cannot be read", { { "error", text.error() } });
      }
      m_isUnreadable = true;
      return;
    }
    m_isUnreadable = false;
    if (*text == m_text) {
      return;
    }
    m_text = std::move(*text);
    auto profile = m_source.Parse(m_text);
    if (!profile) {
      base::log::Error("settings are invalid; the previous ones stay in force",
                       { { "error", profile.error() } });
      return;
    }
    aProgram.Reload(*profile);
  }

  base::EventLoop& m_loop;
  Source m_source;
  std::string m_text;
  base::Signal m_checkRequested;
  bool m_isUnreadable = false;
};

/// Applies those of the new settings that may change at run time. The process's
/// own identity and addresses stay until it restarts.
inline void ApplyReload(base::ProcessProfile& aInForce, base::ProcessProfile const& aNew)
{
  aInForce.m_bounds = aNew.m_bounds;
  aInForce.m_objectStore = aNew.m_objectStore;
  auto const startupSettings = [](base::ProcessProfile const& aProfile) {
    return std::tie(aProfile.m_host, aProfile.m_failureDomain, aProfile.m_address,
                    aProfile.m_callers, aProfile.m_readiness, aProfile.m_peerPort,
                    aProfile.m_engine, aProfile.m_engineDeployment);
  };
  if (startupSettings(aInForce) != startupSettings(aNew)) {
    base::log::Warning(
      "changes of the process's identity and addresses take effect at its next start");
  }
  base::log::Info(
    "settings reloaded",
    { { "store", aInForce.m_objectStore.Text() },
      { "drain_ms", std::to_string(base::ToMilliseconds(aInForce.m_bounds.m_maximumDrainDelay)) },
      { "stop_grace_ms", std::to_string(base::ToMilliseconds(aInForce.m_bounds.m_stopGrace)) },
      { "retry_ratio", std::to_string(aInForce.m_bounds.m_retryRatio) },
      { "retry_allowance", std::to_string(aInForce.m_bounds.m_retryAllowance) } });
}

} // namespace sardinefold::programs
