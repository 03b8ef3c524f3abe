// The choice of a model engine; the rest of the dispatcher is in
// dispatcher.cpp.
#include "nutmegsill/rendezvous.h"
#include "nutmegsill/routing/dispatcher.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

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

Duration fromSeconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

} // namespace

double Dispatcher::prefillRate() const {
  const double rated = View->Config->RatedTokensPerSecond;
  if (rated <= 0 || MostEngines == 0) {
    return UnratedPrefillRate;
  }
  return PrefillPerRated * rated / static_cast<double>(MostEngines);
}

double Dispatcher::waitPart(double usedShare) const {
  if (usedShare > Policy.ShareTo) {
    // Teams far over their shares get the same in the end.
    return Policy.LeastWait * Policy.ShareTo / usedShare;
  }
  const double over = std::clamp((usedShare - Policy.ShareFrom) /
                                     (Policy.ShareTo - Policy.ShareFrom),
                                 0.0, 1.0);
  return Policy.MostWait - over * (Policy.MostWait - Policy.LeastWait);
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
  return std::clamp(wait / inSeconds(Policy.BusyWait), 0.0, 1.0);
}

double Dispatcher::lossAt(const EngineOption &option,
                          const RequestFacts &request, const TargetId *home,
                          std::uint32_t cachedAnywhere, double busy) const {
  const TargetState &state = *option.Target;
  const double objective = std::max(1e-3, inSeconds(request.Route->Objective));
  const double part = inSeconds(request.Waited + option.Expected) / objective;
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
                          bool all, Time now) {
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
  for (TargetState *it : all ? open : compared(open, cached, home)) {
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

std::optional<Dispatcher::EngineOption>
Dispatcher::bestEngine(const RequestFacts &request, const PoolRule &pool,
                       bool all, Time now) {
  const TargetId *home = homeOf(request.Content, request.Pool);
  const std::vector<EngineOption> options =
      engineOptions(request, *pool.Engine, home, all, now);
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
  return best == nullptr ? std::nullopt : std::optional<EngineOption>(*best);
}

double Dispatcher::usedShare(const TeamId &team, Time now) {
  if (SharesVersion != Peers.version()) {
    SharesVersion = Peers.version();
    Shares.setPeerRates(Peers.teams());
  }
  return Shares.usedShare(team, View->Config->RatedTokensPerSecond, now);
}

Duration Dispatcher::waitLimit(const RequestFacts &request,
                               const EngineOption &engine,
                               double usedShare) const {
  const double objective =
      inSeconds(request.Route->Objective) * waitPart(usedShare);
  const double own =
      static_cast<double>(request.Content.InputTokens - engine.CachedTokens) /
      prefillRate();
  // A prompt that takes most of its objective by itself is late at best; it is
  // still served where others would not wait long.
  return fromSeconds(std::max(objective, own + objective * Policy.LargeWait));
}

Choice Dispatcher::chooseEngine(const RequestFacts &request, Time now) {
  const PoolRule &pool = *View->Config->pool(request.Pool);
  const double share = usedShare(request.Team, now);
  const auto late = [&](const EngineOption &it) {
    return request.Waited + it.Expected - waitLimit(request, it, share);
  };
  std::optional<EngineOption> best = bestEngine(request, pool, false, now);
  if (best && late(*best) > Duration{0} && share < Policy.ShareFrom) {
    // A team within its share is not refused by an unlucky draw.
    best = bestEngine(request, pool, true, now);
  }
  if (!best) {
    return Rejection{TurnedAway::NoTarget, milliseconds(500), {}, 0};
  }
  if (late(*best) > Duration{0}) {
    const Duration wait =
        std::clamp<Duration>(late(*best) + ShortestRetryAfter,
                             ShortestRetryAfter, LongestRetryAfter);
    return Rejection{share < Policy.ShareFrom ? TurnedAway::Overloaded
                                              : TurnedAway::TeamOverShare,
                     wait, best->Expected, share};
  }
  Assignment out = assign(*best->Target, request, now);
  out.CachedTokens = best->CachedTokens;
  out.PrefillTokens = request.Content.InputTokens - best->CachedTokens;
  out.Expected = best->Expected;
  out.UsedShare = share;
  Shares.served(request.Team, request.Content.ratedTokens(), now);
  best->Target->PrefillTokens += out.PrefillTokens;
  const SentPrompts news =
      Caches.sentHere(out.Target, request.Content, out.PrefillTokens, now);
  SentHere.add(news);
  SentByRow.add(news);
  return out;
}

} // namespace nutmegsill::routing
