#pragma once

#include <functional>
#include <utility>

namespace sardinefold::base {

/// Lets one party on the loop stop an operation of another. Whoever waits sets
/// the action that ends its wait; Cancel() runs it, at once or when it is set.
class Cancellation
{
public:
  void Cancel()
  {
    m_isCancelled = true;
    if (auto const action = std::exchange(m_action, nullptr)) {
      action();
    }
  }

  bool IsCancelled() const { return m_isCancelled; }

  void SetAction(std::function<void()> aAction)
  {
    if (m_isCancelled) {
      aAction();
      return;
    }
    m_action = std::move(aAction);
  }

  void ClearAction() { m_action = nullptr; }

private:
  std::function<void()> m_action;
  bool m_isCancelled = false;
};

} // namespace sardinefold::base
