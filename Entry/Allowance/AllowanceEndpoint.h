#pragma once

#include "Base/Cancellation.h"
#include "Base/EventLoop.h"
#include "Base/Json.h"
#include "Base/Log.h"
#include "Base/Rpc/RpcClient.h"
#include "Base/Rpc/RpcServer.h"
#include "Entry/Allowance/AllowanceCodec.h"
#include "Entry/Allowance/AllowanceNode.h"
#include "Entry/Allowance/OwnershipPlan.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "ObjectStore/WriteSession.h"
#include "Operator/Document.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace sardinefold::entry {

/// Connects an AllowanceNode and an OwnershipPlan to the other entries, the
/// platform and the requests of this process.
template<objectstore::ObjectStore Store>
class AllowanceEndpoint
{
public:
  AllowanceEndpoint(base::EventLoop& aLoop, HolderKey aSelf, AllowanceLayout aLayout,
                    ShareIndex aLocalShare, Store& aStore, base::RpcClient aRpc)
    : m_loop(aLoop)
    , m_self(aSelf)
    , m_layout(aLayout)
    , m_store(aStore)
    , m_rpc(aRpc)
    , m_node(aSelf, aLayout, aLocalShare, aLoop.Now())
    , m_plan(std::move(aSelf), aLayout)
  {
  }

  void Register(base::RpcServer& aServer)
  {
    aServer.Register(kBucketAskMethod, [this](Json::Value const& aInput) {
      return Receive(ReadTokenRequest(aInput));
    });
    aServer.Register(kBucketGrantMethod,
                     [this](Json::Value const& aInput) { return Receive(ReadTokenGrant(aInput)); });
  }

  /// Replaces the entries of the platform's list and their addresses.
  void SetEntries(std::vector<ListedEntry> aEntries,
                  std::map<base::HostId, base::Endpoint> aAddresses)
  {
    m_addresses = std::move(aAddresses);
    m_plan.SetEntries(std::move(aEntries), m_loop.Now());
  }

  /// Replaces the workspaces' allowances by those of a document.
  void SetDocument(operators::Document const& aDocument)
  {
    for (auto const& id : m_workspaces) {
      if (!aDocument.m_workspaces.contains(id)) {
        m_node.RemoveWorkspace(id);
      }
    }
    m_workspaces.clear();
    for (auto const& [id, workspace] : aDocument.m_workspaces) {
      m_workspaces.insert(id);
      m_node.SetWorkspace(id, { workspace.m_rate, workspace.m_burst }, m_loop.Now());
    }
  }

  /// Waits for a request's tokens, at most until its deadline.
  boost::asio::awaitable<tl::expected<ReservationGranted, ReservationRefused>> Reserve(
    base::WorkspaceId aWorkspace, base::Tokens aTokens, base::Instant aDeadline)
  {
    Waiter waiter(m_loop);
    AllowanceActions actions;
    auto const id = m_node.Reserve(aWorkspace, aTokens, aDeadline, m_loop.Now(), actions);
    m_waiters.emplace(id, &waiter);
    Execute(std::move(actions));
    while (!waiter.m_granted && !waiter.m_refused) {
      waiter.m_timer.expires_at(boost::asio::steady_timer::time_point::max());
      co_await waiter.m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    m_waiters.erase(id);
    if (waiter.m_granted) {
      co_return *waiter.m_granted;
    }
    co_return tl::make_unexpected(*waiter.m_refused);
  }

  void Settle(ReservationId aId, base::Tokens aUsed)
  {
    Execute(m_node.Settle(aId, aUsed, m_loop.Now()));
  }

  /// Advances slices and shares and sends the messages that are due.
  boost::asio::awaitable<void> Run()
  {
    while (!m_isStopped) {
      Execute(m_node.Advance(m_loop.Now()));
      co_await m_loop.Sleep(kAdvanceInterval);
    }
  }

  /// Reads the ownership objects regularly and claims the slots that this process
  /// should own.
  boost::asio::awaitable<void> FollowOwnership()
  {
    while (!m_isStopped) {
      if (co_await ReadRecords()) {
        co_await TryClaims();
      }
      bool const isWaiting = !m_node.UnconfirmedSlots().empty() || m_owned.empty();
      co_await m_loop.Sleep(isWaiting ? kFirstReadInterval : kReadInterval);
    }
  }

  /// Gives back unused slices and hands over the slots that this process owns.
  boost::asio::awaitable<void> HandOver()
  {
    m_isStopped = true;
    Execute(m_node.Drain(m_loop.Now()));
    auto const owned = std::exchange(m_owned, {});
    for (auto const& slot : owned) {
      auto levels = m_node.Release(slot, m_loop.Now());
      auto const claim = m_plan.HandOver(slot, std::move(levels));
      if (claim) {
        co_await Write(*claim);
      }
    }
  }

private:
  static constexpr base::Duration kAdvanceInterval = std::chrono::milliseconds(50);
  static constexpr base::Duration kFirstReadInterval = std::chrono::milliseconds(200);
  static constexpr base::Duration kReadInterval = std::chrono::seconds(2);
  static constexpr base::Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr base::Duration kMessageTimeout = std::chrono::seconds(1);

  struct Waiter
  {
    explicit Waiter(base::EventLoop& aLoop)
      : m_timer(aLoop.Context())
    {
    }

    boost::asio::steady_timer m_timer;
    std::optional<ReservationGranted> m_granted;
    std::optional<ReservationRefused> m_refused;
  };

  template<typename Message>
  tl::expected<Json::Value, base::RpcError> Receive(DecodedBucket<Message> aMessage)
  {
    if (!aMessage) {
      return tl::make_unexpected(
        base::RpcError{ base::kRpcInvalidParameters, operators::ToText(aMessage.error()) });
    }
    Execute(m_node.Receive(*aMessage, m_loop.Now()));
    return Json::Value(Json::objectValue);
  }

  void Execute(AllowanceActions aActions)
  {
    for (auto const& granted : aActions.m_granted) {
      Wake(granted.m_id, [&](Waiter& aWaiter) { aWaiter.m_granted = granted; });
    }
    for (auto const& refused : aActions.m_refused) {
      Wake(refused.m_id, [&](Waiter& aWaiter) { aWaiter.m_refused = refused; });
    }
    for (auto& message : aActions.m_messages) {
      auto const address = m_addresses.find(message.m_to);
      if (address != m_addresses.end()) {
        m_loop.Start(Send(address->second, std::move(message)));
      }
    }
  }

  template<typename Update>
  void Wake(ReservationId aId, Update aUpdate)
  {
    auto const found = m_waiters.find(aId);
    if (found == m_waiters.end()) {
      return;
    }
    aUpdate(*found->second);
    found->second->m_timer.cancel();
  }

  /// Sends a message once. A lost grant costs its tokens at worst, and the next
  /// request repeats the reports.
  boost::asio::awaitable<void> Send(base::Endpoint aTo, AllowanceMessage aMessage)
  {
    std::string method = kBucketGrantMethod;
    Json::Value parameters;
    if (auto const* const request = std::get_if<TokenRequest>(&aMessage.m_content)) {
      method = kBucketAskMethod;
      parameters = WriteTokenRequest(*request);
    } else {
      parameters = WriteTokenGrant(std::get<TokenGrant>(aMessage.m_content));
    }
    co_await m_rpc.Call(aTo, std::move(method), std::move(parameters), kMessageTimeout);
  }

  boost::asio::awaitable<bool> ReadRecords()
  {
    auto const began = m_loop.Now();
    objectstore::ObjectName prefix;
    auto const list = co_await m_store.List(objectstore::ObjectKind::Bucket, std::move(prefix),
                                            kCallTimeout, objectstore::CallPurpose::Allowance);
    if (!list) {
      co_return false;
    }
    std::map<std::string, objectstore::Object const*> byName;
    for (auto const& object : list->m_objects) {
      byName.emplace(object.m_key.m_name.Text(), &object);
    }
    for (std::uint64_t share = 0; share < m_layout.m_shares; ++share) {
      for (std::uint64_t slot = 0; slot < m_layout.m_slots; ++slot) {
        ShareSlot const key{ ShareIndex(share), SlotIndex(slot) };
        auto const found = byName.find(BucketObjectName(key));
        OnRecord(key, found == byName.end() ? nullptr : found->second, began);
      }
    }
    co_return true;
  }

  void OnRecord(ShareSlot aSlot, objectstore::Object const* aObject, base::Instant aReadBegan)
  {
    if (!aObject) {
      m_plan.SetRecord(aSlot, std::nullopt, m_loop.Now());
      return;
    }
    auto const value = base::ParseJson(aObject->m_value);
    auto const record =
      value ? ReadBucketRecord(*value) : tl::make_unexpected(operators::DocumentProblems{});
    if (!record) {
      base::log::Error("ownership object is malformed", { { "object", BucketObjectName(aSlot) } });
      return;
    }
    m_plan.SetRecord(aSlot, StoredBucket{ *record, aObject->m_version }, m_loop.Now());
    if (record->m_owner == m_self && m_owned.contains(aSlot)) {
      m_node.ConfirmOwnership(aSlot, record->m_epoch, aReadBegan, m_loop.Now());
    } else if (!record->m_owner.m_host.IsEmpty() && record->m_owner != m_self) {
      m_owned.erase(aSlot);
      m_node.SetOwner(aSlot, record->m_owner.m_host, record->m_epoch);
    }
  }

  boost::asio::awaitable<void> TryClaims()
  {
    auto const claims = m_plan.Claims(m_loop.Now());
    for (auto const& claim : claims) {
      auto const began = m_loop.Now();
      auto const written = co_await Write(claim);
      if (m_isStopped) {
        co_return;
      }
      if (!written) {
        continue;
      }
      OwnedSlot owned{ claim.m_slot, claim.m_record.m_epoch, claim.m_expected.has_value(),
                       claim.m_record.m_levels };
      m_owned.insert(claim.m_slot);
      m_plan.SetRecord(claim.m_slot, StoredBucket{ claim.m_record, *written }, m_loop.Now());
      m_node.TakeOwnership(std::move(owned), began, m_loop.Now());
    }
  }

  objectstore::WriteTask Write(OwnershipClaim const& aClaim)
  {
    objectstore::ObjectWrite write;
    write.m_key = { objectstore::ObjectKind::Bucket,
                    objectstore::ObjectName::FromValidated(BucketObjectName(aClaim.m_slot)) };
    write.m_condition = objectstore::IfAbsent{};
    if (aClaim.m_expected) {
      write.m_condition = objectstore::IfVersion{ *aClaim.m_expected };
    }
    write.m_value = base::RenderJson(WriteBucketRecord(aClaim.m_record));
    write.m_nonce = objectstore::NewWriteNonce();
    auto const result = co_await objectstore::WriteUntilKnown(
      m_store, m_loop, std::move(write), kCallTimeout, objectstore::CallPurpose::Allowance);
    co_return result;
  }

  base::EventLoop& m_loop;
  HolderKey m_self;
  AllowanceLayout m_layout;
  Store& m_store;
  base::RpcClient m_rpc;
  AllowanceNode m_node;
  OwnershipPlan m_plan;
  std::map<base::HostId, base::Endpoint> m_addresses;
  std::set<base::WorkspaceId> m_workspaces;
  std::set<ShareSlot> m_owned;
  std::map<ReservationId, Waiter*> m_waiters;
  bool m_isStopped = false;
};

} // namespace sardinefold::entry
