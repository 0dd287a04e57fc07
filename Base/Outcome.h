#pragma once

#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace sardinefold::base {

/// Proof that a request did not run. Only the functions below create one, and each
/// of them stands for a fact that rules out a run. Code that retries a request or
/// reports "not run" to a caller takes a proof as an argument.
class NotRun
{
public:
  /// The process rejected the request before it wrote any byte of it to a
  /// connection.
  static NotRun BeforeSending(std::string aReason) { return NotRun(std::move(aReason)); }
  /// No connection to the receiver was established for this attempt.
  static NotRun NeverConnected(std::string aReason) { return NotRun(std::move(aReason)); }
  /// The receiver, which alone could have run the request, responded that it did
  /// not run it and will not.
  static NotRun DeniedByReceiver(std::string aReason) { return NotRun(std::move(aReason)); }

  std::string const& Reason() const { return m_reason; }

private:
  explicit NotRun(std::string aReason)
    : m_reason(std::move(aReason))
  {
  }

  std::string m_reason;
};

/// At least one byte of the request may have reached the receiver, and no response
/// says whether the request ran.
struct Unknown
{
  std::string m_reason;
};

/// Proof that the request's route declares its requests safe to run twice.
class Repeatable
{
public:
  /// Returns an empty value unless the route allows its requests to be repeated.
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

/// Permission to send a request once more. It can only be created from proof that
/// the earlier attempt did not run or that a second run is harmless. A function
/// that resends a request takes the permit by value.
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

/// The outcome of one attempt of a request.
template<typename Response>
using Outcome = std::variant<NotRun, Response, Unknown>;

} // namespace sardinefold::base
