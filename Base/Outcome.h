#pragma once

#include <string>
#include <utility>
#include <variant>

namespace sardinefold::base {

/// Proof that a request did not run. It can be made only by the few functions
/// named here, each of which stands for a fact that excludes a run; code that
/// retries or tells a caller "not run" takes one as an argument.
class NotRun
{
public:
  /// The process decided against the request before it wrote a byte of it to
  /// any connection.
  static NotRun BeforeSending(std::string aReason) { return NotRun(std::move(aReason)); }
  /// No connection to the receiver was established for this attempt.
  static NotRun NeverConnected(std::string aReason) { return NotRun(std::move(aReason)); }
  /// The receiver, who alone could have run the request, answered that it did
  /// not and will not.
  static NotRun DeniedByReceiver(std::string aReason) { return NotRun(std::move(aReason)); }

  std::string const& Reason() const { return m_reason; }

private:
  explicit NotRun(std::string aReason)
    : m_reason(std::move(aReason))
  {
  }

  std::string m_reason;
};

/// A byte of the request may have reached its receiver and no answer tells
/// whether it ran.
struct Unknown
{
  std::string m_reason;
};

/// How one attempt at a request ended.
template<typename Answer>
using Outcome = std::variant<NotRun, Answer, Unknown>;

} // namespace sardinefold::base
