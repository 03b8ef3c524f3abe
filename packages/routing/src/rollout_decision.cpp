#include "nutmegsill/routing/rollout.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Requests that an open roll-out counts as sent to its new version.
bool isExposed(const RolloutKey &key) { return key.Group != 0; }

bool isIn(double age, double start, double length) {
  return age >= start && age < start + length;
}

bool isMost(std::size_t part, std::size_t all) { return 2 * part > all; }

std::string shareText(double share) {
  return std::to_string(std::lround(share * 1000)) + "/1000";
}

} // namespace

Rollouts::FleetSum Rollouts::sumUp(Rollout &it, Time now) const {
  std::erase_if(it.Peers, [this, now](const auto &peer) {
    return now - peer.second.ReceivedAt > Policy->MaxReportAge;
  });
  FleetSum out;
  out.Counts = it.Own;
  out.MovedRouters = it.Drained ? 1 : 0;
  for (const auto &[host, received] : it.Peers) {
    addCounts(out.Counts, received.Report.Counts);
    out.Routers += received.Report.Routers;
    out.MovedRouters += received.Report.MovedRouters;
  }
  for (const auto &[key, count] : out.Counts) {
    out.Requests += count.Requests;
    if (isExposed(key)) {
      out.Exposed += count.Requests;
      out.ExposedResponses += count.Responses;
      out.MonitoredResponses +=
          key.Stage >= RolloutStage::Ramp ? count.Responses : 0;
    }
  }
  return out;
}

double Rollouts::ageOf(const Rollout &it, Time now) const {
  return toSeconds(now - it.StartedAt) / toSeconds(it.Order.Deadline);
}

Duration Rollouts::rampStep(const Rollout &it) const {
  return std::max(Policy->MinRampStep,
                  Duration(static_cast<std::int64_t>(
                      toSeconds(it.Order.Deadline) * Policy->RampStep * 1e6)));
}

void Rollouts::setVerdict(const PoolId &pool, Rollout &it, RolloutState verdict,
                          const std::string &reason) {
  it.Verdict = verdict;
  it.Share = verdict == RolloutState::Complete ? 1 : 0;
  Verdicts[{pool, it.Order.To}] = verdict;
  if (verdict == RolloutState::Reverted) {
    Excluded[pool].insert(it.Order.To);
  }
  Changes.push_back(
      {verdict == RolloutState::Complete ? "rollout_moved" : "rollout_reverted",
       {{"pool", pool.Text},
        {"to", it.Order.To},
        {"stage", rolloutStageName(it.Stage)},
        {"reason", reason}}});
}

void Rollouts::judge(const PoolId &pool, Rollout &it, const FleetSum &sum,
                     Time now) {
  it.Usual = usualResponseTimes(sum.Counts, Policy->Evidence);
  std::set<std::uint32_t> groups;
  for (const TargetId &target : it.NewTargets) {
    groups.insert(rolloutGroup(target));
  }
  const RolloutFinding finding =
      compareVersions(sum.Counts, groups.size(), Policy->Evidence);
  if (finding.IsBad) {
    setVerdict(pool, it, RolloutState::Reverted,
               std::to_string(finding.Bad) + " bad of " +
                   std::to_string(finding.Responses) + " responses, " +
                   std::to_string(finding.Expected) + " expected, route " +
                   (finding.Route.empty() ? "all" : finding.Route) + ", sent " +
                   std::to_string(sum.Exposed) + " of " +
                   std::to_string(sum.Requests));
    return;
  }
  for (const std::uint32_t group : finding.FaultyGroups) {
    if (it.FaultyGroups.insert(group).second) {
      Changes.push_back({"rollout_target_left_out",
                         {{"pool", pool.Text},
                          {"to", it.Order.To},
                          {"group", std::to_string(group)}}});
    }
  }
  if (ageOf(it, now) >= Policy->LastDecision) {
    setVerdict(pool, it, RolloutState::Reverted,
               it.NewTargets.empty() ? "no target of this version"
                                     : "not complete by the deadline");
  }
}

bool Rollouts::mayRamp(const Rollout &it, const FleetSum &sum,
                       double age) const {
  const bool observed = sum.ExposedResponses >= Policy->MinObserved ||
                        age >= Policy->LateObservationEnd;
  return age >= Policy->ObservationEnd && observed && isStoreCurrent() &&
         isMost(sum.Routers, RouterCount) && !it.NewTargets.empty();
}

void Rollouts::schedule(Rollout &it, const FleetSum &sum, Time now) const {
  constexpr double firstRampShare = 0.25;
  constexpr double secondRampShare = 0.5;
  const double age = ageOf(it, now);
  if (!it.RampStartedAt &&
      (it.HasNoPrevious ? !it.NewTargets.empty() : mayRamp(it, sum, age))) {
    it.RampStartedAt = now;
  }
  if (it.RampStartedAt) {
    const Duration since = now - *it.RampStartedAt;
    const bool moved = it.HasNoPrevious || since >= 2 * rampStep(it);
    it.Stage = moved ? RolloutStage::Moved : RolloutStage::Ramp;
    it.Share = moved                   ? 1
               : since >= rampStep(it) ? secondRampShare
                                       : firstRampShare;
    return;
  }
  if (age < Policy->BaselineEnd || it.NewTargets.empty()) {
    it.Stage = RolloutStage::Baseline;
    it.Share = 0;
    return;
  }
  const double loadLength =
      std::max(Policy->LoadLength,
               toSeconds(Policy->MinLoadLength) / toSeconds(it.Order.Deadline));
  if (isIn(age, Policy->FirstLoadStart, loadLength) ||
      isIn(age, Policy->SecondLoadStart, loadLength)) {
    const double normal = static_cast<double>(Policy->FocusTargets) /
                          static_cast<double>(it.NewTargets.size());
    it.Stage = RolloutStage::Load;
    it.Share = std::min(Policy->MaxLoadShare * Policy->ExposureShare, normal);
    return;
  }
  const bool lowTraffic =
      sum.Exposed < Policy->ObservedExtra * Policy->ExposureExtra *
                        std::min(1.0, age / Policy->ObservationEnd);
  it.Stage = RolloutStage::Observation;
  it.Share = Policy->ExposureShare *
             (lowTraffic ? Policy->LowTrafficShare : Policy->ObservationShare);
}

void Rollouts::limitShare(Rollout &it, const FleetSum &sum, Time now) const {
  if (isMost(sum.Routers, RouterCount)) {
    it.HeardAt = now;
  }
  const bool moved = it.Stage == RolloutStage::Moved;
  // A router that does not hear the others does not hear of a verdict.
  if (!moved && now - it.HeardAt > Policy->RollbackTime / 2) {
    it.Share = 0;
  }
  const double bound = Policy->SafeFraction * Policy->ExposureShare *
                           static_cast<double>(sum.Requests) +
                       Policy->ExposureExtra * Policy->ObservedExtra;
  if (!it.RampStartedAt && sum.Exposed > bound) {
    it.Share = 0;
  }
  if (it.HeldShare) {
    it.Share = std::min(it.Share, *it.HeldShare);
  }
}

void Rollouts::selectFocus(Rollout &it, Time now) const {
  const auto period =
      static_cast<std::uint64_t>(ageOf(it, now) / Policy->FocusPeriod);
  std::vector<std::pair<std::uint64_t, TargetId>> ranked;
  for (const TargetId &target : it.NewTargets) {
    if (it.FaultyGroups.count(rolloutGroup(target)) == 0) {
      ranked.emplace_back(rendezvousWeight(rendezvousSeed(target.Text), period),
                          target);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  it.Focus.clear();
  for (const auto &[weight, target] : ranked) {
    if (it.Focus.size() < Policy->FocusTargets) {
      it.Focus.insert(target);
    }
  }
}

void Rollouts::decide(const PoolId &pool, Rollout &it, const InFlight &inFlight,
                      Time now) {
  const FleetSum sum = sumUp(it, now);
  judge(pool, it, sum, now);
  if (it.Verdict != RolloutState::Running) {
    return;
  }
  const RolloutStage before = it.Stage;
  if (isStoreCurrent()) {
    it.HeldShare.reset();
  } else if (!it.HeldShare) {
    // A period under load is not made longer.
    it.HeldShare = it.Stage == RolloutStage::Load
                       ? Policy->ExposureShare * Policy->ObservationShare
                       : it.Share;
  }
  schedule(it, sum, now);
  limitShare(it, sum, now);
  selectFocus(it, now);
  if (it.Stage != before) {
    Changes.push_back({"rollout_stage",
                       {{"pool", pool.Text},
                        {"to", it.Order.To},
                        {"stage", rolloutStageName(it.Stage)},
                        {"share", shareText(it.Share)},
                        {"sent", std::to_string(sum.Exposed)},
                        {"of", std::to_string(sum.Requests)}}});
  }
  const bool moved = it.Stage == RolloutStage::Moved && it.Share >= 1;
  it.Drained = moved && (it.Drained || inFlight.Own == 0);
  const bool seen = sum.MonitoredResponses >= Policy->MinMonitored ||
                    ageOf(it, now) >= Policy->LateMonitoringEnd;
  const bool monitored =
      moved && (it.HasNoPrevious ||
                (seen && now - *it.RampStartedAt >= 3 * rampStep(it)));
  const bool allMoved = it.Drained && sum.Routers >= RouterCount &&
                        sum.MovedRouters == sum.Routers;
  if (monitored && allMoved && inFlight.Fleet == 0 && isStoreCurrent()) {
    setVerdict(pool, it, RolloutState::Complete,
               std::to_string(sum.ExposedResponses) +
                   " responses, nothing in flight at the previous version");
  }
}

void Rollouts::update(const std::map<PoolId, InFlight> &inFlight, Time now) {
  for (const auto &[pool, running] : inFlight) {
    const auto it = Active.find(pool);
    if (it != Active.end() && it->second.Verdict == RolloutState::Running) {
      decide(pool, it->second, running, now);
    }
  }
}

} // namespace nutmegsill::routing
