#define BOOST_TEST_MODULE SiteFixture
#include "Tests/Support/PortClaim.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <set>

using namespace sardinefold;
namespace ip = boost::asio::ip;

namespace {

constexpr int kSockets = 300;
std::string const kOtherHost = "127.0.1.249";

/// Binds sockets of one protocol to different ports and returns these.
template<typename Protocol>
std::set<std::uint16_t> Occupy(boost::asio::io_context& aContext,
                               std::vector<typename Protocol::socket>& aSockets)
{
  std::set<std::uint16_t> ports;
  for (int number = 0; number < kSockets; ++number) {
    aSockets.emplace_back(aContext, typename Protocol::endpoint(ip::make_address(kOtherHost), 0));
    ports.insert(aSockets.back().local_endpoint().port());
  }
  return ports;
}

} // namespace

BOOST_AUTO_TEST_CASE(AClaimedPortIsFreeOnAllHostsAndForTcpAndUdp)
{
  boost::asio::io_context context;
  std::vector<ip::tcp::socket> streams;
  std::vector<ip::udp::socket> datagrams;
  auto occupied = Occupy<ip::tcp>(context, streams);
  occupied.merge(Occupy<ip::udp>(context, datagrams));
  for (int claim = 0; claim < kSockets; ++claim) {
    tests::PortClaim const port({ "127.0.1.1", kOtherHost });
    BOOST_TEST(!occupied.contains(port.Port()));
  }
}

BOOST_AUTO_TEST_CASE(NoTwoClaimsHaveTheSamePort)
{
  std::vector<std::unique_ptr<tests::PortClaim>> claims;
  std::set<std::uint16_t> ports;
  for (int claim = 0; claim < kSockets; ++claim) {
    claims.push_back(std::make_unique<tests::PortClaim>(std::vector<std::string>{ "127.0.1.1" }));
    ports.insert(claims.back()->Port());
  }
  BOOST_TEST(ports.size() == claims.size());
}
