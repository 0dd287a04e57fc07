#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Programs/Load/LoadPlan.h"
#include "Programs/Load/LoadReport.h"

#include <cstdint>
#include <random>
#include <vector>

namespace sardinefold::programs {

/// Sends a plan's requests to a list of entries in round-robin order.
class LoadRun
{
public:
  LoadRun(base::EventLoop& aLoop, LoadPlan aPlan, std::vector<base::Endpoint> aTargets,
          std::uint64_t aSeed, std::size_t aMaximumOpen);

  /// Completes when the plan's duration is over and every request has ended.
  boost::asio::awaitable<void> Run();
  LoadReport const& Report() const { return m_report; }

private:
  boost::asio::awaitable<void> RunStream(LoadStream const& aStream, std::uint64_t aSeed);
  boost::asio::awaitable<void> SendOne(LoadStream const& aStream, base::HttpRequest aRequest);
  base::HttpRequest MakeRequest(LoadStream const& aStream, std::mt19937_64& aGenerator);

  base::EventLoop& m_loop;
  LoadPlan m_plan;
  std::vector<base::Endpoint> m_targets;
  std::uint64_t m_seed;
  std::size_t m_maximumOpen;
  base::HttpClient m_client;
  LoadReport m_report;
  std::size_t m_open = 0;
  std::size_t m_runningStreams = 0;
  std::size_t m_nextTarget = 0;
};

} // namespace sardinefold::programs
