#include "nutmegsill/routing/dispatcher.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Weight of one exchange in a target's failure rate.
constexpr double FailureWeight = 0.2;
/// First and longest time for which an unreachable target is avoided.
constexpr Duration FirstAvoid = milliseconds(500);
constexpr Duration LongestAvoid = std::chrono::seconds(4);
/// Silence of a target with running requests after which it is avoided.
constexpr Duration SilenceLimit = milliseconds(1'500);
/// Pause that a caller is told to make when repeats are used up.
constexpr Duration ShortestRetryAfter = milliseconds(300);
/// Failure rate, as running requests, in the choice of a plain service.
constexpr double FailureAsLoad = 12;
/// A target in another zone, as running requests: a hop costs a few
/// milliseconds each way, a request takes about fifteen.
constexpr double OtherZoneAsLoad = 0.6;

bool contains(const std::vector<TargetId> &list, const TargetId &id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

const char *turnedAwayName(TurnedAway why) {
  switch (why) {
  case TurnedAway::NoTarget:
    return "no_target";
  case TurnedAway::Overloaded:
    return "overloaded";
  case TurnedAway::TeamOverShare:
    return "team_over_share";
  case TurnedAway::RetryBudget:
    return "retry_budget";
  }
  return "unknown";
}

Dispatcher::Dispatcher(HostId self, DispatchPolicy policy,
                       RetryBudgetPolicy budget)
    : Self(std::move(self)), Policy(policy), Budget(budget),
      Peers(policy.ReportLife), Caches(policy.CacheMemory),
      Random(static_cast<std::uint32_t>(rendezvousWeight(Self, "")) | 1U) {}

void Dispatcher::adopt(std::shared_ptr<const FleetView> view, Time now) {
  View = std::move(view);
  std::map<TargetId, TargetState> fresh;
  for (const KnownTarget &it : View->Targets) {
    const auto old = Targets.find(it.Entry.Target);
    const bool same = old != Targets.end() &&
                      old->second.Known.Entry.BornMs == it.Entry.BornMs &&
                      old->second.Known.Entry.Address == it.Entry.Address;
    TargetState state = same ? std::move(old->second) : TargetState();
    if (!same) {
      state.LastProgress = now;
      Caches.drop(it.Entry.Target);
    }
    state.Known = it;
    fresh.emplace(it.Entry.Target, std::move(state));
  }
  Targets = std::move(fresh);
  countEngines();
  markColdSenders();
  Paths = reportPaths(View->Routers, Self);
  Row = {Paths.Row.begin(), Paths.Row.end()};
}

void Dispatcher::countEngines() {
  std::size_t engines = 0;
  for (const auto &[id, state] : Targets) {
    const PoolRule *pool = View->Config->pool(state.Known.Entry.Pool);
    engines += pool != nullptr && pool->Engine ? 1 : 0;
  }
  // The rated throughput is that of all engines; some may be missing now.
  MostEngines = std::max(MostEngines, engines);
}

void Dispatcher::markColdSenders() {
  for (auto &[id, state] : Targets) {
    if (state.Known.ColdUntil == Time{}) {
      continue;
    }
    const std::uint64_t own = rendezvousWeight(Self, id.Text);
    std::uint32_t ahead = 0;
    for (const RouterEntry &it : View->Routers) {
      if (it.Host != Self && rendezvousWeight(it.Host, id.Text) > own) {
        ++ahead;
      }
    }
    state.ColdSender = ahead < Policy.ColdSenders;
  }
}

void Dispatcher::hear(const HostId &peer, LoadReport report, Time now) {
  const bool own = peer == Self;
  const bool relayed = own || Row.count(peer) > 0;
  for (const SentPrompts &it : report.Sent) {
    Caches.sent(it, now);
    if (own) {
      SentHere.add(it);
    }
    if (relayed) {
      SentByRow.add(it);
    }
  }
  if (peer != Self) {
    Peers.hear(peer, std::move(report), now);
  }
}

void Dispatcher::arrived(const RequestFacts &request, Time now) {
  Budget.arrived(request.Pool, now);
  if (request.Content.InputTokens > 0) {
    Shares.asked(request.Team, request.Content.ratedTokens(), now);
  }
}

bool Dispatcher::usable(TargetState &state, const RequestFacts &request,
                        Time now) {
  const TargetEntry &entry = state.Known.Entry;
  if (entry.Pool != request.Pool || entry.Draining || state.Known.ZoneOut ||
      contains(request.Tried, entry.Target)) {
    return false;
  }
  if (state.Known.ColdUntil <= now) {
    return true;
  }
  const PoolRule *pool = View->Config->pool(entry.Pool);
  if (pool == nullptr || pool->ColdRate <= 0) {
    return true;
  }
  if (!state.ColdSender) {
    return false;
  }
  const double rate = pool->ColdRate * Policy.ColdShare / Policy.ColdSenders;
  state.ColdPermits = std::min(
      1.0, state.ColdPermits + rate * inSeconds(now - state.ColdPermitsAt));
  state.ColdPermitsAt = now;
  return state.ColdPermits >= 1.0;
}

std::vector<Dispatcher::TargetState *>
Dispatcher::candidates(const RequestFacts &request, Time now) {
  std::vector<TargetState *> good;
  std::vector<TargetState *> doubtful;
  for (auto &[id, state] : Targets) {
    if (!usable(state, request, now)) {
      continue;
    }
    const bool silent =
        state.Running > 0 && now - state.LastProgress > SilenceLimit;
    (state.AvoidUntil > now || silent ? doubtful : good).push_back(&state);
  }
  return good.empty() ? doubtful : good;
}

Assignment Dispatcher::assign(TargetState &state, const RequestFacts &request,
                              Time now) {
  if (state.Known.ColdUntil > now) {
    state.ColdPermits -= 1.0;
  }
  if (state.Running == 0) {
    state.LastProgress = now;
  }
  ++state.Running;
  Assignment out;
  out.Target = state.Known.Entry.Target;
  out.Address = state.Known.Entry.Address;
  out.Pool = request.Pool;
  out.SentAt = now;
  out.ReportAgeMs =
      std::chrono::duration_cast<milliseconds>(Peers.oldest(now)).count();
  return out;
}

Choice Dispatcher::choose(const RequestFacts &request, Time now) {
  const PoolRule *pool = View->Config->pool(request.Pool);
  Choice choice = pool != nullptr && pool->Engine ? chooseEngine(request, now)
                                                  : chooseService(request, now);
  Assignment *chosen = std::get_if<Assignment>(&choice);
  if (chosen != nullptr && request.Repeat &&
      !Budget.take(request.Pool, View->Routers.size(), now)) {
    ended(*chosen, ExchangeResult::Cancelled, now);
    return Rejection{TurnedAway::RetryBudget, ShortestRetryAfter, {}, 0};
  }
  return choice;
}

Choice Dispatcher::chooseService(const RequestFacts &request, Time now) {
  const std::vector<TargetState *> open = candidates(request, now);
  if (open.empty()) {
    return Rejection{TurnedAway::NoTarget, milliseconds(300), {}, 0};
  }
  ZoneId ownZone;
  for (const RouterEntry &it : View->Routers) {
    if (it.Host == Self) {
      ownZone = it.Zone;
    }
  }
  ++Turn;
  TargetState *best = nullptr;
  double bestScore = 0;
  for (std::size_t i = 0; i < open.size(); ++i) {
    // Starting at a rotating place spreads requests among equals.
    TargetState *it = open[(i + Turn) % open.size()];
    const std::uint32_t running =
        it->Running + Peers.at(it->Known.Entry.Target).Running;
    const double load = static_cast<double>(running) * 6.0 /
                        std::max(1U, it->Known.Entry.Slots);
    const double score =
        load + FailureAsLoad * it->FailureRate +
        (it->Known.Entry.Zone == ownZone ? 0.0 : OtherZoneAsLoad);
    if (best == nullptr || score < bestScore) {
      best = it;
      bestScore = score;
    }
  }
  return assign(*best, request, now);
}

void Dispatcher::began(Assignment &assignment, Time now) {
  const auto it = Targets.find(assignment.Target);
  if (it != Targets.end()) {
    TargetState &state = it->second;
    state.PrefillTokens -=
        std::min<std::uint64_t>(state.PrefillTokens, assignment.PrefillTokens);
    state.LastProgress = now;
  }
  assignment.PrefillTokens = 0;
}

void Dispatcher::ended(Assignment &assignment, ExchangeResult result,
                       Time now) {
  const auto it = Targets.find(assignment.Target);
  if (it == Targets.end()) {
    return;
  }
  TargetState &state = it->second;
  state.PrefillTokens -=
      std::min<std::uint64_t>(state.PrefillTokens, assignment.PrefillTokens);
  assignment.PrefillTokens = 0;
  state.Running -= std::min(state.Running, 1U);
  const bool neutral = result == ExchangeResult::Cancelled;
  if (neutral) {
    return;
  }
  const bool good = result == ExchangeResult::Completed;
  state.FailureRate =
      state.FailureRate * (1 - FailureWeight) + (good ? 0.0 : FailureWeight);
  if (good || result == ExchangeResult::Failed) {
    state.LastProgress = now;
    state.AvoidFor = Duration{0};
    return;
  }
  const bool silent = result == ExchangeResult::Unreachable ||
                      result == ExchangeResult::TimedOut;
  if (silent) {
    state.AvoidFor = state.AvoidFor == Duration{0}
                         ? FirstAvoid
                         : std::min(LongestAvoid, state.AvoidFor * 2);
    state.AvoidUntil = now + state.AvoidFor;
  }
}

OutgoingReports Dispatcher::reports(Time now) {
  Caches.expire(now);
  Peers.expire(now);
  OutgoingReports out;
  out.Paths = Paths;
  for (const auto &[id, state] : Targets) {
    if (state.PrefillTokens > 0 || state.Running > 0) {
      out.Own.Targets.push_back({id, state.PrefillTokens, state.Running});
    }
  }
  for (const auto &[team, rate] : Shares.ownRates(now)) {
    if (rate.Asked >= 1 || rate.Served >= 1) {
      out.Own.Teams.push_back({team, rate});
    }
  }
  out.Row = Peers.sumWith(out.Own, Paths.Row);
  out.Own.Sent = SentHere.take();
  out.Row.Sent = SentByRow.take();
  return out;
}

std::uint32_t Dispatcher::connectionShare(const PoolId &pool) const {
  const PoolRule *rule =
      View && View->Config ? View->Config->pool(pool) : nullptr;
  if (rule == nullptr || rule->MaxConnections == 0) {
    return 0;
  }
  const std::size_t routers = std::max<std::size_t>(1, View->Routers.size());
  return std::max<std::uint32_t>(1, rule->MaxConnections /
                                        static_cast<std::uint32_t>(routers));
}

} // namespace nutmegsill::routing
