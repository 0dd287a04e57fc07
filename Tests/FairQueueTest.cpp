#define BOOST_TEST_MODULE FairQueue
#include "Caller/FairQueue.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::caller;
using namespace std::chrono_literals;
using base::Tokens;
using operators::RequestClass;

namespace {

base::Instant At(base::Duration aTime)
{
  return base::Instant(aTime);
}

QueueEntry Entry(std::string const& aWorkspace, std::int64_t aTokens,
                 RequestClass aClass = RequestClass::Standard, base::Duration aDeadline = 1h)
{
  return { base::WorkspaceId::FromValidated(aWorkspace), aClass, Tokens(aTokens), At(aDeadline) };
}

} // namespace

BOOST_AUTO_TEST_CASE(TokensAreSharedByWeightWhateverTheRequestsSizes)
{
  FairQueue<int> queue;
  queue.SetWeight(base::WorkspaceId::FromValidated("b"), 2);
  for (int index = 0; index < 300; ++index) {
    BOOST_TEST(queue.Push(Entry("a", 100), index, At(0s)).has_value());
    BOOST_TEST(queue.Push(Entry("b", 400), index, At(0s)).has_value());
  }
  std::map<std::string, std::int64_t> served;
  for (int index = 0; index < 150; ++index) {
    auto const entry = queue.Pop();
    served[entry->m_entry.m_workspace.Text()] += entry->m_entry.m_tokens.Value();
  }
  double const ratio = static_cast<double>(served["b"]) / static_cast<double>(served["a"]);
  BOOST_TEST(ratio > 1.9);
  BOOST_TEST(ratio < 2.1);
}

BOOST_AUTO_TEST_CASE(ABurstDelaysAnotherWorkspaceByOneRequest)
{
  FairQueue<int> queue;
  for (int index = 0; index < 100; ++index) {
    BOOST_TEST(queue.Push(Entry("noisy", 1000), index, At(0s)).has_value());
  }
  queue.Pop();
  BOOST_TEST(queue.Push(Entry("calm", 10), -1, At(0s)).has_value());
  int const first = queue.Pop()->m_item;
  int const second = queue.Pop()->m_item;
  BOOST_TEST((first == -1 || second == -1));
}

BOOST_AUTO_TEST_CASE(AnIdleWorkspaceAccumulatesNoCredit)
{
  FairQueue<int> queue;
  for (int index = 0; index < 100; ++index) {
    BOOST_TEST(queue.Push(Entry("a", 100), index, At(0s)).has_value());
  }
  for (int index = 0; index < 50; ++index) {
    queue.Pop();
  }
  for (int index = 0; index < 50; ++index) {
    BOOST_TEST(queue.Push(Entry("b", 100), index, At(0s)).has_value());
  }
  int served = 0;
  for (int index = 0; index < 20; ++index) {
    served += queue.Pop()->m_entry.m_workspace.Text() == "b" ? 1 : 0;
  }
  BOOST_TEST(served >= 9);
  BOOST_TEST(served <= 11);
}

BOOST_AUTO_TEST_CASE(ClassesOfOneWorkspaceGoInOrder)
{
  FairQueue<int> queue;
  BOOST_TEST(queue.Push(Entry("a", 10, RequestClass::Batch), 3, At(0s)).has_value());
  BOOST_TEST(queue.Push(Entry("a", 10, RequestClass::Standard), 2, At(0s)).has_value());
  BOOST_TEST(queue.Push(Entry("a", 10, RequestClass::Interactive), 1, At(0s)).has_value());
  BOOST_TEST(queue.Pop()->m_item == 1);
  BOOST_TEST(queue.Pop()->m_item == 2);
  BOOST_TEST(queue.Pop()->m_item == 3);
  BOOST_TEST(!queue.Pop().has_value());
}

BOOST_AUTO_TEST_CASE(ARequestThatWouldMissItsDeadlineIsRefusedAtOnce)
{
  FairQueue<int> queue;
  queue.SetDrainRate(base::TokensPerSecond(100));
  BOOST_TEST(queue.Push(Entry("a", 500), 1, At(0s)).has_value());
  auto const refused = queue.Push(Entry("a", 10, RequestClass::Standard, 4s), 2, At(0s));
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().m_expectedWait == 5s));
  BOOST_TEST(queue.Push(Entry("a", 10, RequestClass::Interactive, 4s), 3, At(0s)).has_value());
  BOOST_TEST(queue.Push(Entry("b", 10, RequestClass::Standard, 4s), 4, At(0s)).has_value());
}

BOOST_AUTO_TEST_CASE(ExpiredRequestsAreRemovedAndReturned)
{
  FairQueue<int> queue;
  BOOST_TEST(queue.Push(Entry("a", 10, RequestClass::Standard, 1s), 1, At(0s)).has_value());
  BOOST_TEST(queue.Push(Entry("a", 10, RequestClass::Standard, 3s), 2, At(0s)).has_value());
  BOOST_TEST(queue.TakeExpired(At(999ms)).empty());
  auto const late = queue.TakeExpired(At(1s));
  BOOST_REQUIRE(late.size() == 1);
  BOOST_TEST(late[0].m_item == 1);
  BOOST_TEST(queue.Size() == 1);
}
