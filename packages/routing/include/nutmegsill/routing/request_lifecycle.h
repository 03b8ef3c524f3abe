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
  bool RequestSent = false;
  /// The caller left, or its time is over.
  bool Abandoned = false;
  /// Part of an answer was passed on.
  bool ResponseStarted = false;
  /// The part ends with a whole event, after which another target may go on.
  bool MayResume = false;
  std::string Reason;
};

/// Decides where a request goes next, and how it ends without an answer of a
/// target. Not thread-safe.
class RequestLifecycle {
public:
  RequestLifecycle(const Admission &admission, PromptDescription prompt,
                   Time arrivedAt);

  /// The next target, or why there is none.
  DispatchDecision chooseTarget(Dispatcher &dispatcher, Time now);
  /// Notes an attempt; true when another may follow.
  bool finishAttempt(Dispatcher &dispatcher, Assignment &assignment,
                     const AttemptOutcome &outcome, Time now);
  /// The answer when no answer of a target is passed on.
  LocalResponse localResponse() const;

  /// Time until it must be answered.
  Duration remainingTime(Time now) const { return Deadline - now; }
  /// Longest time to wait for the beginning of an answer: less than what is
  /// left while another target could still be asked.
  Duration attemptTimeout(const Assignment &assignment, Time now) const;
  const DispatchRequest &dispatchRequest() const { return Request; }
  std::uint32_t sentAttempts() const { return SentAttempts; }

private:
  bool mayRetry(const AttemptOutcome &outcome, Time now) const;

  DispatchRequest Request;
  Time ArrivedAt;
  Time Deadline;
  std::uint32_t SentAttempts = 0;
  std::uint32_t UnsentAttempts = 0;
  /// Some target got it and did not state that it had not run it.
  bool MayHaveRun = false;
  AttemptOutcome LastOutcome;
  std::optional<Rejection> LastRejection;
};

} // namespace nutmegsill::routing
