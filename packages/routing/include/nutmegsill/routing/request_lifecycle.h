/// Attempts and retries of one request.
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
  /// The caller disconnected, or the request's deadline has passed.
  bool Abandoned = false;
  /// Part of a response was forwarded to the caller.
  bool ResponseStarted = false;
  /// The forwarded part ends with a complete event, after which another target
  /// can resume the stream.
  bool MayResume = false;
  std::string Reason;
};

/// Decides on the attempts of a request, and on the response of the router if
/// no target's response is forwarded. Not thread-safe.
class RequestLifecycle {
public:
  RequestLifecycle(const Admission &admission, PromptDescription prompt,
                   RequestIdentity identity, Time arrivedAt);

  /// Keeps who began the request's stream, so that its caller may take it up
  /// again. `callerTime` is how long the caller waits, if it states that.
  void keepOrigin(StreamKey key, std::optional<Duration> callerTime);
  /// Confines all attempts to where the stream that the request takes up began.
  void continueAt(const KnownOrigin &origin);
  /// Chooses the target of the next attempt, or returns why there is none. A
  /// reserved one is taken.
  DispatchDecision chooseTarget(Dispatcher &dispatcher, Time now);
  /// Lets a request that was not sent wait for a place; returns for how long, 0
  /// if it may not. Call `endWait` in the end.
  Duration beginWait(Dispatcher &dispatcher, Time now);
  /// Returns whether the request was waiting.
  bool endWait(Dispatcher &dispatcher);
  /// Reserves a target for the attempt after the present one; false if there is
  /// none.
  bool reserveTarget(Dispatcher &dispatcher, const Assignment &present,
                     Time now);
  /// Chooses the target of a second attempt beside `present`; nothing if there
  /// may be none.
  std::optional<Assignment> chooseHedge(Dispatcher &dispatcher,
                                        const Assignment &present, Time now);
  /// Gives up a reserved target.
  void releaseReserved(Dispatcher &dispatcher, Time now);
  /// Records that part of the response has arrived; call before it is
  /// forwarded.
  void recordProgress(Dispatcher &dispatcher, Assignment &assignment, Time now);
  /// Records the outcome of an attempt; returns whether another may follow.
  bool finishAttempt(Dispatcher &dispatcher, Assignment &assignment,
                     const AttemptOutcome &outcome, Time now);
  /// The response to send if no target's response is forwarded: 503 if no
  /// target ran the request, 429 if its team uses more than its share, 422 if
  /// engines ended under a part of its prompt, 504 if the last attempt timed
  /// out, otherwise 502.
  LocalResponse localResponse() const;

  /// Time until the request's deadline.
  Duration remainingTime(Time now) const { return Deadline - now; }
  /// Maximum time to wait for the start of a response: less than the remaining
  /// time while another target could still be tried.
  Duration attemptTimeout(const Assignment &assignment, Time now) const;
  const DispatchRequest &dispatchRequest() const { return Request; }
  std::uint32_t sentAttempts() const { return SentAttempts; }

private:
  bool mayRetry(const Dispatcher &dispatcher, const AttemptOutcome &outcome,
                Time now) const;
  /// Records who sends the first event of an attempt, and confines all later
  /// attempts to its version.
  void recordFirstEvent(Dispatcher &dispatcher, const Assignment &assignment,
                        Time now);
  /// Whether it is certain which version sent the events so far.
  bool isVersionKnown(const Dispatcher &dispatcher) const;
  void recordLossOrSurvival(Dispatcher &dispatcher,
                            const Assignment &assignment, ExchangeResult result,
                            Time now);

  DispatchRequest Request;
  Time ArrivedAt;
  Time Deadline;
  std::uint32_t SentAttempts = 0;
  /// Attempts that no target can have counted as its own.
  std::uint32_t UnsentAttempts = 0;
  /// At least one attempt may have reached a target that did not refuse it.
  bool MayHaveRun = false;
  /// Time of the first event of the present attempt.
  std::optional<Time> FirstEventAt;
  /// The response of the present attempt has lasted.
  bool Survived = false;
  AttemptOutcome LastOutcome;
  std::optional<Rejection> LastRejection;
  std::optional<Assignment> Reserved;
  std::optional<StreamKey> Key;
  std::optional<Duration> CallerTime;
  /// Attempts that have sent events of a stream.
  std::vector<Assignment> Senders;
  /// Retry-After if all attempted targets refused the request.
  Duration RefusedRetryAfter{0};
};

} // namespace nutmegsill::routing
