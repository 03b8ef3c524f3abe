/// Refusals as RFC 9457 problem documents with an explicit outcome.
#pragma once

#include "nutmegsill/event.h"

#include <string>

namespace nutmegsill {

/// Whether the refused request may have run.
enum class Outcome { NotRun, Unknown };

struct Problem {
  unsigned Status = 500;
  std::string Title;
  std::string Detail;
  Outcome Ran = Outcome::NotRun;
  /// Zero when a retry does not help.
  std::chrono::seconds RetryAfter{0};
};

/// The problem that a caller is told for a refusal.
Problem problemOf(Refusal why, std::chrono::seconds retryAfter);

/// JSON text of media type "application/problem+json".
std::string encode(const Problem &problem);

const char *outcomeName(Outcome outcome);

} // namespace nutmegsill
