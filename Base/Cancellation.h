#pragma once

#include <functional>
#include <utility>

namespace sardinefold::base {

/// Cancels a pending operation on the same event loop. The operation sets the
/// action that ends its wait; Cancel() runs this action, or, if none is set,
/// SetAction() runs the next one at once.
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
