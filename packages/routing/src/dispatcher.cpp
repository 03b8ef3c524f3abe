#include "nutmegsill/routing/dispatcher.h"

#include "nutmegsill/rendezvous.h"
#include "nutmegsill/routing/entry_routers.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Weight of the latest exchange in the moving average of the failure rate.
constexpr double FailureRateSmoothing = 0.2;
/// Initial and maximum time for which an unreachable or unresponsive target is
/// ejected.
constexpr Duration BaseEjectionTime = milliseconds(500);
constexpr Duration MaxEjectionTime = std::chrono::seconds(4);
/// Fewest outstanding tokens from which a prefill rate is learned.
constexpr double MinObservedTokens = 1'500;
/// Bounds of the Retry-After of a request that was rejected as all targets are
/// at their limits.
constexpr Duration MinLimitRetryAfter = milliseconds(300);
constexpr Duration MaxLimitRetryAfter = std::chrono::seconds(5);
/// Retry-After when the retry budget is exhausted.
constexpr Duration ExhaustedBudgetRetryAfter = milliseconds(300);
/// Penalty of a failure rate of 1, in running requests, when a service target
/// is chosen.
constexpr double FailurePenalty = 12;
/// Penalty of a target in another availability zone, in running requests: a hop
/// takes a few milliseconds each way, a request about 15 ms.
constexpr double CrossZonePenalty = 0.6;

} // namespace

const char *rejectionReasonName(RejectionReason reason) {
  switch (reason) {
  case RejectionReason::NoTarget:
    return "no_target";
  case RejectionReason::Overloaded:
    return "overloaded";
  case RejectionReason::TeamOverShare:
    return "team_over_share";
  case RejectionReason::RetryBudget:
    return "retry_budget";
  case RejectionReason::TargetsLimited:
    return "targets_limited";
  case RejectionReason::TargetsPaused:
    return "targets_paused";
  case RejectionReason::RequestQuarantined:
    return "request_quarantined";
  case RejectionReason::PromptQuarantined:
    return "prompt_quarantined";
  }
  return "unknown";
}

Dispatcher::Dispatcher(HostId self, DispatchPolicy policy,
                       RetryBudgetPolicy budget)
    : Self(std::move(self)), Policy(policy), Budget(budget),
      Peers(policy.MaxReportAge), Caches(policy.PrefixCacheRetention),
      Quarantine(Self), Statements(Self), Versions(Self, policy.Rollout),
      Random(static_cast<std::uint32_t>(rendezvousWeight(Self, "")) | 1U) {}

void Dispatcher::setView(std::shared_ptr<const FleetView> view, Time now) {
  View = std::move(view);
  std::map<TargetId, TargetState> fresh;
  for (const KnownTarget &it : View->Targets) {
    const auto old = Targets.find(it.Entry.Target);
    const bool same =
        old != Targets.end() &&
        old->second.Known.Entry.StartedAtMs == it.Entry.StartedAtMs &&
        old->second.Known.Entry.Address == it.Entry.Address;
    TargetState state = same ? std::move(old->second) : TargetState();
    if (!same) {
      state.LastProgressAt = now;
      Caches.removeTarget(it.Entry.Target);
    }
    state.Known = it;
    fresh.emplace(it.Entry.Target, std::move(state));
  }
  Targets = std::move(fresh);
  std::set<TargetProcess> processes;
  for (const auto &[id, state] : Targets) {
    processes.insert(processOf(state));
  }
  Statements.setFleet(processes, View->Routers.size(), now);
  Versions.setView(*View, now);
  updatePools();
  updateMaxEngineCount();
  updateColdSenders();
  Recipients = routing::reportRecipients(View->Routers, Self);
  std::vector<HostId> routers;
  for (const RouterEntry &it : View->Routers) {
    routers.push_back(it.Host);
    if (it.Host == Self) {
      OwnZone = it.Zone;
    }
  }
  Quarantine.setRouters(std::move(routers));
  GroupPeers = {Recipients.GroupPeers.begin(), Recipients.GroupPeers.end()};
}

void Dispatcher::updatePools() {
  for (auto &[pool, state] : Pools) {
    state.Targets.clear();
    state.SummedUpAt.reset();
  }
  for (auto &[id, state] : Targets) {
    state.Seed = rendezvousSeed(id.Text);
    Pools[state.Known.Entry.Pool].Targets.push_back(&state);
  }
}

Dispatcher::PoolState &Dispatcher::poolState(const PoolId &pool, Time now) {
  PoolState &out = Pools[pool];
  if (out.SummedUpAt && now - *out.SummedUpAt < Policy.SummaryInterval) {
    return out;
  }
  out.SummedUpAt = now;
  out.ExpectedRate = out.ObservedRate.rate(configuredPrefillRate(), now);
  double tokens = 0;
  double recent = 0;
  double active = 0;
  for (TargetState *it : out.Targets) {
    const TargetId &id = it->Known.Entry.Target;
    it->PeerLoad = Peers.loadOf(id);
    it->RecentTokens = Caches.recentTokens(id, now);
    it->ExpectedRate = it->ObservedRate.rate(out.ExpectedRate, now);
    recent += it->RecentTokens;
    if (!it->Known.Entry.Draining) {
      tokens +=
          static_cast<double>(it->PrefillTokens + it->PeerLoad.PrefillTokens);
      active += 1;
    }
  }
  const double wait = tokens / std::max(1.0, active) / out.ExpectedRate;
  out.BacklogFraction =
      std::clamp(wait / toSeconds(Policy.BusyBacklog), 0.0, 1.0);
  out.MeanRecentTokens =
      recent /
      static_cast<double>(std::max<std::size_t>(1, out.Targets.size()));
  return out;
}

void Dispatcher::updateMaxEngineCount() {
  std::size_t engines = 0;
  for (const auto &[id, state] : Targets) {
    const PoolRule *pool = View->Config->findPool(state.Known.Entry.Pool);
    engines += pool != nullptr && pool->Engine ? 1 : 0;
  }
  // The rated throughput is that of all engines, of which some may be absent
  // from this view.
  MaxEngineCount = std::max(MaxEngineCount, engines);
}

void Dispatcher::updateColdSenders() {
  // Other routers rarely have requests for the permits that they hold.
  const std::set<HostId> senders = preferredRouters(View->Routers);
  IsPreferred = senders.empty() || senders.count(Self) != 0;
  for (auto &[id, state] : Targets) {
    if (state.Known.ColdUntil == Time{}) {
      continue;
    }
    const std::uint64_t own = rendezvousWeight(Self, id.Text);
    std::uint32_t ahead = 0;
    for (const HostId &it : senders) {
      if (it != Self && rendezvousWeight(it, id.Text) > own) {
        ++ahead;
      }
    }
    state.MaySendWhileCold = IsPreferred && ahead < Policy.ColdSenderCount;
  }
}

void Dispatcher::receiveReport(const HostId &peer, LoadReport report,
                               Time now) {
  const bool own = peer == Self;
  const bool relayed = own || GroupPeers.count(peer) > 0;
  for (const SentPrompts &it : report.PromptsSent) {
    Caches.recordSent(it, now);
    if (own) {
      UnreportedOwnPrompts.add(it);
    }
    if (relayed) {
      UnreportedGroupPrompts.add(it);
    }
  }
  Quarantine.receive(report.Quarantine, relayed, now);
  if (!own) {
    Statements.receive(peer, std::move(report.Statements), now);
    Versions.receive(peer, std::move(report.Rollouts), now);
  }
  if (peer != Self) {
    Peers.receiveReport(peer, std::move(report), now);
  }
}

void Dispatcher::recordRequest(const DispatchRequest &request, Time now) {
  Budget.recordRequest(request.Pool, now);
  if (request.Prompt.InputTokens > 0) {
    Shares.recordRequested(request.Team, request.Prompt.ratedTokens(), now);
  }
}

Rejection Dispatcher::rejectWithoutTarget(const DispatchRequest &request,
                                          Duration retryAfter, Time now) {
  std::optional<Duration> pause;
  for (const TargetState *it : Pools[request.Pool].Targets) {
    const std::optional<Duration> own = Statements.pauseOf(processOf(*it), now);
    pause = own ? std::min(*own, pause.value_or(*own)) : pause;
  }
  return Rejection{pause ? RejectionReason::TargetsPaused
                         : RejectionReason::NoTarget,
                   std::max(retryAfter, pause.value_or(Duration{0})),
                   {},
                   {}};
}

Rejection Dispatcher::rejectForLimits(const DispatchRequest &request,
                                      const FairShare &share, Time now) {
  PoolState &pool = Pools[request.Pool];
  double rate = 0;
  for (const TargetState *it : pool.Targets) {
    rate += Statements.ownRate(processOf(*it), now).value_or(0);
  }
  const Duration spacing =
      std::min(MaxLimitRetryAfter,
               Duration(static_cast<std::int64_t>(1e6 / std::max(rate, 1e-3))));
  pool.LastReturnAt = std::min(std::max(now, pool.LastReturnAt) + spacing,
                               now + MaxLimitRetryAfter);
  return Rejection{RejectionReason::TargetsLimited,
                   std::max(MinLimitRetryAfter, pool.LastReturnAt - now),
                   {},
                   share};
}

Assignment Dispatcher::assign(TargetState &state,
                              const DispatchRequest &request, Time now) {
  if (state.Known.ColdUntil > now) {
    state.ColdPermits -= 1.0;
  }
  if (state.RunningRequests == 0) {
    state.LastProgressAt = now;
  }
  ++state.RunningRequests;
  Assignment out;
  out.Target = state.Known.Entry.Target;
  out.Address = state.Known.Entry.Address;
  out.TargetStartedAtMs = state.Known.Entry.StartedAtMs;
  out.Pool = request.Pool;
  out.StatedRate = Statements.statedRate(processOf(state));
  out.SentAt = now;
  if (AllowedVersions) {
    out.Rollout = Versions.recordSent(request.Route->Name, state.Known.Entry);
  }
  out.OldestReportAgeMs =
      std::chrono::duration_cast<milliseconds>(Peers.oldestReportAge(now))
          .count();
  return out;
}

DispatchDecision Dispatcher::chooseTarget(const DispatchRequest &request,
                                          Time now) {
  const std::size_t routers = View->Routers.size();
  if (request.IsRetry && !Budget.allowsRetry(request.Pool, routers, now)) {
    return Rejection{
        RejectionReason::RetryBudget, ExhaustedBudgetRetryAfter, {}, {}};
  }
  if (const std::optional<Rejection> it = rejectQuarantined(request, now)) {
    return *it;
  }
  DispatchDecision decision = chooseByVersion(request, now);
  if (Assignment *it = std::get_if<Assignment>(&decision)) {
    it->IsTrial = Quarantine.recordSent(suspectOf(request), now);
    if (request.IsRetry) {
      Budget.recordRetry(request.Pool, now);
    }
  }
  return decision;
}

DispatchDecision Dispatcher::chooseService(const DispatchRequest &request,
                                           Time now) {
  const std::vector<TargetState *> eligible = candidates(request, now);
  if (eligible.empty()) {
    return rejectWithoutTarget(request, milliseconds(300), now);
  }
  ++RotationOffset;
  std::vector<std::pair<double, TargetState *>> ranked;
  for (std::size_t i = 0; i < eligible.size(); ++i) {
    // A rotating start index spreads requests over targets with equal scores.
    TargetState *it = eligible[(i + RotationOffset) % eligible.size()];
    const std::uint32_t running =
        it->RunningRequests + it->PeerLoad.RunningRequests;
    const double load = static_cast<double>(running) * 6.0 /
                        std::max(1U, it->Known.Entry.Slots);
    const double score =
        load + FailurePenalty * it->FailureRate +
        (it->Known.Entry.Zone == OwnZone ? 0.0 : CrossZonePenalty);
    ranked.emplace_back(score, it);
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

Dispatcher::TargetState *
Dispatcher::assignedTarget(const Assignment &assignment) {
  const auto it = Targets.find(assignment.Target);
  const bool same =
      it != Targets.end() &&
      it->second.Known.Entry.StartedAtMs == assignment.TargetStartedAtMs &&
      it->second.Known.Entry.Address == assignment.Address;
  return same ? &it->second : nullptr;
}

void Dispatcher::recordProgress(Assignment &assignment, Time now) {
  if (TargetState *state = assignedTarget(assignment)) {
    state->PrefillTokens -=
        std::min<std::uint64_t>(state->PrefillTokens, assignment.PrefillTokens);
    state->LastProgressAt = now;
    recordFirstEvent(*state, assignment, now);
  }
  assignment.PrefillTokens = 0;
  assignment.OutstandingTokens = 0;
  if (assignment.Rollout && !assignment.Rollout->FirstPartAt) {
    assignment.Rollout->FirstPartAt = now;
  }
}

void Dispatcher::recordFirstEvent(TargetState &state,
                                  const Assignment &assignment, Time now) {
  // Of a short prompt the time shows the decode steps in between, not the rate.
  if (assignment.OutstandingTokens < MinObservedTokens) {
    return;
  }
  const Duration elapsed = now - assignment.SentAt - Policy.FirstEventOverhead;
  state.ObservedRate.record(assignment.OutstandingTokens, elapsed, now);
  Pools[state.Known.Entry.Pool].ObservedRate.record(
      assignment.OutstandingTokens, elapsed, now);
}

void Dispatcher::recordResult(Assignment &assignment, ExchangeResult result,
                              Time now) {
  recordVersionResult(assignment, result, now);
  TargetState *known = assignedTarget(assignment);
  if (known == nullptr) {
    return;
  }
  TargetState &state = *known;
  state.PrefillTokens -=
      std::min<std::uint64_t>(state.PrefillTokens, assignment.PrefillTokens);
  assignment.PrefillTokens = 0;
  state.RunningRequests -= std::min(state.RunningRequests, 1U);
  // A target that asks for a pause does not fail.
  const bool pauses = result == ExchangeResult::Refused &&
                      Statements.pauseOf(processOf(state), now).has_value();
  if (result == ExchangeResult::Cancelled || pauses) {
    return;
  }
  const bool succeeded = result == ExchangeResult::Completed;
  state.FailureRate = state.FailureRate * (1 - FailureRateSmoothing) +
                      (succeeded ? 0.0 : FailureRateSmoothing);
  if (succeeded || result == ExchangeResult::Failed) {
    state.LastProgressAt = now;
    state.EjectionTime = Duration{0};
    return;
  }
  // A misdirected request shows that the target's process has ended.
  const bool unresponsive = result == ExchangeResult::Unreachable ||
                            result == ExchangeResult::Misdirected ||
                            result == ExchangeResult::TargetEnded ||
                            result == ExchangeResult::TimedOut;
  if (unresponsive) {
    state.EjectionTime =
        state.EjectionTime == Duration{0}
            ? BaseEjectionTime
            : std::min(MaxEjectionTime, state.EjectionTime * 2);
    state.EjectedUntil = now + state.EjectionTime;
  }
}

void Dispatcher::recordStatement(const Assignment &assignment,
                                 const TargetStatement &statement, Time now) {
  Statements.hear({assignment.Target, assignment.TargetStartedAtMs}, statement,
                  assignment.SentAt, now);
}

OutgoingReports Dispatcher::collectReports(Time now, bool forRemotePeers) {
  Caches.expire(now);
  Peers.expire(now);
  Quarantine.update(now);
  updateVersions(now);
  OutgoingReports out;
  out.Recipients = Recipients;
  for (const auto &[id, state] : Targets) {
    if (state.PrefillTokens > 0 || state.RunningRequests > 0) {
      out.OwnReport.Targets.push_back(
          {id, state.PrefillTokens, state.RunningRequests});
    }
  }
  for (const auto &[team, rate] : Shares.ownRates(now)) {
    if (rate.Requested >= 1 || rate.Served >= 1) {
      out.OwnReport.Teams.push_back({team, rate});
    }
  }
  out.OwnReport.Statements = Statements.ownReport(now);
  out.OwnReport.Rollouts = Versions.ownReport(now);
  if (forRemotePeers) {
    out.GroupReport = Peers.aggregateWith(out.OwnReport, Recipients.GroupPeers);
    out.GroupReport.PromptsSent = UnreportedGroupPrompts.take();
    out.GroupReport.Quarantine = Quarantine.takeGroupReport(now);
    out.GroupReport.Statements = Statements.groupReport(
        out.OwnReport.Statements, Recipients.GroupPeers, now);
    out.GroupReport.Rollouts = Versions.groupReport(out.OwnReport.Rollouts,
                                                    Recipients.GroupPeers, now);
  } else {
    out.Recipients.RemotePeers.clear();
  }
  out.OwnReport.PromptsSent = UnreportedOwnPrompts.take();
  out.OwnReport.Quarantine = Quarantine.takeOwnReport(now);
  return out;
}

std::uint32_t Dispatcher::maxConnectionsPerTarget(const PoolId &pool) const {
  const PoolRule *rule =
      View && View->Config ? View->Config->findPool(pool) : nullptr;
  if (rule == nullptr || rule->MaxConnections == 0) {
    return 0;
  }
  const std::size_t routers = std::max<std::size_t>(1, View->Routers.size());
  return std::max<std::uint32_t>(1, rule->MaxConnections /
                                        static_cast<std::uint32_t>(routers));
}

} // namespace nutmegsill::routing
