#define BOOST_TEST_MODULE StreamVersion
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

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

  bool HasRun(std::size_t aEngine, std::string const& aId) const
  {
    auto const& runs = m_engines.at(aEngine)->Runs();
    return std::ranges::any_of(runs, [&](auto const& aRun) { return aRun.m_request == aId; });
  }
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
