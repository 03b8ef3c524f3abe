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
/// Added to the expected time while all slots of a target are taken.
constexpr Duration FullPenalty = milliseconds(500);
/// Engine capacity that the rated tokens count as one; a rated figure states
/// about half of the prefill rate (fleet sheets of both users).
constexpr double PrefillPerRated = 2.0;
/// Prefill rate of an engine, in tokens a second, of a pool without a rated
/// throughput: that of a large model on two accelerators.
constexpr double UnratedPrefillRate = 30'000;
/// Bounds of the pause that a refused caller is told to make.
constexpr Duration ShortestRetryAfter = milliseconds(300);
constexpr Duration LongestRetryAfter = milliseconds(1'500);
/// Failure rate, as running requests, in the choice of a plain service.
constexpr double FailureAsLoad = 12;
/// A target in another zone, as running requests: a hop costs a few
/// milliseconds each way, a request takes about fifteen.
constexpr double OtherZoneAsLoad = 0.6;

double seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

Duration fromSeconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

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

double Dispatcher::prefillRate() const {
  const double rated = View->Config->RatedTokensPerSecond;
  if (rated <= 0 || MostEngines == 0) {
    return UnratedPrefillRate;
  }
  return PrefillPerRated * rated / static_cast<double>(MostEngines);
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

double Dispatcher::waitPart(double usedShare) const {
  const double over = std::clamp((usedShare - Policy.ShareFrom) /
                                     (Policy.ShareTo - Policy.ShareFrom),
                                 0.0, 1.0);
  return Policy.MostWait - over * (Policy.MostWait - Policy.LeastWait);
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
      1.0, state.ColdPermits + rate * seconds(now - state.ColdPermitsAt));
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

const TargetId *Dispatcher::homeOf(const Prompt &content,
                                   const PoolId &pool) const {
  if (content.Parts.size() < 2) {
    return nullptr;
  }
  const std::string key =
      std::to_string(content.Parts[content.Parts.size() - 2].Hash);
  const TargetId *best = nullptr;
  std::uint64_t most = 0;
  for (const auto &[id, state] : Targets) {
    const bool serves = state.Known.Entry.Pool == pool &&
                        !state.Known.Entry.Draining && !state.Known.ZoneOut;
    if (!serves) {
      continue;
    }
    const std::uint64_t weight = rendezvousWeight(HostId{id.Text}, key);
    if (best == nullptr || weight > most) {
      best = &id;
      most = weight;
    }
  }
  return best;
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

double Dispatcher::busyPart(const PoolId &pool) const {
  double tokens = 0;
  double engines = 0;
  for (const auto &[id, state] : Targets) {
    if (state.Known.Entry.Pool == pool && !state.Known.Entry.Draining) {
      tokens +=
          static_cast<double>(state.PrefillTokens + Peers.at(id).PrefillTokens);
      engines += 1;
    }
  }
  const double wait = tokens / std::max(1.0, engines) / prefillRate();
  return std::clamp(wait / seconds(Policy.BusyWait), 0.0, 1.0);
}

double Dispatcher::lossAt(const EngineOption &option,
                          const RequestFacts &request, const TargetId *home,
                          std::uint32_t cachedAnywhere, double busy) const {
  const TargetState &state = *option.Target;
  const double objective = std::max(1e-3, seconds(request.Route->Objective));
  const double part = seconds(request.Waited + option.Expected) / objective;
  const double late = std::clamp(
      (part - Policy.LateFrom) / (Policy.LateAt - Policy.LateFrom), 0.0, 1.0);
  const double reread =
      static_cast<double>(cachedAnywhere - option.CachedTokens) /
      std::max(1.0, static_cast<double>(request.Content.InputTokens));
  const bool isHome = home != nullptr && *home == state.Known.Entry.Target;
  const double rereadLoss =
      Policy.RereadLoss + busy * (Policy.RereadLossBusy - Policy.RereadLoss);
  return late * Policy.LateLoss + reread * rereadLoss + part * Policy.WaitLoss +
         option.Spread * Policy.SpreadLoss + state.FailureRate -
         (isHome ? Policy.HomeGain : 0.0);
}

std::vector<Dispatcher::TargetState *>
Dispatcher::compared(std::vector<TargetState *> open,
                     const std::map<TargetId, std::uint32_t> &cached,
                     const TargetId *home) {
  if (Paths.Others.empty()) {
    return open;
  }
  const auto tokens = [&cached](const TargetState *it) {
    const auto known = cached.find(it->Known.Entry.Target);
    return known == cached.end() ? 0U : known->second;
  };
  std::uint32_t most = 0;
  for (const TargetState *it : open) {
    most = std::max(most, tokens(it));
  }
  std::shuffle(open.begin(), open.end(), Random);
  std::vector<TargetState *> out;
  std::size_t withMost = 0;
  std::size_t others = 0;
  for (TargetState *it : open) {
    std::size_t &group = tokens(it) == most ? withMost : others;
    const bool isHome = home != nullptr && *home == it->Known.Entry.Target;
    if (isHome || group < Policy.RandomOptions) {
      out.push_back(it);
      ++group;
    }
  }
  return out;
}

std::vector<Dispatcher::EngineOption>
Dispatcher::engineOptions(const RequestFacts &request,
                          const EngineLimits &limits, const TargetId *home,
                          Time now) {
  const std::vector<TargetState *> open = candidates(request, now);
  const std::map<TargetId, std::uint32_t> cached = Caches.cached(
      request.Content,
      Policy.CacheShare * static_cast<double>(limits.CacheTokens));
  double recentSum = 0;
  for (const TargetState *it : open) {
    recentSum += Caches.recentTokens(it->Known.Entry.Target, now);
  }
  const double mean =
      recentSum / static_cast<double>(std::max<std::size_t>(1, open.size()));
  const double rate = prefillRate();
  std::vector<EngineOption> out;
  for (TargetState *it : compared(open, cached, home)) {
    const TargetId &target = it->Known.Entry.Target;
    const auto known = cached.find(target);
    EngineOption option;
    option.Target = it;
    option.CachedTokens = known == cached.end() ? 0 : known->second;
    const PeerLoads::Sum peers = Peers.at(target);
    const double work =
        static_cast<double>(it->PrefillTokens + peers.PrefillTokens) +
        static_cast<double>(request.Content.InputTokens - option.CachedTokens);
    const bool full = it->Running + peers.Running >= limits.Slots;
    option.Expected = fromSeconds(work / rate) + Policy.FirstEventBase +
                      (full ? FullPenalty : Duration{0});
    const double recent = Caches.recentTokens(target, now);
    option.Spread = mean < 1 ? 0 : std::min(1.0, recent / mean - 1);
    out.push_back(option);
  }
  return out;
}

Choice Dispatcher::chooseEngine(const RequestFacts &request, Time now) {
  const PoolRule *pool = View->Config->pool(request.Pool);
  const TargetId *home = homeOf(request.Content, request.Pool);
  const std::vector<EngineOption> options =
      engineOptions(request, *pool->Engine, home, now);
  if (options.empty()) {
    return Rejection{TurnedAway::NoTarget, milliseconds(500), {}, 0};
  }
  std::uint32_t cachedAnywhere = 0;
  for (const EngineOption &it : options) {
    cachedAnywhere = std::max(cachedAnywhere, it.CachedTokens);
  }
  const double busy = busyPart(request.Pool);
  const EngineOption *best = nullptr;
  double bestLoss = 0;
  for (const EngineOption &it : options) {
    const double loss = lossAt(it, request, home, cachedAnywhere, busy);
    if (best == nullptr || loss < bestLoss) {
      best = &it;
      bestLoss = loss;
    }
  }
  if (SharesVersion != Peers.version()) {
    SharesVersion = Peers.version();
    Shares.setPeerRates(Peers.teams());
  }
  const double usedShare =
      Shares.usedShare(request.Team, View->Config->RatedTokensPerSecond, now);
  const double objective =
      seconds(request.Route->Objective) * waitPart(usedShare);
  const std::uint32_t prefill =
      request.Content.InputTokens - best->CachedTokens;
  const double own = static_cast<double>(prefill) / prefillRate();
  // A prompt that takes most of its objective by itself is late at best; it is
  // still served where others would not wait long.
  const Duration limit =
      fromSeconds(std::max(objective, own + objective * Policy.LargeWait));
  if (request.Waited + best->Expected > limit) {
    const Duration wait =
        std::clamp(request.Waited + best->Expected - limit + ShortestRetryAfter,
                   ShortestRetryAfter, LongestRetryAfter);
    return Rejection{usedShare < Policy.ShareFrom ? TurnedAway::Overloaded
                                                  : TurnedAway::TeamOverShare,
                     wait, best->Expected, usedShare};
  }
  Assignment out = assign(*best->Target, request, now);
  out.CachedTokens = best->CachedTokens;
  out.PrefillTokens = prefill;
  out.Expected = best->Expected;
  out.UsedShare = usedShare;
  Shares.served(request.Team, request.Content.ratedTokens(), now);
  best->Target->PrefillTokens += prefill;
  const SentPrompts news =
      Caches.sentHere(out.Target, request.Content, prefill, now);
  SentHere.add(news);
  SentByRow.add(news);
  return out;
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
