#define BOOST_TEST_MODULE LoadGate
#include "WeightStore/LoadGate.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace sardinefold;
using namespace std::chrono_literals;
using operators::RequestClass;
using weightstore::LoadGate;
using weightstore::SlotKey;

namespace {

base::Instant const kStart{ 1h };

SlotKey Key(int aNumber)
{
  return { base::UpstreamId::FromValidated("u" + std::to_string(aNumber)),
           base::IncarnationId::FromValidated("i"), engine::OrderId(1) };
}

weightstore::SlotRequest LoadRequest(int aNumber, std::string const& aModel,
                                     RequestClass aClass = RequestClass::Standard,
                                     base::Duration aDeadline = 1min)
{
  return { Key(aNumber), { base::ModelId::FromValidated(aModel), {} }, aClass, kStart + aDeadline };
}

weightstore::SlotRequest AdapterRequest(int aNumber)
{
  auto request = LoadRequest(aNumber, "m");
  request.m_replica.m_adapter = base::AdapterId::FromValidated("a" + std::to_string(aNumber));
  return request;
}

bool IsGranted(weightstore::SlotResponse const& aResponse)
{
  return aResponse.m_lease.has_value();
}

} // namespace

BOOST_AUTO_TEST_CASE(GrantsFourAtOnceAndTheNextWhenOneIsReleased)
{
  LoadGate gate({}, kStart);
  for (int number = 0; number < 4; ++number) {
    BOOST_TEST(
      IsGranted(gate.RequestSlot(LoadRequest(number, "m" + std::to_string(number)), kStart)));
  }
  BOOST_TEST(!IsGranted(gate.RequestSlot(LoadRequest(4, "m4"), kStart)));
  gate.Release(Key(0), kStart + 1s);
  BOOST_TEST(IsGranted(gate.RequestSlot(LoadRequest(4, "m4"), kStart + 1s)));
  BOOST_TEST(!IsGranted(gate.RequestSlot(LoadRequest(5, "m5"), kStart + 1s)));
}

BOOST_AUTO_TEST_CASE(StaysWithinTheRateOfTheStore)
{
  LoadGate gate({}, kStart);
  int granted = 0;
  for (base::Duration time{}; time < 20s; time += 10ms) {
    if (IsGranted(gate.RequestSlot(LoadRequest(1, "m"), kStart + time))) {
      ++granted;
      gate.Release(Key(1), kStart + time);
    }
  }
  BOOST_TEST(granted <= 4 + 90);
  BOOST_TEST(granted >= 90);
}

BOOST_AUTO_TEST_CASE(OrdersByClassThenFirstReplicaThenDeadline)
{
  weightstore::StoreLimits limits;
  limits.m_concurrentLoads = 2;
  LoadGate gate(limits, kStart);
  gate.RequestSlot(LoadRequest(0, "held"), kStart);
  gate.RequestSlot(LoadRequest(1, "other"), kStart);
  gate.RequestSlot(LoadRequest(2, "report", RequestClass::Batch, 4s), kStart);
  gate.RequestSlot(LoadRequest(3, "held", RequestClass::Interactive, 4s), kStart);
  gate.RequestSlot(LoadRequest(4, "late", RequestClass::Interactive, 20s), kStart);
  gate.RequestSlot(LoadRequest(5, "soon", RequestClass::Interactive, 10s), kStart);
  std::vector<int> order;
  std::vector<weightstore::SlotRequest> const requests{
    LoadRequest(2, "report", RequestClass::Batch, 4s),
    LoadRequest(3, "held", RequestClass::Interactive, 4s),
    LoadRequest(4, "late", RequestClass::Interactive, 20s),
    LoadRequest(5, "soon", RequestClass::Interactive, 10s)
  };
  int released = 1;
  for (int round = 1; round <= 4; ++round) {
    base::Instant const now = kStart + round * 500ms;
    gate.Release(Key(released), now);
    for (auto const& request : requests) {
      int const number = request.m_key.m_upstream.Text().back() - '0';
      bool const isNew = std::ranges::find(order, number) == order.end();
      if (isNew && IsGranted(gate.RequestSlot(request, now))) {
        order.push_back(number);
        released = number;
      }
    }
  }
  std::vector<int> const expected{ 5, 4, 3, 2 };
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AdaptersHaveSlotsOfTheirOwn)
{
  LoadGate gate({}, kStart);
  int granted = 0;
  for (int number = 0; number < 40; ++number) {
    granted += IsGranted(gate.RequestSlot(AdapterRequest(number), kStart)) ? 1 : 0;
  }
  BOOST_TEST(granted == 30);
  BOOST_TEST(IsGranted(gate.RequestSlot(LoadRequest(50, "m"), kStart)));
}

BOOST_AUTO_TEST_CASE(SlotOfACrashedAgentExpiresWithItsLease)
{
  LoadGate gate({}, kStart);
  for (int number = 0; number < 4; ++number) {
    gate.RequestSlot(LoadRequest(number, "m" + std::to_string(number)), kStart);
  }
  BOOST_TEST(!IsGranted(gate.RequestSlot(LoadRequest(4, "m4", RequestClass::Batch), kStart + 29s)));
  BOOST_TEST(IsGranted(gate.RequestSlot(LoadRequest(4, "m4", RequestClass::Batch), kStart + 30s)));
}

BOOST_AUTO_TEST_CASE(RequestThatIsNotRepeatedExpires)
{
  LoadGate gate({}, kStart);
  for (int number = 0; number < 5; ++number) {
    gate.RequestSlot(LoadRequest(number, "m" + std::to_string(number)), kStart);
  }
  BOOST_TEST(gate.WaitingRequests() == 1);
  gate.Release(Key(0), kStart + 4s);
  BOOST_TEST(gate.WaitingRequests() == 0);
  BOOST_TEST(gate.HeldSlots() == 3);
}

BOOST_AUTO_TEST_CASE(LeastUrgentRequestIsNotStarved)
{
  weightstore::StoreLimits limits;
  limits.m_concurrentLoads = 1;
  LoadGate gate(limits, kStart);
  base::Duration grantedAt = 1h;
  auto const batch = LoadRequest(99, "report", RequestClass::Batch, 1h);
  for (int round = 0; round < 200 && grantedAt == 1h; ++round) {
    base::Duration const time = round * 250ms;
    auto const urgent = LoadRequest(round % 90, "m", RequestClass::Interactive, 1h);
    gate.RequestSlot(urgent, kStart + time);
    if (IsGranted(gate.RequestSlot(batch, kStart + time))) {
      grantedAt = time;
    }
    gate.Release(urgent.m_key, kStart + time + 100ms);
  }
  BOOST_TEST(grantedAt >= 10s);
  BOOST_TEST(grantedAt <= 15s);
}

BOOST_AUTO_TEST_CASE(LocalSharesTogetherStayWithinTheRate)
{
  constexpr unsigned kAgents = 12;
  std::vector<LoadGate> gates;
  for (unsigned rank = 0; rank < kAgents; ++rank) {
    gates.emplace_back(weightstore::ShareOf({}, kAgents, rank), kStart);
  }
  int granted = 0;
  for (base::Duration time{}; time < 20s; time += 10ms) {
    for (LoadGate& gate : gates) {
      if (IsGranted(gate.RequestSlot(LoadRequest(1, "m"), kStart + time))) {
        ++granted;
        gate.Release(Key(1), kStart + time);
      }
    }
  }
  BOOST_TEST(granted <= 4 + 90 + static_cast<int>(kAgents));
  BOOST_TEST(granted >= 80);
}
