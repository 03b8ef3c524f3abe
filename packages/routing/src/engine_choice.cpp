// The choice of a model engine. The other members of `Dispatcher` are in
// dispatcher.cpp and dispatcher_shares.cpp.
#include "nutmegsill/rendezvous.h"
#include "nutmegsill/routing/dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Added to the expected time of an engine whose batch is full.
constexpr Duration FullBatchPenalty = milliseconds(500);
/// Bounds of the Retry-After of a rejected request.
constexpr Duration MinRetryAfter = milliseconds(300);
constexpr Duration MaxRetryAfter = milliseconds(1'500);

Duration fromSeconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

} // namespace

void Dispatcher::updatePartHomes() {
  std::map<ZoneId, std::size_t> engines;
  for (const auto &[id, state] : Targets) {
    const TargetEntry &entry = state.Known.Entry;
    const PoolRule *pool = View->Config->findPool(entry.Pool);
    if (pool != nullptr && pool->Engine) {
      ++engines[entry.Zone];
    }
  }
  PartHomes.setEngines(engines);
}

const TargetId *Dispatcher::preferredTarget(const PromptDescription &prompt,
                                            const PoolId &pool) const {
  if (prompt.Parts.size() < 2) {
    return nullptr;
  }
  const std::uint64_t key = prompt.Parts[prompt.Parts.size() - 2].Hash;
  const auto known = Pools.find(pool);
  if (known == Pools.end()) {
    return nullptr;
  }
  const TargetId *best = nullptr;
  std::uint64_t most = 0;
  for (const TargetState *it : known->second.Targets) {
    const bool isElsewhere =
        PartHomes.isActive() && it->Known.Entry.Zone != OwnZone;
    if (it->Known.Entry.Draining || it->Known.InEvacuatedZone || isElsewhere) {
      continue;
    }
    const std::uint64_t weight = rendezvousWeight(it->Seed, key);
    if (best == nullptr || weight > most) {
      best = &it->Known.Entry.Target;
      most = weight;
    }
  }
  return best;
}

double Dispatcher::candidateCost(const EngineCandidate &candidate,
                                 const DispatchRequest &request,
                                 const TargetId *preferred,
                                 std::uint32_t cachedAnywhere, double backlog,
                                 double crossZoneCost) const {
  const TargetState &state = *candidate.Target;
  const double objective =
      std::max(1e-3, toSeconds(request.Route->LatencyObjective));
  const double expectedFraction =
      toSeconds(request.ElapsedTime + candidate.ExpectedFirstEvent) / objective;
  const double lateness =
      std::clamp((expectedFraction - Policy.LatenessRampStart) /
                     (Policy.LatenessRampEnd - Policy.LatenessRampStart),
                 0.0, 1.0);
  const double recomputedFraction =
      static_cast<double>(cachedAnywhere - candidate.CachedTokens) /
      std::max(1.0, static_cast<double>(request.Prompt.InputTokens));
  const bool isPreferred =
      preferred != nullptr && *preferred == state.Known.Entry.Target;
  const double recomputeCost =
      Policy.RecomputeCost +
      backlog * (Policy.BusyRecomputeCost - Policy.RecomputeCost);
  return lateness * Policy.LatenessCost + recomputedFraction * recomputeCost +
         expectedFraction * Policy.WaitCost +
         candidate.Imbalance * Policy.ImbalanceCost + state.FailureRate +
         (state.Known.Entry.Zone == OwnZone ? 0.0 : crossZoneCost) -
         (isPreferred ? Policy.PreferredTargetBonus : 0.0);
}

std::vector<Dispatcher::TargetState *>
Dispatcher::sampleCandidates(std::vector<TargetState *> eligible,
                             const std::map<TargetId, std::uint32_t> &cached,
                             const TargetId *preferred) {
  if (Recipients.RemotePeers.empty()) {
    return eligible;
  }
  const auto tokens = [&cached](const TargetState *it) {
    const auto known = cached.find(it->Known.Entry.Target);
    return known == cached.end() ? 0U : known->second;
  };
  // With homes by zone, the engines of the own zone and the others are sampled
  // apart.
  struct Group {
    std::uint32_t MostTokens = 0;
    std::size_t WithMost = 0;
    std::size_t Others = 0;
  };
  std::array<Group, 2> groups;
  const auto groupOf = [this, &groups](const TargetState *it) -> Group & {
    const bool isElsewhere =
        PartHomes.isActive() && it->Known.Entry.Zone != OwnZone;
    return groups[isElsewhere ? 1 : 0];
  };
  for (const TargetState *it : eligible) {
    Group &group = groupOf(it);
    group.MostTokens = std::max(group.MostTokens, tokens(it));
  }
  std::shuffle(eligible.begin(), eligible.end(), Random);
  std::vector<TargetState *> out;
  for (TargetState *it : eligible) {
    Group &group = groupOf(it);
    std::size_t &count =
        tokens(it) == group.MostTokens ? group.WithMost : group.Others;
    const bool isPreferred =
        preferred != nullptr && *preferred == it->Known.Entry.Target;
    if (isPreferred || count < Policy.RandomCandidates) {
      out.push_back(it);
      ++count;
    }
  }
  return out;
}

std::vector<Dispatcher::EngineCandidate> Dispatcher::engineCandidates(
    const DispatchRequest &request, const EngineLimits &limits,
    const TargetId *preferred, bool compareAll, Time now) {
  const std::vector<TargetState *> eligible = candidates(request, now);
  const std::map<TargetId, std::uint32_t> cached = Caches.cachedTokens(
      request.Prompt,
      Policy.PrefixCacheFraction * static_cast<double>(limits.KvCacheTokens));
  const double mean = poolState(request.Pool, now).MeanRecentTokens;
  std::vector<EngineCandidate> out;
  for (TargetState *it :
       compareAll ? eligible : sampleCandidates(eligible, cached, preferred)) {
    const TargetId &target = it->Known.Entry.Target;
    const auto known = cached.find(target);
    EngineCandidate candidate;
    candidate.Target = it;
    candidate.CachedTokens = known == cached.end() ? 0 : known->second;
    const PeerLoads::TotalLoad &peers = it->PeerLoad;
    const double prefillTokens =
        static_cast<double>(it->PrefillTokens + peers.PrefillTokens) +
        static_cast<double>(request.Prompt.InputTokens -
                            candidate.CachedTokens);
    const bool full =
        it->RunningRequests + peers.RunningRequests >= limits.MaxBatchSize;
    candidate.OutstandingTokens = prefillTokens;
    candidate.ExpectedFirstEvent =
        fromSeconds(prefillTokens / it->ExpectedRate *
                    Services.relativePace(processOf(*it), now)) +
        Policy.FirstEventOverhead + (full ? FullBatchPenalty : Duration{0});
    candidate.Imbalance =
        mean < 1 ? 0 : std::min(1.0, it->RecentTokens / mean - 1);
    out.push_back(candidate);
  }
  return out;
}

std::vector<Dispatcher::EngineCandidate>
Dispatcher::rankEngines(const DispatchRequest &request, const PoolRule &pool,
                        bool compareAll, Time now) {
  const TargetId *preferred = preferredTarget(request.Prompt, request.Pool);
  std::vector<EngineCandidate> engines =
      engineCandidates(request, *pool.Engine, preferred, compareAll, now);
  std::uint32_t cachedAnywhere = 0;
  for (const EngineCandidate &it : engines) {
    cachedAnywhere = std::max(cachedAnywhere, it.CachedTokens);
  }
  const double backlog = std::min(1.0, poolState(request.Pool, now).Backlog);
  const double crossZoneCost = PartHomes.isActive()
                                   ? PartHomes.crossZoneCost(Random)
                                   : Policy.CrossZoneCost;
  for (EngineCandidate &it : engines) {
    it.Cost = candidateCost(it, request, preferred, cachedAnywhere, backlog,
                            crossZoneCost);
  }
  std::stable_sort(engines.begin(), engines.end(),
                   [](const EngineCandidate &a, const EngineCandidate &b) {
                     return a.Cost < b.Cost;
                   });
  return engines;
}

DispatchDecision Dispatcher::chooseEngine(const DispatchRequest &request,
                                          Time now) {
  const PoolRule &pool = *View->Config->findPool(request.Pool);
  const FairShare share = fairShare(request, now);
  DispatchDecision decision =
      sendToEngine(rankEngines(request, pool, false, now), request, share, now);
  const Rejection *rejection = std::get_if<Rejection>(&decision);
  const bool teamFits =
      share.Usage < Policy.WaitRampStart || share.AdmittedFraction >= 1;
  if (rejection != nullptr && teamFits && !Recipients.RemotePeers.empty()) {
    // A team within its fair share must not be rejected because of an
    // unfavourable random sample.
    decision = sendToEngine(rankEngines(request, pool, true, now), request,
                            share, now);
  }
  return decision;
}

DispatchDecision
Dispatcher::sendToEngine(const std::vector<EngineCandidate> &ranked,
                         const DispatchRequest &request, const FairShare &share,
                         Time now) {
  for (const EngineCandidate &it : ranked) {
    const Duration excessWait = request.ElapsedTime + it.ExpectedFirstEvent -
                                waitLimit(request, it, share);
    if (excessWait > Duration{0}) {
      const Duration retryAfter = std::clamp<Duration>(
          std::max(excessWait + MinRetryAfter, share.NextTurn), MinRetryAfter,
          MaxRetryAfter);
      return Rejection{share.Usage < Policy.WaitRampStart
                           ? RejectionReason::Overloaded
                           : RejectionReason::TeamOverShare,
                       retryAfter, it.ExpectedFirstEvent, share};
    }
    if (Statements.offer(processOf(*it.Target), now,
                         limitWeight(share.Usage))) {
      return assignEngine(it, request, share, now);
    }
  }
  return ranked.empty() ? rejectWithoutTarget(request, milliseconds(500), now)
                        : rejectForLimits(request, share, now);
}

Assignment Dispatcher::assignEngine(const EngineCandidate &engine,
                                    const DispatchRequest &request,
                                    const FairShare &share, Time now) {
  Assignment out = assign(*engine.Target, request, now);
  out.CachedTokens = engine.CachedTokens;
  out.PrefillTokens = request.Prompt.InputTokens - engine.CachedTokens;
  out.OutstandingTokens = engine.OutstandingTokens;
  out.ExpectedFirstEvent = engine.ExpectedFirstEvent;
  out.Share = share;
  Shares.recordServed(request.Team, request.Prompt.ratedTokens(), now);
  Capacity.recordSent(request.Pool, request.Prompt.ratedTokens(), now);
  engine.Target->PrefillTokens += out.PrefillTokens;
  engine.Target->RecentTokens += static_cast<double>(out.PrefillTokens);
  const SentPrompts update = Caches.recordOwnPrompt(out.Target, request.Prompt,
                                                    out.PrefillTokens, now);
  UnreportedOwnPrompts.add(update);
  UnreportedGroupPrompts.add(update);
  return out;
}

} // namespace nutmegsill::routing
