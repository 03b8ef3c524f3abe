// The choice among plain targets. The other members of `Dispatcher` are in
// dispatcher.cpp.
#include "nutmegsill/routing/dispatcher.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Penalty of a failure rate of 1, in running requests, when a service target
/// is chosen.
constexpr double FailurePenalty = 12;
/// Penalty of a target in another availability zone, in running requests: a hop
/// takes a few milliseconds each way, a request about 15 ms.
constexpr double CrossZonePenalty = 0.6;
/// Time of a request to a target of another availability zone beyond that of
/// the own one: a few milliseconds each way.
constexpr Duration CrossZoneTime = milliseconds(5);
/// Usual times by which a failure rate of 1 makes a target less attractive.
constexpr double FailureTimeFactor = 2;
/// Usual time of a request before the first response, as a fraction of its
/// objective: that of both plain pools in the fleet sheets.
constexpr double PriorTimeFraction = 0.2;
/// Extra time at a target on which the usual time alone takes most of what a
/// request may take, as a fraction of the usual time.
constexpr double SlowTargetWaitFraction = 0.25;
/// Bounds of the Retry-After of a request without a place. The lower one is
/// about the time in which a target's queue or pace changes.
constexpr Duration MinPlaceRetryAfter = milliseconds(100);
constexpr Duration MaxPlaceRetryAfter = milliseconds(1'500);

Duration scaled(Duration span, double factor) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(span.count()) * factor));
}

} // namespace

DispatchDecision Dispatcher::chooseService(const DispatchRequest &request,
                                           Time now) {
  const std::vector<TargetState *> eligible = candidates(request, now);
  if (eligible.empty()) {
    return rejectWithoutTarget(request, milliseconds(300), now);
  }
  const bool isStated =
      std::any_of(eligible.begin(), eligible.end(), [this](const auto *it) {
        return Services.isStated(processOf(*it));
      });
  if (!isStated) {
    return chooseUnstatedService(eligible, request, now);
  }
  std::vector<ServiceCandidate> ranked =
      serviceCandidates(eligible, request, now);
  rankServices(ranked);
  // A stream that goes on cannot wait, so it does not line up either.
  const bool preceded =
      !request.Version &&
      Places.isPreceded(
          request.Pool, request.Ticket,
          PlaceUrgency::of(*request.Route, request.ElapsedTime, now));
  if (preceded || ranked.front().Headroom <= 0) {
    return rejectForPlaces(ranked, request);
  }
  for (const ServiceCandidate &it : ranked) {
    const TargetProcess process = processOf(*it.Target);
    if (it.Headroom > 0 && Statements.offer(process, now)) {
      Assignment out = assign(*it.Target, request, now);
      // The time of a stream is that of its events.
      out.TimeFactor = request.Route->Semantics == ExecutionSemantics::Stream
                           ? 0
                           : it.TimeFactor;
      out.ExpectedFirstEvent = it.Expected;
      Services.recordSent(process, now);
      return out;
    }
  }
  return rejectForLimits(request, {}, now);
}

DispatchDecision
Dispatcher::chooseUnstatedService(const std::vector<TargetState *> &eligible,
                                  const DispatchRequest &request, Time now) {
  ++RotationOffset;
  std::vector<std::pair<double, TargetState *>> ranked;
  for (std::size_t i = 0; i < eligible.size(); ++i) {
    // A rotating start index spreads requests over targets with equal scores.
    TargetState *it = eligible[(i + RotationOffset) % eligible.size()];
    const std::uint32_t running =
        it->RunningRequests + it->PeerLoad.RunningRequests;
    if (request.IsHedge && running >= it->Known.Entry.Slots) {
      continue;
    }
    const double load = static_cast<double>(running) * 6.0 /
                        std::max(1U, it->Known.Entry.Slots);
    const double score =
        load + FailurePenalty * it->FailureRate +
        (it->Known.Entry.Zone == OwnZone ? 0.0 : CrossZonePenalty);
    ranked.emplace_back(score, it);
  }
  if (ranked.empty()) {
    return Rejection{};
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto &a, const auto &b) { return a.first < b.first; });
  for (const auto &[score, it] : ranked) {
    if (Statements.offer(processOf(*it), now)) {
      return assign(*it, request, now);
    }
  }
  return rejectForLimits(request, {}, now);
}

std::vector<Dispatcher::ServiceCandidate>
Dispatcher::serviceCandidates(const std::vector<TargetState *> &eligible,
                              const DispatchRequest &request, Time now) {
  const Duration objective = request.Route->LatencyObjective;
  const Duration usual =
      Services.usualTime(request.Pool, scaled(objective, PriorTimeFraction));
  const double usualSeconds = std::max(1e-4, toSeconds(usual));
  const double fraction = request.Route->allowsRetry()
                              ? Policy.RepeatableTimeFraction
                              : Policy.ServiceTimeFraction;
  const Duration inTime =
      std::max(scaled(objective, fraction) - request.ElapsedTime,
               scaled(objective, Policy.LateServiceFraction));
  std::vector<ServiceCandidate> out;
  for (TargetState *it : eligible) {
    const ServiceEstimate estimate = Services.estimate(
        processOf(*it), request.Pool, it->RunningRequests,
        it->PeerLoad.RunningRequests, it->Known.Entry.Slots, now);
    const Duration away =
        it->Known.Entry.Zone == OwnZone ? Duration{0} : CrossZoneTime;
    const double slowest =
        estimate.Pace * (1 + SlowTargetWaitFraction) * usualSeconds;
    const double limit =
        std::min(std::max(toSeconds(inTime - away), slowest),
                 std::max(0.0, toSeconds(request.RemainingTime - away)));
    ServiceCandidate candidate;
    candidate.Target = it;
    candidate.TimeFactor = estimate.timeFactor();
    candidate.Expected =
        scaled(usual,
               candidate.TimeFactor + FailureTimeFactor * it->FailureRate) +
        away;
    candidate.Headroom =
        estimate.Refuses
            ? 0
            : estimate.headroom(limit / usualSeconds) * (1 - it->FailureRate);
    out.push_back(candidate);
  }
  return out;
}

void Dispatcher::rankServices(std::vector<ServiceCandidate> &candidates) {
  std::shuffle(candidates.begin(), candidates.end(), Random);
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const ServiceCandidate &a, const ServiceCandidate &b) {
                     const bool aFits = a.Headroom > 0;
                     const bool bFits = b.Headroom > 0;
                     return aFits != bFits ? aFits : a.Expected < b.Expected;
                   });
  if (View->Routers.size() == 1) {
    return;
  }
  // Routers that see the same old loads would all choose the same target. The
  // better of two random ones, drawn by headroom, spreads their requests
  // (M. Mitzenmacher, How useful is old information?, 2000).
  double total = 0;
  for (const ServiceCandidate &it : candidates) {
    total += it.Headroom;
  }
  if (total <= 0) {
    return;
  }
  const auto draw = [&] {
    double left = std::uniform_real_distribution<>(0, total)(Random);
    std::size_t i = 0;
    while (i + 1 < candidates.size() && candidates[i + 1].Headroom > 0 &&
           left >= candidates[i].Headroom) {
      left -= candidates[i].Headroom;
      ++i;
    }
    return i;
  };
  const std::size_t chosen = std::min(draw(), draw());
  std::rotate(candidates.begin(),
              candidates.begin() + static_cast<std::ptrdiff_t>(chosen),
              candidates.begin() + static_cast<std::ptrdiff_t>(chosen) + 1);
}

Rejection
Dispatcher::rejectForPlaces(const std::vector<ServiceCandidate> &candidates,
                            const DispatchRequest &request) {
  const Duration objective = request.Route->LatencyObjective;
  Duration expected = candidates.front().Expected;
  for (const ServiceCandidate &it : candidates) {
    expected = std::min(expected, it.Expected);
  }
  const Duration late =
      expected - scaled(objective, Policy.ServiceTimeFraction);
  // Callers that are rejected together do not return together.
  const double spread = std::uniform_real_distribution<>(1, 2)(Random);
  Rejection out{RejectionReason::Overloaded,
                std::clamp<Duration>(std::max(late, Duration{0}) +
                                         scaled(MinPlaceRetryAfter, spread),
                                     MinPlaceRetryAfter, MaxPlaceRetryAfter),
                expected,
                {}};
  // The caller of a stream can take it up elsewhere meanwhile.
  const bool keepsPlace =
      !request.Version &&
      (!request.Ticket || Places.isWaiting(request.Pool, *request.Ticket));
  if (keepsPlace) {
    out.MayWait = std::max(
        Duration{0},
        std::min(scaled(objective, Policy.PlaceWaitFraction) -
                     request.ElapsedTime,
                 request.RemainingTime - scaled(objective, PriorTimeFraction)));
  }
  return out;
}

Duration Dispatcher::placeRetryAfter(const DispatchRequest &request,
                                     Duration otherwise, Time now) {
  DispatchRequest next = request;
  next.ElapsedTime = Duration{0};
  next.AttemptedTargets.clear();
  const std::vector<TargetState *> eligible = candidates(next, now);
  const bool isStated =
      std::any_of(eligible.begin(), eligible.end(), [this](const auto *it) {
        return Services.isStated(processOf(*it));
      });
  return isStated
             ? rejectForPlaces(serviceCandidates(eligible, next, now), next)
                   .RetryAfter
             : otherwise;
}

void Dispatcher::recordLoad(const Assignment &assignment,
                            const StatedLoad &load, Time now) {
  const PoolRule *pool = View->Config->findPool(assignment.Pool);
  const bool isEngine = pool != nullptr && pool->Engine;
  if (assignedTarget(assignment) != nullptr) {
    Services.hear({assignment.Target, assignment.TargetStartedAtMs}, load,
                  !isEngine, now);
  }
}

bool Dispatcher::isStatedService(const Assignment &assignment) const {
  const PoolRule *pool = View->Config->findPool(assignment.Pool);
  const bool isEngine = pool != nullptr && pool->Engine;
  return !isEngine &&
         Services.isStated({assignment.Target, assignment.TargetStartedAtMs});
}

bool Dispatcher::recordServiceResult(const Assignment &assignment,
                                     ExchangeResult result, Time now) {
  if (!isStatedService(assignment)) {
    return false;
  }
  if (result == ExchangeResult::Refused) {
    Services.recordRefused(
        {assignment.Target, assignment.TargetStartedAtMs},
        Services.usualTime(assignment.Pool, MinPlaceRetryAfter), now);
  } else if (result == ExchangeResult::Completed && assignment.TimeFactor > 0) {
    Services.recordTime(assignment.Pool, now - assignment.SentAt,
                        assignment.TimeFactor);
  }
  return true;
}

} // namespace nutmegsill::routing
