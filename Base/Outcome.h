#pragma once

#include <optional>
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

/// Proof that running a request twice does no harm, by the rule of its route.
class Repeatable
{
public:
  /// Empty unless the route says that its requests may be repeated.
  static std::optional<Repeatable> FromRoute(bool aRouteIsRepeatable)
  {
    if (!aRouteIsRepeatable) {
      return std::nullopt;
    }
    return Repeatable();
  }

private:
  Repeatable() = default;
};

/// Leave to send a request once more. It comes from proof that the earlier
/// attempt did not run or that a second run does no harm, and from nothing
/// else; a function that sends again takes one by value.
class RetryPermit
{
public:
  explicit RetryPermit(NotRun const&) {}
  RetryPermit(Unknown const&, Repeatable) {}

  RetryPermit(RetryPermit&&) = default;
  RetryPermit& operator=(RetryPermit&&) = default;
  RetryPermit(RetryPermit const&) = delete;
  RetryPermit& operator=(RetryPermit const&) = delete;
  ~RetryPermit() = default;
};

/// How one attempt at a request ended.
template<typename Response>
using Outcome = std::variant<NotRun, Response, Unknown>;

} // namespace sardinefold::base
