#include "nutmegsill/routing/dispatcher.h"

#include "nutmegsill/rendezvous.h"

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
/// Bounds of the Retry-After of a request that was rejected as all targets are
/// at their limits.
constexpr Duration MinLimitRetryAfter = milliseconds(300);
constexpr Duration MaxLimitRetryAfter = std::chrono::seconds(5);
/// Retry-After when the retry budget is exhausted.
constexpr Duration ExhaustedBudgetRetryAfter = milliseconds(300);

} // namespace

const char *rejectionReasonName(RejectionReason reason) {
  switch (reason) {
  case RejectionReason::NoTarget:
    return "no_target";
  case RejectionReason::NoTargetOfVersion:
    return "no_target_of_version";
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
      PartHomes(policy.ZoneHomes),
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
  Services.setFleet(processes);
  Versions.setView(*View, now);
  Origins.setView(View, now);
  updatePools();
  updateEngines();
  updateColdSenders();
  updatePartHomes();
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
  hearPeers(now);
  out.ExpectedRate = Capacity.expectedRate(pool, now);
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
  out.Backlog =
      std::clamp(wait / toSeconds(Policy.BusyBacklog), 0.0, Policy.MaxBacklog);
  out.MeanRecentTokens =
      recent /
      static_cast<double>(std::max<std::size_t>(1, out.Targets.size()));
  return out;
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
    Services.receive(report.TargetStates, relayed, now);
    Statements.receive(peer, std::move(report.Statements), now);
    Versions.receive(peer, std::move(report.Rollouts), now);
    Origins.receive(report.StreamOrigins, now);
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
  const RejectionReason reason = request.Version
                                     ? RejectionReason::NoTargetOfVersion
                                     : RejectionReason::NoTarget;
  return Rejection{pause ? RejectionReason::TargetsPaused : reason,
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
  out.Version = state.Known.Entry.Version;
  out.Pool = request.Pool;
  out.StatedRate = Statements.statedRate(processOf(state));
  out.SentAt = now;
  if (AllowedVersions && !request.Version) {
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
  const bool isStated = recordServiceResult(assignment, result, now);
  // A target that asks for a pause, or states that it is full, does not fail.
  const bool isFull =
      result == ExchangeResult::Refused &&
      (isStated || Statements.pauseOf(processOf(state), now).has_value());
  if (result == ExchangeResult::Cancelled || isFull) {
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
  Capacity.recordActive(now);
  updateVersions(now);
  Origins.expire(now);
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
  updateCapacity(now);
  out.OwnReport.PoolServices = Capacity.ownReport(now);
  out.OwnReport.Rollouts = Versions.ownReport(now);
  if (forRemotePeers) {
    out.GroupReport =
        Peers.aggregateWith(out.OwnReport, Recipients.GroupPeers, now);
    out.GroupReport.PromptsSent = UnreportedGroupPrompts.take();
    out.GroupReport.Quarantine = Quarantine.takeGroupReport(now);
    out.GroupReport.Statements = Statements.groupReport(
        out.OwnReport.Statements, Recipients.GroupPeers, now);
    out.GroupReport.TargetStates = Services.takeGroupReport(now);
    out.GroupReport.Rollouts = Versions.groupReport(out.OwnReport.Rollouts,
                                                    Recipients.GroupPeers, now);
  } else {
    out.Recipients.RemotePeers.clear();
  }
  out.OwnReport.PromptsSent = UnreportedOwnPrompts.take();
  out.OwnReport.Quarantine = Quarantine.takeOwnReport(now);
  out.OwnReport.TargetStates = Services.takeOwnReport(now);
  if (!Recipients.GroupPeers.empty()) {
    out.OwnReport.StreamOrigins = Origins.takeReport(now);
  }
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
