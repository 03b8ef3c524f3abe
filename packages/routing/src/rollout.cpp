#include "nutmegsill/routing/rollout.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>

namespace nutmegsill::routing {

bool mayWriteStatus(const RolloutItems &stored,
                    const RolloutDecision &decision) {
  if (!stored.Order || stored.Order->To != decision.Status.To) {
    return false;
  }
  if (!stored.Status || stored.Status->To != decision.Status.To) {
    return true;
  }
  return stored.Status->State == RolloutState::Running &&
         decision.Status.State != RolloutState::Running;
}

std::size_t rolloutWriterRank(const std::vector<RouterEntry> &routers,
                              const HostId &self, const RolloutDecision &it) {
  const std::string key = it.Pool.Text + "/" + it.Status.To;
  const std::uint64_t own = rendezvousWeight(self, key);
  std::size_t rank = 0;
  for (const RouterEntry &router : routers) {
    if (router.Host != self && rendezvousWeight(router.Host, key) > own) {
      ++rank;
    }
  }
  return rank;
}

Rollouts::Rollouts(const HostId &self, std::optional<RolloutPolicy> policy)
    : Self(self), Policy(policy),
      Random(static_cast<std::uint32_t>(rendezvousWeight(self, "rollouts")) |
             1U) {}

void Rollouts::setView(const FleetView &view, Time now) {
  if (!Policy ||
      (view.Rollouts.empty() && Active.empty() && Excluded.empty())) {
    return;
  }
  RouterCount = std::max<std::size_t>(1, view.Routers.size());
  for (auto it = Active.begin(); it != Active.end();) {
    const auto known = view.Rollouts.find(it->first);
    const bool holds = known != view.Rollouts.end() && known->second.Order &&
                       known->second.Order->To == it->second.Order.To;
    if (holds) {
      it->second.Order = *known->second.Order;
      ++it;
    } else {
      end(it->first, it->second);
      it = Active.erase(it);
    }
  }
  for (const auto &[pool, items] : view.Rollouts) {
    if (items.Order && Active.count(pool) == 0) {
      start(pool, *items.Order, now);
    }
    if (items.Status) {
      adoptStatus(pool, *items.Status, now);
    }
  }
  setTargets(view);
}

void Rollouts::start(const PoolId &pool, const RolloutOrder &order, Time now) {
  Rollout &it = Active[pool];
  it.Order = order;
  it.StartedAt = now;
  it.HeardAt = now;
  it.HasNoPrevious = true;
  // A version that another one replaces since may be rolled out again; one that
  // was reverted stays so.
  std::erase_if(Verdicts, [&](const auto &verdict) {
    return verdict.first.first == pool && verdict.first.second != order.To &&
           verdict.second == RolloutState::Complete;
  });
  const auto known = Verdicts.find({pool, order.To});
  if (known != Verdicts.end()) {
    it.Verdict = known->second;
  } else if (const auto excluded = Excluded.find(pool);
             excluded != Excluded.end()) {
    // Replaced before its verdict, and now ordered again.
    excluded->second.erase(order.To);
    if (excluded->second.empty()) {
      Excluded.erase(excluded);
    }
  }
}

void Rollouts::end(const PoolId &pool, const Rollout &rollout) {
  if (rollout.Verdict == RolloutState::Running) {
    Excluded[pool].insert(rollout.Order.To);
  }
}

void Rollouts::adoptStatus(const PoolId &pool, const RolloutStatus &status,
                           Time now) {
  if (status.State == RolloutState::Running) {
    return;
  }
  const auto it = Active.find(pool);
  const bool ordered = it != Active.end() && it->second.Order.To == status.To;
  if (ordered && it->second.Verdict == status.State) {
    it->second.ConfirmedAt = it->second.ConfirmedAt.value_or(now);
    return;
  }
  // The first verdict that the store held is the one that counts. That an
  // earlier version is complete says nothing once another one is ordered.
  const bool isEarlier = !ordered && status.State == RolloutState::Complete;
  if (isEarlier || (ordered && it->second.ConfirmedAt)) {
    return;
  }
  Verdicts[{pool, status.To}] = status.State;
  if (status.State == RolloutState::Reverted) {
    Excluded[pool].insert(status.To);
  } else if (const auto excluded = Excluded.find(pool);
             excluded != Excluded.end()) {
    excluded->second.erase(status.To);
    if (excluded->second.empty()) {
      Excluded.erase(excluded);
    }
  }
  if (ordered) {
    it->second.Verdict = status.State;
    it->second.Share = status.State == RolloutState::Complete ? 1 : 0;
    it->second.ConfirmedAt = now;
  }
}

void Rollouts::setTargets(const FleetView &view) {
  for (auto &[pool, it] : Active) {
    it.NewTargets.clear();
    bool hasPrevious = false;
    for (const KnownTarget &target : view.Targets) {
      const TargetEntry &entry = target.Entry;
      if (entry.Pool != pool || entry.Draining || target.InEvacuatedZone) {
        continue;
      }
      if (entry.Version == it.Order.To) {
        it.NewTargets.push_back(entry.Target);
      } else {
        hasPrevious = hasPrevious || admits(VersionChoice::Previous, entry);
      }
    }
    // Only what was there when the order came counts: if the previous targets
    // fail later, the new version is still not known to be good.
    if (it.HasNoPrevious && hasPrevious) {
      it.HasNoPrevious = false;
      it.RampStartedAt.reset();
    }
  }
  endExclusions(view);
}

void Rollouts::endExclusions(const FleetView &view) {
  // Without an order, a pool is not left without targets.
  for (auto it = Excluded.begin(); it != Excluded.end();) {
    bool hasAny = false;
    bool hasOther = Active.count(it->first) != 0;
    for (const KnownTarget &target : view.Targets) {
      if (target.Entry.Pool == it->first && !target.Entry.Draining) {
        hasAny = true;
        hasOther = hasOther || it->second.count(target.Entry.Version) == 0;
      }
    }
    it = hasAny && !hasOther ? Excluded.erase(it) : std::next(it);
  }
}

std::vector<VersionChoice> Rollouts::choose(const PoolId &pool,
                                            bool isRepeated) {
  const auto known = Active.find(pool);
  if (known == Active.end()) {
    return {VersionChoice::NotReverted};
  }
  const Rollout &it = known->second;
  if (it.Verdict == RolloutState::Reverted) {
    return {VersionChoice::Previous};
  }
  if (it.Verdict == RolloutState::Complete || it.Drained) {
    return {VersionChoice::New};
  }
  if (it.Stage == RolloutStage::Moved && it.Share >= 1) {
    return {VersionChoice::New, VersionChoice::Previous};
  }
  std::uniform_real_distribution<double> draw(0, 1);
  const bool exposed = it.Share > 0 && !isRepeated && draw(Random) < it.Share;
  if (!exposed) {
    return {VersionChoice::Previous};
  }
  return {it.RampStartedAt ? VersionChoice::New : VersionChoice::NewFocus,
          VersionChoice::Previous};
}

bool Rollouts::admits(VersionChoice choice, const TargetEntry &entry) const {
  const auto known = Active.find(entry.Pool);
  const bool isNew =
      known != Active.end() && known->second.Order.To == entry.Version;
  if (choice == VersionChoice::New) {
    return isNew;
  }
  if (choice == VersionChoice::NewFocus) {
    return isNew && known->second.Focus.count(entry.Target) != 0;
  }
  const auto excluded = Excluded.find(entry.Pool);
  const bool isExcluded =
      excluded != Excluded.end() && excluded->second.count(entry.Version) != 0;
  return !isExcluded && (choice == VersionChoice::NotReverted || !isNew);
}

std::optional<RolloutSample> Rollouts::recordSent(const std::string &route,
                                                  const TargetEntry &entry) {
  const auto known = Active.find(entry.Pool);
  if (known == Active.end() || known->second.Verdict != RolloutState::Running) {
    return std::nullopt;
  }
  Rollout &it = known->second;
  const bool isNew = entry.Version == it.Order.To;
  RolloutSample out;
  out.To = it.Order.To;
  out.Key = {it.Stage, route, isNew ? rolloutGroup(entry.Target) : 0};
  ++it.Own[out.Key].Requests;
  return out;
}

void Rollouts::recordResult(const PoolId &pool, const RolloutSample &sample,
                            SampleResult result, Time sentAt, Time now) {
  const auto known = Active.find(pool);
  if (known == Active.end() || known->second.Order.To != sample.To ||
      result == SampleResult::NotRun) {
    return;
  }
  Rollout &it = known->second;
  const Duration first = sample.FirstPartAt.value_or(now) - sentAt;
  const Duration total = now - sentAt;
  const auto usual = it.Usual.find(sample.Key.Route);
  const double factor = Policy->Evidence.SlowFactor;
  const bool slow =
      usual != it.Usual.end() &&
      (toSeconds(first) > factor * toSeconds(usual->second.First) ||
       toSeconds(total) > factor * toSeconds(usual->second.Total));
  if (result == SampleResult::CallerLeft && !slow) {
    return;
  }
  RolloutCount &count = it.Own[sample.Key];
  ++count.Responses;
  if (slow || result != SampleResult::Completed) {
    ++count.Bad;
    return;
  }
  count.FirstSeconds += toSeconds(first);
  count.TotalSeconds += toSeconds(total);
}

void Rollouts::receive(const HostId &peer, std::vector<RolloutReport> reports,
                       Time now) {
  for (RolloutReport &report : reports) {
    const auto known = Active.find(report.Pool);
    if (known == Active.end() || known->second.Order.To != report.To) {
      continue;
    }
    Rollout &it = known->second;
    it.StartedAt = std::min(it.StartedAt, now - report.OrderAge);
    const bool isNews = report.Verdict != RolloutState::Running &&
                        it.Verdict == RolloutState::Running;
    if (isNews) {
      setVerdict(report.Pool, it, report.Verdict, "stated by " + peer.Text);
    }
    const PoolId pool = report.Pool;
    it.Peers[peer] = {std::move(report), now};
  }
}

std::map<PoolId, std::string> Rollouts::openPools() const {
  std::map<PoolId, std::string> out;
  for (const auto &[pool, it] : Active) {
    if (it.Verdict == RolloutState::Running) {
      out[pool] = it.Order.To;
    }
  }
  return out;
}

std::vector<RolloutReport> Rollouts::ownReport(Time now) const {
  std::vector<RolloutReport> out;
  for (const auto &[pool, it] : Active) {
    if (it.ConfirmedAt && now - *it.ConfirmedAt > Policy->FinalReportTime) {
      continue;
    }
    RolloutReport report;
    report.Pool = pool;
    report.To = it.Order.To;
    report.OrderAge = now - it.StartedAt;
    report.Verdict = it.Verdict;
    report.MovedRouters = it.Drained ? 1 : 0;
    report.Counts = it.Own;
    out.push_back(std::move(report));
  }
  return out;
}

std::vector<RolloutReport>
Rollouts::groupReport(std::vector<RolloutReport> own,
                      const std::vector<HostId> &peers, Time now) const {
  for (RolloutReport &sum : own) {
    const Rollout &known = Active.at(sum.Pool);
    for (const HostId &peer : peers) {
      const auto it = known.Peers.find(peer);
      if (it == known.Peers.end() ||
          now - it->second.ReceivedAt > Policy->MaxReportAge) {
        continue;
      }
      sum.Routers += it->second.Report.Routers;
      sum.MovedRouters += it->second.Report.MovedRouters;
      addCounts(sum.Counts, it->second.Report.Counts);
    }
  }
  return own;
}

std::vector<RolloutDecision> Rollouts::decisions() const {
  std::vector<RolloutDecision> out;
  out.reserve(Active.size());
  for (const auto &[pool, it] : Active) {
    out.push_back({pool, {it.Verdict, it.Order.To}});
  }
  return out;
}

std::map<PoolId, double> Rollouts::shares() const {
  std::map<PoolId, double> out;
  for (const auto &[pool, it] : Active) {
    out[pool] = it.Share;
  }
  return out;
}

std::vector<FleetChange> Rollouts::takeChanges() {
  std::vector<FleetChange> out;
  out.swap(Changes);
  return out;
}

} // namespace nutmegsill::routing
