#define BOOST_TEST_MODULE Fencing
#include "Base/FencingNumber.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "ObjectStore/RandomSource.h"
#include "ObjectStore/WriteResolution.h"
#include "Programs/Loader/HostRegistration.h"
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>

using namespace sardinefold;
using namespace objectstore;
using namespace std::chrono_literals;
using base::ObjectVersion;
using base::StoreEra;
using programs::HostRegistration;

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr base::Duration kLease = 3s;

ObjectKey Key()
{
  return { ObjectKind::Agent, ObjectName::FromValidated("side-1") };
}

Object Held(ObjectVersion aVersion, std::string aValue, char const* aNonce)
{
  return { Key(), aVersion, std::move(aValue), WriteNonce::FromValidated(aNonce) };
}

WriteNonce Nonce(std::string aText)
{
  return WriteNonce::FromValidated(std::move(aText));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Numbers)

BOOST_AUTO_TEST_CASE(ANumberOfALaterEraIsHigherWhateverTheStoreCounts)
{
  auto const before = base::ToFencingNumber({ StoreEra(1), 84 });
  auto const after = base::ToFencingNumber({ StoreEra(2), 77 });
  BOOST_TEST((before && after && *before < *after));
  BOOST_TEST((base::ToFencingNumber(ObjectVersion(84)) == base::FencingNumber(84)));
  ObjectVersion const lastOfFirst{ StoreEra(0), base::FencingLayout::kNumberEnd - 1 };
  BOOST_TEST((base::ToFencingNumber(lastOfFirst) < base::ToFencingNumber({ StoreEra(1), 0 })));
}

BOOST_AUTO_TEST_CASE(EveryNumberIsExactInAJsonNumber)
{
  ObjectVersion const last{ StoreEra(base::FencingLayout::kEraEnd - 1),
                            base::FencingLayout::kNumberEnd - 1 };
  auto const number = base::ToFencingNumber(last);
  BOOST_REQUIRE(number.has_value());
  BOOST_TEST(number->Value() == (std::uint64_t(1) << 53) - 1);
  BOOST_TEST(!base::ToFencingNumber({ StoreEra(base::FencingLayout::kEraEnd), 1 }));
  BOOST_TEST(!base::ToFencingNumber({ StoreEra(1), base::FencingLayout::kNumberEnd }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Registrations)

BOOST_AUTO_TEST_CASE(ARegistrationThatTheCopyLacksIsWrittenAgainWithoutAPause)
{
  HostRegistration registration("here");
  auto const first = registration.OnRead(nullptr, Nonce("n1"), kStart);
  BOOST_REQUIRE(first.has_value());
  registration.OnWritten(first->m_condition, { StoreEra(1), 84 }, kStart);
  BOOST_TEST(!registration.IsDue());
  auto const before = *registration.Number();
  registration.OnEra(StoreEra(2));
  BOOST_TEST(registration.IsDue());
  BOOST_TEST(registration.MayOrder(kStart, kLease));
  auto const again = registration.OnRead(nullptr, Nonce("n2"), kStart + 1s);
  BOOST_REQUIRE(again.has_value());
  registration.OnWritten(again->m_condition, { StoreEra(2), 77 }, kStart + 1s);
  BOOST_TEST(!registration.IsDue());
  BOOST_TEST(registration.MayOrder(kStart + 1s, kLease));
  BOOST_TEST((*registration.Number() > before));
}

BOOST_AUTO_TEST_CASE(ARegistrationThatTheCopyHoldsIsOnlyRead)
{
  HostRegistration registration("here");
  auto const write = registration.OnRead(nullptr, Nonce("n1"), kStart);
  registration.OnWritten(write->m_condition, { StoreEra(1), 84 }, kStart);
  registration.OnEra(StoreEra(2));
  auto const held = Held({ StoreEra(2), 84 }, "here", "n1");
  BOOST_TEST(!registration.OnRead(&held, Nonce("n2"), kStart));
  BOOST_TEST(!registration.IsDue());
  BOOST_TEST((registration.Number() == base::ToFencingNumber({ StoreEra(2), 84 })));
}

BOOST_AUTO_TEST_CASE(AWriteThatMetAnotherHistoryWaitsOutTheLease)
{
  HostRegistration registration("here");
  auto const held = Held({ StoreEra(1), 84 }, "here", "earlier");
  auto const write = registration.OnRead(&held, Nonce("n1"), kStart);
  registration.OnWritten(write->m_condition, { StoreEra(2), 85 }, kStart);
  BOOST_TEST(!registration.MayOrder(kStart + kLease - 1ms, kLease));
  BOOST_TEST(registration.MayOrder(kStart + kLease, kLease));
}

BOOST_AUTO_TEST_CASE(APredecessorIsNotForgottenWhenTheFirstWriteGotNoAnswer)
{
  HostRegistration registration("here");
  auto const held = Held(ObjectVersion(84), "there", "earlier");
  BOOST_REQUIRE(registration.OnRead(&held, Nonce("n1"), kStart).has_value());
  auto const own = Held(ObjectVersion(85), "here", "n1");
  BOOST_TEST(!registration.OnRead(&own, Nonce("n2"), kStart + 1s));
  BOOST_TEST(!registration.MayOrder(kStart + 1s + kLease - 1ms, kLease));
}

BOOST_AUTO_TEST_CASE(OrdersOfALoaderThatTheStoreDoesNotKnowAreWaitedOut)
{
  for (bool const hasOrders : { false, true }) {
    HostRegistration registration("here");
    auto const write = registration.OnRead(nullptr, Nonce("n1"), kStart);
    registration.OnWritten(write->m_condition, { StoreEra(2), 60 }, kStart);
    registration.OnEngineOrders(base::OrderCount(hasOrders ? 1 : 0));
    BOOST_TEST(registration.MayOrder(kStart, kLease) == !hasOrders);
    BOOST_TEST(registration.MayOrder(kStart + kLease, kLease));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ManyRestorations)

namespace {

/// A store of one object that gives its numbers out again after a restoration. It
/// compares conditions by number alone, and may execute a write late.
class RestoredStore
{
public:
  struct State
  {
    std::uint64_t m_counter = 1;
    std::optional<Object> m_object;
  };

  std::optional<ObjectVersion> Execute(ObjectWrite const& aWrite)
  {
    auto const* const expected = std::get_if<IfVersion>(&aWrite.m_condition);
    bool const holds = expected ? m_state.m_object && m_state.m_object->m_version.Value() ==
                                                        expected->m_version.Value()
                                : !m_state.m_object;
    if (!holds) {
      return std::nullopt;
    }
    ObjectVersion const version{ m_era, ++m_state.m_counter };
    m_state.m_object = Object{ Key(), version, aWrite.m_value, aWrite.m_nonce };
    return version;
  }

  ReadResult<Object> Read() const
  {
    if (!m_state.m_object) {
      return tl::make_unexpected(ReadError{ ReadError::Kind::NotFound, "" });
    }
    auto object = *m_state.m_object;
    object.m_version = { m_era, object.m_version.Value() };
    return object;
  }

  void TakeCopy() { m_copies.push_back(m_state); }
  void Restore(std::size_t aAge)
  {
    if (m_copies.empty()) {
      return;
    }
    auto const kept = m_copies.size() - std::min(aAge, m_copies.size() - 1);
    m_copies.resize(kept);
    m_state = m_copies.back();
    m_era = m_era.Next();
  }

  State m_state;
  StoreEra m_era{ 1 };
  std::vector<State> m_copies;
  std::deque<ObjectWrite> m_late;
};

/// One process of the loader. At most one runs at a time.
struct LoaderRun
{
  explicit LoaderRun(std::string aAddress)
    : m_address(aAddress)
    , m_registration(std::move(aAddress))
  {
  }

  std::string m_address;
  HostRegistration m_registration;
  std::optional<ObjectWrite> m_write;
  std::optional<WriteResolution> m_resolution;
};

class Simulation
{
public:
  explicit Simulation(std::uint64_t aSeed)
    : m_random(aSeed)
    , m_loader(std::make_unique<LoaderRun>("address-0"))
  {
  }

  void Run()
  {
    for (int step = 0; step < 600; ++step) {
      m_now += 40ms;
      PlayFaults();
      StepLoader();
      Order();
    }
  }

  unsigned m_orders = 0;

private:
  bool Chance(double aShare) { return m_random.Fraction() < aShare; }

  void PlayFaults()
  {
    if (Chance(0.1)) {
      m_store.TakeCopy();
    }
    if (Chance(0.03)) {
      m_store.m_state.m_counter += 1 + std::uint64_t(m_random.Fraction() * 5);
    }
    if (Chance(0.02)) {
      m_store.Restore(std::size_t(m_random.Fraction() * 6));
    }
    if (!m_store.m_late.empty() && Chance(0.2)) {
      m_store.Execute(m_store.m_late.front());
      m_store.m_late.pop_front();
    }
    if (Chance(0.02)) {
      // A loader that restarts while it waits for its predecessor's orders is not
      // told apart from one that has waited.
      bool const moves = Chance(0.5) || !m_loader->m_registration.MayOrder(m_now, kLease);
      m_addresses += moves ? 1 : 0;
      ++m_loaders;
      m_loader = std::make_unique<LoaderRun>("address-" + std::to_string(m_addresses));
    }
    if (Chance(0.3)) {
      m_loader->m_registration.OnEra(m_store.m_era);
    }
  }

  void StepLoader()
  {
    auto& loader = *m_loader;
    loader.m_registration.OnEngineOrders(base::OrderCount(m_orders));
    if (Chance(0.3)) {
      return;
    }
    if (!loader.m_resolution) {
      if (loader.m_registration.IsDue()) {
        Begin(loader);
      }
      return;
    }
    auto const step = loader.m_resolution->Next(m_now);
    if (auto const* const ended = std::get_if<WriteEnded>(&step)) {
      if (ended->m_result) {
        loader.m_registration.OnWritten(loader.m_write->m_condition, *ended->m_result, m_now);
      }
      loader.m_resolution.reset();
    } else if (std::holds_alternative<ReadBack>(step)) {
      loader.m_resolution->OnReadResponse(m_store.Read(), m_now);
    } else if (std::holds_alternative<SendWrite>(step)) {
      loader.m_resolution->OnWriteResponse(Send(*loader.m_write), m_now);
    }
  }

  void Begin(LoaderRun& aLoader)
  {
    auto const held = m_store.Read();
    auto nonce = Nonce("n" + std::to_string(++m_nonces));
    auto const write =
      aLoader.m_registration.OnRead(held ? &*held : nullptr, std::move(nonce), m_now);
    if (write) {
      aLoader.m_write = ObjectWrite{ Key(), write->m_condition, aLoader.m_address, write->m_nonce };
      aLoader.m_resolution.emplace(*aLoader.m_write, m_now + 1s, BackoffLimits{}, m_nonces);
    }
  }

  WriteResult Send(ObjectWrite const& aWrite)
  {
    if (Chance(0.2)) {
      m_store.m_late.push_back(aWrite);
      return tl::make_unexpected(WriteError{ WriteError::Kind::Unknown, "late" });
    }
    auto const version = m_store.Execute(aWrite);
    if (Chance(0.3)) {
      return tl::make_unexpected(WriteError{ WriteError::Kind::Unknown, "lost" });
    }
    if (!version) {
      return tl::make_unexpected(WriteError{ WriteError::Kind::Conflict, "" });
    }
    return *version;
  }

  void Order()
  {
    auto& loader = *m_loader;
    if (!Chance(0.5) || !loader.m_registration.MayOrder(m_now, kLease)) {
      return;
    }
    auto const number = *loader.m_registration.Number();
    bool const isOtherProcess = m_lastSender != m_loaders;
    if (m_orders > 0) {
      BOOST_TEST((isOtherProcess ? number > m_highest : number >= m_highest));
      BOOST_TEST((loader.m_address == m_lastAddress || m_now - m_lastOrder >= kLease));
    }
    m_highest = number;
    m_lastSender = m_loaders;
    m_lastAddress = loader.m_address;
    m_lastOrder = m_now;
    loader.m_registration.OnOrderSent();
    ++m_orders;
  }

  RandomSource m_random;
  RestoredStore m_store;
  std::unique_ptr<LoaderRun> m_loader;
  base::Instant m_now = kStart;
  unsigned m_addresses = 0;
  std::uint64_t m_nonces = 0;
  base::FencingNumber m_highest;
  /// Counts the processes, of which the latest runs.
  unsigned m_loaders = 1;
  unsigned m_lastSender = 0;
  std::string m_lastAddress;
  base::Instant m_lastOrder{};
};

} // namespace

// A store that comes back from a copy gives its numbers out again, and may lack
// the registration of the loader that sent the last order.
BOOST_AUTO_TEST_CASE(NoEngineMeetsALowerNumberOrTwoSendersWithinTheLease)
{
  unsigned orders = 0;
  for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      Simulation simulation(seed);
      simulation.Run();
      orders += simulation.m_orders;
    }
  }
  BOOST_TEST(orders > 100'000U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Programs)

// The copy is from before the loaders registered, so that the store counts from far
// below their numbers.
BOOST_FIXTURE_TEST_CASE(ALoaderAndItsSuccessorGetHigherNumbersAfterARestoration, tests::SiteFixture)
{
  for (int count = 0; count < 50; ++count) {
    m_store.Put("notes", "one", count);
  }
  Run([&]() -> boost::asio::awaitable<void> {
    auto const first = m_loaders[0]->FencingNumber();
    BOOST_REQUIRE(first.has_value());
    m_store.Restore();
    m_store.WriteAgain();
    co_await m_loop.Sleep(2'500ms);
    auto const again = m_loaders[0]->FencingNumber();
    BOOST_TEST((again > first));
    auto profile = m_loaderProfiles[0];
    profile.m_address = "127.0.3.1";
    m_loaders.push_back(std::make_unique<Loader>(m_loop, profile));
    BOOST_REQUIRE(m_loaders.back()->Start().has_value());
    co_await m_loop.Sleep(500ms);
    BOOST_TEST((m_loaders.back()->FencingNumber() > again));
  });
}

BOOST_AUTO_TEST_SUITE_END()
