#include "ObjectStore/PlatformError.h"

namespace sardinefold::objectstore {

std::string_view ToText(ReadError::Kind aKind)
{
  switch (aKind) {
    case ReadError::Kind::NotFound:
      return "not found";
    case ReadError::Kind::Unavailable:
      return "platform unavailable";
    case ReadError::Kind::Throttled:
      return "throttled by the platform";
    case ReadError::Kind::OverBudget:
      return "over the call budget";
    case ReadError::Kind::CircuitOpen:
      return "circuit open";
    case ReadError::Kind::Compacted:
      return "version compacted";
    case ReadError::Kind::Malformed:
      return "malformed answer";
  }
  return "";
}

std::string_view ToText(WriteError::Kind aKind)
{
  switch (aKind) {
    case WriteError::Kind::Conflict:
      return "conflict";
    case WriteError::Kind::NotApplied:
      return "not applied";
    case WriteError::Kind::Unknown:
      return "unknown";
    case WriteError::Kind::Superseded:
      return "superseded";
    case WriteError::Kind::TooLarge:
      return "too large";
    case WriteError::Kind::Throttled:
      return "throttled by the platform";
    case WriteError::Kind::OverBudget:
      return "over the call budget";
    case WriteError::Kind::CircuitOpen:
      return "circuit open";
  }
  return "";
}

} // namespace sardinefold::objectstore
