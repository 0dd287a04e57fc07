#define BOOST_TEST_MODULE StreamVersion
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// A site whose two engines run different software and hold the same model.
class VersionFixture : public SiteFixture
{
public:
  VersionFixture()
    : SiteFixture({ .m_bounds = {}, .m_regions = {}, .m_secondVersion = "v2" })
  {
  }

  void BreakStreams(bool aBreaks)
  {
    for (auto const& engine : m_engines) {
      SetFault(*engine, "break_streams", aBreaks ? 1'000 : 0);
    }
  }

  /// Sends a request and returns the number of its last whole event before the stream
  /// breaks off; zero if it gets none.
  awaitable<unsigned> ReadBrokenStream(std::string aId)
  {
    auto endpoint = Callers();
    auto request = ModelRequest("/chat/x", std::move(aId), "common");
    auto reply = co_await m_client.Send(std::move(endpoint), std::move(request), 5s);
    BOOST_REQUIRE(reply.has_value());
    unsigned events = 0;
    while (!reply->IsComplete()) {
      auto const chunk = co_await reply->Read(5s);
      if (!chunk) {
        co_return events;
      }
      for (auto at = chunk->find("id: "); at != std::string::npos;
           at = chunk->find("id: ", at + 1)) {
        ++events;
      }
    }
    co_return 0;
  }

  awaitable<unsigned> StatusOfResumption(base::Endpoint aGateway, std::string aId,
                                         std::string aBegunBy, unsigned aLastEvent)
  {
    auto request = ModelRequest("/chat/x", std::move(aId), "common");
    request.m_headers.Add("Last-Event-Id", std::to_string(aLastEvent));
    if (!aBegunBy.empty()) {
      request.m_headers.Add("Resumes", std::move(aBegunBy));
    }
    auto const response = co_await m_client.Fetch(std::move(aGateway), std::move(request), 5s);
    co_return response ? response->m_status : 0U;
  }

  bool HasRun(std::size_t aEngine, std::string const& aId) const
  {
    auto const& runs = m_engines.at(aEngine)->Runs();
    return std::ranges::any_of(runs, [&](auto const& aRun) { return aRun.m_request == aId; });
  }

  std::unique_ptr<Gateway> m_started;
};

constexpr int kStreams = 8;

std::string Name(char const* aKind, int aNumber)
{
  return aKind + std::to_string(aNumber);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(NoStreamHoldsEventsOfTwoSoftwareVersions, VersionFixture)
{
  Run([&]() -> awaitable<void> {
    BreakStreams(true);
    for (int stream = 0; stream < kStreams; ++stream) {
      auto const events = co_await ReadBrokenStream(Name("r", stream));
      BOOST_TEST(events > 0U);
      BOOST_TEST(HasRun(0, Name("r", stream)) != HasRun(1, Name("r", stream)));
    }
  });
}

BOOST_FIXTURE_TEST_CASE(AGatewayThatStartedSinceResumesAStreamAtTheVersionThatBeganIt,
                        VersionFixture)
{
  Run([&]() -> awaitable<void> {
    BreakStreams(true);
    std::vector<unsigned> events;
    events.reserve(kStreams);
    for (int stream = 0; stream < kStreams; ++stream) {
      events.push_back(co_await ReadBrokenStream(Name("r", stream)));
    }
    BreakStreams(false);
    m_started = std::make_unique<Gateway>(m_loop, SecondGateway());
    BOOST_REQUIRE(m_started->Start().has_value());
    co_await m_loop.Sleep(2s);
    for (int stream = 0; stream < kStreams; ++stream) {
      auto const began = Name("r", stream);
      auto const resumes = Name("c", stream);
      auto const status = co_await StatusOfResumption(*SecondGateway().m_callers, resumes, began,
                                                      events.at(std::size_t(stream)));
      BOOST_TEST(status == 200U);
      BOOST_TEST(HasRun(0, resumes) == HasRun(0, began));
      BOOST_TEST(HasRun(1, resumes) == HasRun(1, began));
    }
  });
}

BOOST_FIXTURE_TEST_CASE(AStreamOfUnknownOriginIsRefusedAndNotRun, VersionFixture)
{
  Run([&]() -> awaitable<void> {
    auto const unknown = co_await StatusOfResumption(Callers(), "c1", "never", 3);
    BOOST_TEST(unknown == 503U);
    auto const unnamed = co_await StatusOfResumption(Callers(), "c2", "", 3);
    BOOST_TEST(unnamed == 503U);
    BOOST_TEST(RunsOf("c1") + RunsOf("c2") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(WhereOneVersionServesACallerNeedNotNameTheStreamThatItResumes, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "c1", "common");
    request.m_headers.Add("Last-Event-Id", "3");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(AStreamOfAVersionThatHasLeftIsRefusedAtOnce, VersionFixture)
{
  Run([&]() -> awaitable<void> {
    BreakStreams(true);
    auto const events = co_await ReadBrokenStream("r1");
    BreakStreams(false);
    std::size_t const began = HasRun(0, "r1") ? 0 : 1;
    SetFault(*m_engines.at(began), "unlisted", true);
    co_await m_loop.Sleep(1500ms);
    auto const startedAt = m_loop.Now();
    auto const status = co_await StatusOfResumption(Callers(), "c1", "r1", events);
    BOOST_TEST(status == 503U);
    BOOST_TEST((m_loop.Now() - startedAt < 500ms));
    BOOST_TEST(RunsOf("c1") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(AStreamGetsItsModelLoadedAtItsVersionAlthoughAnotherVersionHoldsIt,
                        VersionFixture)
{
  Run([&]() -> awaitable<void> {
    BreakStreams(true);
    unsigned events = 0;
    int stream = 0;
    for (; stream < kStreams && !HasRun(0, Name("r", stream - 1)); ++stream) {
      events = co_await ReadBrokenStream(Name("r", stream));
    }
    auto const began = Name("r", stream - 1);
    BOOST_REQUIRE(HasRun(0, began));
    BreakStreams(false);
    SetFault(*m_engines[0], "restart", true);
    co_await m_loop.Sleep(1500ms);
    auto const status = co_await StatusOfResumption(Callers(), "c1", began, events);
    BOOST_TEST(status == 200U);
    BOOST_TEST(HasRun(0, "c1"));
  });
}
