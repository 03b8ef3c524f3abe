#include "nutmegsill/routing/request_lifecycle.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Fraction of the remaining time that is added to the expected time to the
/// first event; the sum is the timeout of an attempt if the request may be
/// retried on another target.
constexpr double AttemptTimeFraction = 0.5;
/// Minimum time for one attempt, as targets slow down under load.
constexpr milliseconds MinAttemptTimeout{250};
/// Maximum number of targets that are tried although they are unreachable or
/// their addresses belong to other processes.
constexpr std::uint32_t MaxUnsentAttempts = 4;
/// Retry-After if all attempted targets were unreachable or refused the
/// request.
constexpr milliseconds NotRunRetryAfter{300};
/// Time after the first event that shows that an engine bears the prompt; one
/// that the prompt crashes ends with its first tokens.
constexpr milliseconds SurvivalTime{250};

} // namespace

RequestLifecycle::RequestLifecycle(const Admission &admission,
                                   PromptDescription prompt,
                                   RequestIdentity identity, Time arrivedAt)
    : ArrivedAt(arrivedAt), Deadline(arrivedAt + admission.TimeLimit) {
  Request.Route = admission.Route;
  Request.Pool = admission.Pool;
  Request.Team = admission.Team;
  Request.Prompt = std::move(prompt);
  Request.Identity = identity;
}

void RequestLifecycle::keepOrigin(StreamKey key,
                                  std::optional<Duration> callerTime) {
  Key = key;
  CallerTime = callerTime;
}

void RequestLifecycle::continueAt(const KnownOrigin &origin) {
  Request.Pool = origin.Pool;
  Request.Version = origin.Version;
}

DispatchDecision RequestLifecycle::chooseTarget(Dispatcher &dispatcher,
                                                Time now) {
  Request.ElapsedTime = now - ArrivedAt;
  Request.RemainingTime = remainingTime(now);
  FirstEventAt.reset();
  Survived = false;
  const bool isOther =
      Reserved && Request.Version && Reserved->Version != *Request.Version;
  if (isOther || (Reserved && dispatcher.isReplaced(*Reserved))) {
    releaseReserved(dispatcher, now);
  }
  if (Reserved) {
    return *std::exchange(Reserved, std::nullopt);
  }
  DispatchDecision decision = dispatcher.chooseTarget(Request, now);
  if (const Rejection *it = std::get_if<Rejection>(&decision)) {
    LastRejection = *it;
  } else {
    endWait(dispatcher);
  }
  return decision;
}

Duration RequestLifecycle::beginWait(Dispatcher &dispatcher, Time now) {
  if (!LastRejection || LastRejection->MayWait <= Duration{0}) {
    return Duration{0};
  }
  if (!Request.Ticket) {
    Request.Ticket = dispatcher.placeQueue().enter(
        Request.Pool, Request.Team,
        PlaceUrgency::of(*Request.Route, Request.ElapsedTime, now));
  }
  return Request.Ticket ? LastRejection->MayWait : Duration{0};
}

bool RequestLifecycle::endWait(Dispatcher &dispatcher) {
  const bool waited = Request.Ticket.has_value();
  if (waited) {
    dispatcher.placeQueue().leave(Request.Pool, *Request.Ticket);
    Request.Ticket.reset();
  }
  return waited;
}

bool RequestLifecycle::reserveTarget(Dispatcher &dispatcher,
                                     const Assignment &present, Time now) {
  DispatchRequest next = Request;
  next.ElapsedTime = now - ArrivedAt;
  next.RemainingTime = remainingTime(now);
  next.AttemptedTargets.push_back(present.Target);
  next.IsRetry = true;
  DispatchDecision decision = dispatcher.chooseTarget(next, now);
  if (Assignment *it = std::get_if<Assignment>(&decision)) {
    releaseReserved(dispatcher, now);
    Reserved = std::move(*it);
    // Its time starts before it is sent, and tells nothing of a version.
    Reserved->Rollout.reset();
  }
  return Reserved.has_value();
}

std::optional<Assignment>
RequestLifecycle::chooseHedge(Dispatcher &dispatcher, const Assignment &present,
                              Time now) {
  const bool allowed =
      Request.Route->Semantics == ExecutionSemantics::Idempotent && !Reserved &&
      SentAttempts + 2 <= Request.Route->MaxAttempts &&
      remainingTime(now) > Duration{0} && dispatcher.mayRepeat(Request, now);
  if (!allowed) {
    return std::nullopt;
  }
  DispatchRequest next = Request;
  next.ElapsedTime = now - ArrivedAt;
  next.RemainingTime = remainingTime(now);
  next.AttemptedTargets.push_back(present.Target);
  next.IsRetry = true;
  next.IsHedge = true;
  DispatchDecision decision = dispatcher.chooseTarget(next, now);
  const Assignment *it = std::get_if<Assignment>(&decision);
  return it == nullptr ? std::nullopt : std::optional(*it);
}

void RequestLifecycle::releaseReserved(Dispatcher &dispatcher, Time now) {
  if (Reserved) {
    dispatcher.recordResult(*Reserved, ExchangeResult::Cancelled, now);
    dispatcher.withdrawTrial(Request, *Reserved);
    Reserved.reset();
  }
}

void RequestLifecycle::recordProgress(Dispatcher &dispatcher,
                                      Assignment &assignment, Time now) {
  dispatcher.recordProgress(assignment, now);
  if (!FirstEventAt && Request.Route->isResumableStream()) {
    recordFirstEvent(dispatcher, assignment, now);
  }
  FirstEventAt = FirstEventAt.value_or(now);
  if (!Survived && now - *FirstEventAt >= SurvivalTime) {
    Survived = true;
    dispatcher.recordSurvived(Request, assignment, now);
  }
}

void RequestLifecycle::recordFirstEvent(Dispatcher &dispatcher,
                                        const Assignment &assignment,
                                        Time now) {
  Request.Version = assignment.Version;
  Senders.push_back(assignment);
  if (Key) {
    dispatcher.recordStreamOrigin(*Key, assignment, CallerTime,
                                  Request.Route->Timeout, now);
  }
}

bool RequestLifecycle::isVersionKnown(const Dispatcher &dispatcher) const {
  return std::none_of(Senders.begin(), Senders.end(),
                      [&dispatcher](const Assignment &it) {
                        return dispatcher.isReplaced(it);
                      });
}

void RequestLifecycle::recordLossOrSurvival(Dispatcher &dispatcher,
                                            const Assignment &assignment,
                                            ExchangeResult result, Time now) {
  if (Survived) {
    return;
  }
  if (result == ExchangeResult::Completed) {
    dispatcher.recordSurvived(Request, assignment, now);
  } else if (result == ExchangeResult::TargetEnded) {
    dispatcher.recordLost(Request, assignment, now);
  }
}

bool RequestLifecycle::finishAttempt(Dispatcher &dispatcher,
                                     Assignment &assignment,
                                     const AttemptOutcome &outcome, Time now) {
  dispatcher.recordResult(assignment, outcome.Result, now);
  recordLossOrSurvival(dispatcher, assignment, outcome.Result, now);
  Request.AttemptedTargets.push_back(assignment.Target);
  LastOutcome = outcome;
  const bool misdirected = outcome.Result == ExchangeResult::Misdirected;
  // Targets count the arrival as a repetition, although nothing ran.
  Request.IsRetry = Request.IsRetry || misdirected;
  if (!outcome.RequestSent || misdirected ||
      outcome.Result == ExchangeResult::Refused) {
    dispatcher.withdrawTrial(Request, assignment);
  }
  if (!outcome.RequestSent || misdirected) {
    return ++UnsentAttempts < MaxUnsentAttempts && !outcome.Abandoned &&
           remainingTime(now) > Duration{0};
  }
  ++SentAttempts;
  MayHaveRun = MayHaveRun || outcome.Result != ExchangeResult::Refused;
  if (outcome.Result == ExchangeResult::Refused) {
    RefusedRetryAfter =
        dispatcher.placeRetryAfter(Request, NotRunRetryAfter, now);
  }
  Request.IsRetry = true;
  return mayRetry(dispatcher, outcome, now);
}

bool RequestLifecycle::mayRetry(const Dispatcher &dispatcher,
                                const AttemptOutcome &outcome, Time now) const {
  if (outcome.Abandoned || SentAttempts >= Request.Route->MaxAttempts ||
      remainingTime(now) <= Duration{0}) {
    return false;
  }
  if (outcome.Result == ExchangeResult::Refused) {
    return true;
  }
  if (outcome.Result == ExchangeResult::Completed ||
      !Request.Route->allowsRetry()) {
    return false;
  }
  if (!dispatcher.mayRepeat(Request, now)) {
    return false;
  }
  return !outcome.ResponseStarted ||
         (outcome.MayResume && isVersionKnown(dispatcher));
}

LocalResponse RequestLifecycle::localResponse() const {
  if (SentAttempts == 0 && LastRejection && !LastRejection->Evidence.empty()) {
    return {422,
            std::string(rejectionReasonName(LastRejection->Reason)) + ", " +
                LastRejection->Evidence,
            std::nullopt};
  }
  if (SentAttempts == 0 && LastRejection) {
    // Tells a team that asks for too much from a fleet that lacks capacity.
    const bool overShare =
        LastRejection->Reason == RejectionReason::TeamOverShare &&
        LastRejection->Share.Usage >= 1;
    return {
        overShare ? 429U : 503U,
        std::string(rejectionReasonName(LastRejection->Reason)) +
            ", expected_ms " +
            std::to_string(toMilliseconds(LastRejection->ExpectedFirstEvent)) +
            ", used_share " + std::to_string(LastRejection->Share.Usage) +
            ", fair_rate " + std::to_string(LastRejection->Share.Rate) +
            ", capacity " + std::to_string(LastRejection->Share.Capacity) +
            ", share_age_ms " +
            std::to_string(toMilliseconds(LastRejection->Share.Age)),
        LastRejection->RetryAfter};
  }
  const std::string then =
      LastRejection
          ? std::string(", then ") + rejectionReasonName(LastRejection->Reason)
          : "";
  if (SentAttempts == 0) {
    return {503, "unreachable: " + LastOutcome.Reason + then, NotRunRetryAfter};
  }
  if (!MayHaveRun) {
    return {503, "target_refused: " + LastOutcome.Reason + then,
            RefusedRetryAfter};
  }
  const bool late = LastOutcome.Result == ExchangeResult::TimedOut;
  return {late ? 504U : 502U, LastOutcome.Reason + then, std::nullopt};
}

Duration RequestLifecycle::attemptTimeout(const Assignment &assignment,
                                          Time now) const {
  const Duration remaining = remainingTime(now);
  const bool retryPossible = Request.Route->allowsRetry() &&
                             SentAttempts + 1 < Request.Route->MaxAttempts;
  if (!retryPossible) {
    return remaining;
  }
  const Duration allowance =
      std::chrono::duration_cast<Duration>(remaining * AttemptTimeFraction);
  return std::min(
      remaining, std::max<Duration>(MinAttemptTimeout,
                                    assignment.ExpectedFirstEvent + allowance));
}

} // namespace nutmegsill::routing
