#include "Agent/Refusal.h"

#include <array>

namespace sardinefold::agent {

namespace {

struct RefusalName
{
  Refusal m_refusal;
  std::string_view m_text;
};

constexpr std::array kRefusalNames{
  RefusalName{ Refusal::BadExchange, "bad_exchange" },
  RefusalName{ Refusal::NotAuthenticated, "peer_not_authenticated" },
  RefusalName{ Refusal::Draining, "draining" },
  RefusalName{ Refusal::OtherIncarnation, "other_incarnation" },
  RefusalName{ Refusal::StartByPassed, "start_by_passed" },
  RefusalName{ Refusal::DeniedByEntry, "denied_by_entry" },
  RefusalName{ Refusal::DuplicateExchange, "duplicate_exchange" },
  RefusalName{ Refusal::QueueFull, "queue_full" },
  RefusalName{ Refusal::DeadlinePassed, "deadline_passed" },
  RefusalName{ Refusal::UpstreamUnreachable, "upstream_unreachable" },
  RefusalName{ Refusal::UpstreamLost, "upstream_lost" },
  RefusalName{ Refusal::UpstreamTimedOut, "upstream_timed_out" },
  RefusalName{ Refusal::ModelNotAvailable, "model_not_available" },
  RefusalName{ Refusal::ClaimNotWritten, "claim_not_written" },
  RefusalName{ Refusal::KeyReused, "idempotency_key_reused" },
  RefusalName{ Refusal::EarlierOutcomeUnknown, "earlier_outcome_unknown" },
  RefusalName{ Refusal::AnswerNotKept, "answer_not_kept" },
  RefusalName{ Refusal::SuspectedOfCrashes, "suspected_of_crashes" },
};

} // namespace

std::string_view ToText(Refusal aRefusal)
{
  for (auto const& name : kRefusalNames) {
    if (name.m_refusal == aRefusal) {
      return name.m_text;
    }
  }
  return "unknown";
}

std::optional<Refusal> ParseRefusal(std::string_view aText)
{
  for (auto const& name : kRefusalNames) {
    if (name.m_text == aText) {
      return name.m_refusal;
    }
  }
  return std::nullopt;
}

} // namespace sardinefold::agent
