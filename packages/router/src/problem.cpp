#include "problem.h"

#include <nlohmann/json.hpp>

namespace nutmegsill {

const char *outcomeName(Outcome outcome) {
  return outcome == Outcome::NotRun ? "not_run" : "unknown";
}

std::string encode(const Problem &problem) {
  const nlohmann::ordered_json text{{"type", "about:blank"},
                                    {"title", problem.Title},
                                    {"status", problem.Status},
                                    {"detail", problem.Detail},
                                    {"outcome", outcomeName(problem.Ran)}};
  return text.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

Problem problemOf(Refusal why, std::chrono::seconds retryAfter) {
  switch (why) {
  case Refusal::QueueFull:
    return {429, "Too many requests", "the team's queue at this host is full",
            Outcome::NotRun, retryAfter};
  case Refusal::QueueTimeout:
    return {503, "No capacity in time",
            "no target was free before the request's deadline", Outcome::NotRun,
            retryAfter};
  case Refusal::NoPool:
    return {404, "Unknown pool", "no pool serves this model or path",
            Outcome::NotRun, std::chrono::seconds(0)};
  case Refusal::Stopping:
    return {503, "Stopping", "this host is stopping; ask for another entry",
            Outcome::NotRun, retryAfter};
  case Refusal::CutOff:
    return {503, "Cut off",
            "this host reaches neither the platform nor most hosts",
            Outcome::NotRun, retryAfter};
  case Refusal::NoConfiguration:
    return {503, "Not ready", "this host has no configuration yet",
            Outcome::NotRun, retryAfter};
  case Refusal::ClaimUnconfirmed:
    return {503, "Claim not confirmed",
            "the platform did not confirm the idempotency key in time",
            Outcome::NotRun, retryAfter};
  case Refusal::RetriesSpent:
    return {503, "No target answered",
            "targets refused the request and no retry is left", Outcome::NotRun,
            retryAfter};
  case Refusal::AttemptAbandoned:
    return {503, "Attempt abandoned",
            "the first request with this key left before it ran",
            Outcome::NotRun, retryAfter};
  case Refusal::OutcomeUnknown:
    return {502, "Outcome unknown",
            "the request may have run; its answer was lost", Outcome::Unknown,
            std::chrono::seconds(0)};
  }
  return {};
}

} // namespace nutmegsill
