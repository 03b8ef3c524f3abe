/// The way of one request over one or more targets.
#pragma once

#include "nutmegsill/routing/admission.h"
#include "nutmegsill/routing/dispatcher.h"

#include <string>

namespace nutmegsill::routing {

/// How one attempt ended.
struct AttemptOutcome {
  ExchangeResult Result = ExchangeResult::Unreachable;
  /// Bytes of the request may have reached the target.
  bool Sent = false;
  /// The caller left, or its time is over.
  bool Stopped = false;
  /// Part of an answer was passed on.
  bool AnswerBegun = false;
  /// The part ends with a whole event, after which another target may go on.
  bool MayContinue = false;
  std::string Reason;
};

/// Decides where a request goes next, and how it ends without an answer of a
/// target. Not thread-safe.
class RequestCourse {
public:
  RequestCourse(const Admission &admission, Prompt content, Time arrivedAt);

  /// The next target, or why there is none.
  Choice next(Dispatcher &choices, Time now);
  /// Notes an attempt; true when another may follow.
  bool ended(Dispatcher &choices, Assignment &assignment,
             const AttemptOutcome &outcome, Time now);
  /// The answer when no answer of a target is passed on.
  OwnAnswer ownAnswer() const;

  /// Time until it must be answered.
  Duration left(Time now) const { return EndsAt - now; }
  /// Longest time to wait for the beginning of an answer: less than what is
  /// left while another target could still be asked.
  Duration attemptLimit(const Assignment &assignment, Time now) const;
  const RequestFacts &facts() const { return Facts; }
  std::uint32_t sends() const { return Sends; }

private:
  bool mayRepeat(const AttemptOutcome &outcome, Time now) const;

  RequestFacts Facts;
  Time ArrivedAt;
  Time EndsAt;
  std::uint32_t Sends = 0;
  std::uint32_t Unsent = 0;
  /// Some target got it and did not state that it had not run it.
  bool MayHaveRun = false;
  AttemptOutcome Last;
  std::optional<Rejection> Refused;
};

} // namespace nutmegsill::routing
