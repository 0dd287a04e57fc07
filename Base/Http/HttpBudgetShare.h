#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpBudget.h"

#include <functional>
#include <memory>
#include <utility>

namespace sardinefold::base {

/// One connection's share of its process's budget, which it gives back when it ends. The
/// budget lives on while a connection does.
class HttpBudgetShare
{
public:
  HttpBudgetShare(EventLoop const& aLoop, std::shared_ptr<HttpBudget> aBudget)
    : m_loop(aLoop)
    , m_budget(std::move(aBudget))
    , m_entry(m_budget->Add({}))
  {
    m_entry->m_cut = [] {};
    m_isAdmitted = m_budget->Admit(m_entry, m_loop.Now());
  }
  HttpBudgetShare(HttpBudgetShare const&) = delete;
  HttpBudgetShare& operator=(HttpBudgetShare const&) = delete;
  ~HttpBudgetShare() { m_budget->Remove(m_entry); }

  bool IsAdmitted() const { return m_isAdmitted; }
  /// Sets what ends the connection when its room is needed.
  void OnCut(std::function<void()> aCut) { m_entry->m_cut = std::move(aCut); }
  bool HoldRequest(Bytes aBytes) { return m_budget->HoldRequest(m_entry, aBytes, m_loop.Now()); }
  void HoldResponse(Bytes aBytes) { m_budget->HoldResponse(m_entry, aBytes, m_loop.Now()); }
  bool Serve() { return m_budget->Serve(m_entry, m_loop.Now()); }
  void SetActivity(HttpActivity aActivity)
  {
    m_budget->SetActivity(m_entry, aActivity, m_loop.Now());
  }
  /// Whether somebody has just been refused.
  bool IsRoomShort() const { return m_budget->IsRoomShort(m_loop.Now()); }

private:
  EventLoop const& m_loop;
  std::shared_ptr<HttpBudget> m_budget;
  HttpBudget::Handle m_entry;
  bool m_isAdmitted = false;
};

} // namespace sardinefold::base
