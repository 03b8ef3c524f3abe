#include "nutmegsill/routing/request_course.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Part of the time left in which a target must begin to answer a request that
/// another target may take over.
constexpr double FirstAttemptShare = 0.5;
/// Shortest time for one attempt, as targets slow down under load.
constexpr milliseconds ShortestAttempt{250};
/// Most targets that are tried when none can be reached.
constexpr std::uint32_t MaxUnsentTries = 4;
constexpr milliseconds UnservedRetryAfter{300};

} // namespace

RequestCourse::RequestCourse(const Admission &admission, Prompt content,
                             Time arrivedAt)
    : ArrivedAt(arrivedAt), EndsAt(arrivedAt + admission.Limit) {
  Facts.Route = admission.Route;
  Facts.Pool = admission.Pool;
  Facts.Team = admission.Team;
  Facts.Content = std::move(content);
}

Choice RequestCourse::next(Dispatcher &choices, Time now) {
  Facts.Waited = now - ArrivedAt;
  Facts.Left = left(now);
  Choice choice = choices.choose(Facts, now);
  if (const Rejection *it = std::get_if<Rejection>(&choice)) {
    Refused = *it;
  }
  return choice;
}

bool RequestCourse::ended(Dispatcher &choices, Assignment &assignment,
                          const AttemptOutcome &outcome, Time now) {
  choices.ended(assignment, outcome.Result, now);
  Facts.Tried.push_back(assignment.Target);
  Last = outcome;
  if (!outcome.Sent) {
    return ++Unsent < MaxUnsentTries && !outcome.Stopped &&
           left(now) > Duration{0};
  }
  ++Sends;
  MayHaveRun = MayHaveRun || outcome.Result != ExchangeResult::Refused;
  Facts.Repeat = true;
  return mayRepeat(outcome, now);
}

bool RequestCourse::mayRepeat(const AttemptOutcome &outcome, Time now) const {
  if (outcome.Stopped || Sends >= Facts.Route->Attempts ||
      left(now) <= Duration{0}) {
    return false;
  }
  if (outcome.Result == ExchangeResult::Refused) {
    return true;
  }
  if (outcome.Result == ExchangeResult::Completed ||
      !Facts.Route->mayRepeat()) {
    return false;
  }
  return !outcome.AnswerBegun || outcome.MayContinue;
}

OwnAnswer RequestCourse::ownAnswer() const {
  if (Sends == 0 && Refused) {
    return {503,
            std::string(turnedAwayName(Refused->Why)) + ", expected_ms " +
                std::to_string(wholeMillis(Refused->Expected)) +
                ", used_share " + std::to_string(Refused->UsedShare),
            Refused->RetryAfter};
  }
  const std::string then =
      Refused ? std::string(", then ") + turnedAwayName(Refused->Why) : "";
  if (Sends == 0) {
    return {503, "unreachable: " + Last.Reason + then, UnservedRetryAfter};
  }
  if (!MayHaveRun) {
    return {503, "target_refused: " + Last.Reason + then, UnservedRetryAfter};
  }
  const bool late = Last.Result == ExchangeResult::TimedOut;
  return {late ? 504U : 502U, Last.Reason + then, std::nullopt};
}

Duration RequestCourse::attemptLimit(const Assignment &assignment,
                                     Time now) const {
  const Duration rest = left(now);
  const bool another =
      Facts.Route->mayRepeat() && Sends + 1 < Facts.Route->Attempts;
  if (!another) {
    return rest;
  }
  const Duration share =
      std::chrono::duration_cast<Duration>(rest * FirstAttemptShare);
  return std::min(
      rest, std::max<Duration>(ShortestAttempt, assignment.Expected + share));
}

} // namespace nutmegsill::routing
