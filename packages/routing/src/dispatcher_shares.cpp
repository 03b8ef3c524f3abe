// Shares of teams and the capacity that they are taken of. The other members of
// `Dispatcher` are in dispatcher.cpp and engine_choice.cpp.
#include "nutmegsill/routing/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Fewest outstanding tokens from which a prefill rate is learned.
constexpr double MinObservedTokens = 1'500;

Duration fromSeconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

} // namespace

double Dispatcher::waitFraction(double usage) const {
  if (usage > Policy.WaitRampEnd) {
    return Policy.MinWaitFraction * Policy.WaitRampEnd / usage;
  }
  const double over =
      std::clamp((usage - Policy.WaitRampStart) /
                     (Policy.WaitRampEnd - Policy.WaitRampStart),
                 0.0, 1.0);
  return Policy.MaxWaitFraction -
         over * (Policy.MaxWaitFraction - Policy.MinWaitFraction);
}

double Dispatcher::limitWeight(double usage) const {
  return usage <= Policy.WaitRampStart ? 1.0
                                       : std::pow(Policy.WaitRampStart / usage,
                                                  Policy.LimitShareExponent);
}

void Dispatcher::updateEngines() {
  std::map<PoolId, std::uint32_t> engines;
  for (const auto &[id, state] : Targets) {
    const PoolRule *pool = View->Config->findPool(state.Known.Entry.Pool);
    if (pool != nullptr && pool->Engine) {
      ++engines[state.Known.Entry.Pool];
    }
  }
  Capacity.setEngines(engines, View->Config->RatedTokensPerSecond);
}

void Dispatcher::hearPeers(Time now) {
  using Contact = FleetCapacity::PeerContact;
  const Contact contact = Recipients.size() == 0  ? Contact::NoPeers
                          : Peers.hasReports(now) ? Contact::Reporting
                                                  : Contact::Silent;
  Capacity.setPeers(Peers.poolServices(now), contact, now);
}

double Dispatcher::openFraction(const TargetState &state, const PoolRule &pool,
                                double ratedRequests, Time now) const {
  const TargetProcess process = processOf(state);
  if (state.Known.Entry.Draining || state.Known.InEvacuatedZone ||
      !Statements.isOpen(process, now)) {
    return 0;
  }
  std::optional<double> rate = Statements.statedRate(process);
  if (state.Known.ColdUntil > now && pool.ColdRequestRate > 0) {
    const double cold = pool.ColdRequestRate * Policy.ColdRateFraction;
    rate = std::min(cold, rate.value_or(cold));
  }
  // Without a size of requests a limit tells nothing.
  return !rate || std::isinf(ratedRequests)
             ? 1
             : std::clamp(*rate / ratedRequests, 0.0, 1.0);
}

void Dispatcher::updateCapacity(Time now) {
  if (!View || !Capacity.isOutdated(now)) {
    return;
  }
  std::map<PoolId, FleetCapacity::PoolUse> use;
  for (const auto &[id, rule] : View->Config->Pools) {
    if (!rule.Engine) {
      continue;
    }
    const PoolState &pool = poolState(id, now);
    FleetCapacity::PoolUse &it = use[id];
    it.Backlog = pool.Backlog;
    const double rated = Capacity.ratedRequests(id, now);
    for (const TargetState *target : pool.Targets) {
      it.OpenEngines += openFraction(*target, rule, rated, now);
    }
  }
  Capacity.update(use, now);
}

FairShare Dispatcher::fairShare(const DispatchRequest &request, Time now) {
  const bool due =
      !SharesUpdatedAt || now - *SharesUpdatedAt >= Policy.SummaryInterval;
  if (due) {
    SharesUpdatedAt = now;
    Shares.setPeerRates(Peers.teamRates());
    updateCapacity(now);
    Shares.updateFairRate(Capacity.capacity(), Capacity.backlog(), now);
  }
  FairShare out{Shares.fairShareUsage(request.Team, now), Shares.fairRate(),
                Capacity.capacity(), Peers.oldestReportAge(now)};
  out.AdmittedFraction = Shares.shareFraction(request.Team);
  // An attempt after the first belongs to a request that was admitted before.
  out.IsWithin = !request.AttemptedTargets.empty() ||
                 Shares.takeTurn(request.Team, request.Prompt.ratedTokens());
  if (!out.IsWithin) {
    out.NextTurn =
        Shares.nextTurn(request.Team, request.Prompt.ratedTokens(), now);
  }
  return out;
}

Duration Dispatcher::shortestObjective(const DispatchRequest &request) const {
  Duration out = request.Route->LatencyObjective;
  for (const RouteRule &route : View->Config->Routes) {
    const bool reachesPool = std::any_of(
        route.Pools.begin(), route.Pools.end(),
        [&](const PoolWeight &it) { return it.Pool == request.Pool; });
    if (reachesPool && route.LatencyObjective > Duration{0}) {
      out = std::min<Duration>(out, route.LatencyObjective);
    }
  }
  return out;
}

Duration Dispatcher::waitLimit(const DispatchRequest &request,
                               const EngineCandidate &engine,
                               const FairShare &share) const {
  const bool teamFits = share.AdmittedFraction >= 1;
  // What a team gets beyond its share does not depend on its objectives.
  const Duration objective =
      teamFits ? request.Route->LatencyObjective : shortestObjective(request);
  const double usage = teamFits ? std::min(share.Usage, Policy.WaitRampStart)
                       : share.IsWithin
                           ? std::min(share.Usage, Policy.MaxUsageWithinShare)
                           : share.Usage;
  const double maxWait = toSeconds(objective) * waitFraction(usage);
  const double ownPrefillTime =
      static_cast<double>(request.Prompt.InputTokens - engine.CachedTokens) /
      engine.Target->ExpectedRate;
  // A prompt whose own prefill takes most of the objective is late even on an
  // idle engine; it is still served where its queueing delay is short.
  return fromSeconds(std::max(
      maxWait, ownPrefillTime + maxWait * Policy.LargePromptWaitFraction));
}

void Dispatcher::recordFirstEvent(TargetState &state,
                                  const Assignment &assignment, Time now) {
  // Of a short prompt the time shows the decode steps in between, not the rate.
  if (assignment.OutstandingTokens < MinObservedTokens) {
    return;
  }
  const Duration elapsed = now - assignment.SentAt - Policy.FirstEventOverhead;
  state.ObservedRate.record(assignment.OutstandingTokens, elapsed, now);
  // The start of an engine is no slowness of the fleet.
  if (state.Known.ColdUntil <= assignment.SentAt) {
    Capacity.recordFirstEvent(state.Known.Entry.Pool,
                              assignment.OutstandingTokens, elapsed,
                              assignment.SentAt, now);
  }
}

} // namespace nutmegsill::routing
