#include "nutmegsill/routing/rollout_evidence.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace nutmegsill::routing {

namespace {

constexpr std::uint64_t GroupCount = 31;

/// Responses of one group of targets, and the bad ones expected of them.
struct GroupSum {
  std::uint32_t Responses = 0;
  std::uint32_t Bad = 0;
  double Expected = 0;

  double excess() const { return Bad - Expected; }
};

/// Shares of bad responses of the previous version.
class PreviousVersion {
public:
  PreviousVersion(const RolloutCounts &counts,
                  const RolloutEvidencePolicy &policy)
      : Policy(policy) {
    for (const auto &[key, count] : counts) {
      if (key.Group == 0) {
        ByStage[{key.Stage, key.Route}] += count;
        ByRoute[key.Route] += count;
      }
    }
  }

  double badShare(const RolloutKey &key) const {
    const auto stage = ByStage.find({key.Stage, key.Route});
    if (stage != ByStage.end() &&
        stage->second.Responses >= Policy.MinStageResponses) {
      return smoothed(stage->second);
    }
    const auto route = ByRoute.find(key.Route);
    return smoothed(route == ByRoute.end() ? RolloutCount{} : route->second);
  }

private:
  double smoothed(const RolloutCount &it) const {
    return (it.Bad + Policy.PriorShare * Policy.PriorWeight) /
           (it.Responses + Policy.PriorWeight);
  }

  const RolloutEvidencePolicy &Policy;
  std::map<std::pair<RolloutStage, std::string>, RolloutCount> ByStage;
  std::map<std::string, RolloutCount> ByRoute;
};

bool exceeds(double bad, double expected, double least,
             const RolloutEvidencePolicy &policy) {
  return bad >= least + policy.ExpectedFactor * expected +
                    policy.Deviations * std::sqrt(expected);
}

/// Adds what the sums of one route, or of all, show to `out`.
void judge(const std::string &route,
           const std::map<std::uint32_t, GroupSum> &groups,
           std::size_t newGroups, const RolloutEvidencePolicy &policy,
           RolloutFinding &out) {
  GroupSum all;
  const GroupSum *worst = nullptr;
  std::uint32_t worstGroup = 0;
  for (const auto &[group, it] : groups) {
    all.Responses += it.Responses;
    all.Bad += it.Bad;
    all.Expected += it.Expected;
    if (worst == nullptr || it.excess() > worst->excess()) {
      worst = &it;
      worstGroup = group;
    }
  }
  if (worst == nullptr ||
      !exceeds(all.Bad, all.Expected, policy.MinBad, policy)) {
    return;
  }
  const double elsewhere = all.Bad - worst->Bad;
  const double expectedElsewhere = all.Expected - worst->Expected;
  if (newGroups > 1 &&
      !exceeds(elsewhere, expectedElsewhere, policy.MinBadElsewhere, policy)) {
    out.FaultyGroups.insert(worstGroup);
    return;
  }
  if (!out.IsBad) {
    out.IsBad = true;
    out.Route = route;
    out.Responses = all.Responses;
    out.Bad = all.Bad;
    out.Expected = all.Expected;
  }
}

} // namespace

const char *rolloutStageName(RolloutStage stage) {
  switch (stage) {
  case RolloutStage::Baseline:
    return "baseline";
  case RolloutStage::Observation:
    return "observation";
  case RolloutStage::Load:
    return "load";
  case RolloutStage::Ramp:
    return "ramp";
  case RolloutStage::Moved:
    return "moved";
  }
  return "unknown";
}

std::uint32_t rolloutGroup(const TargetId &target) {
  return static_cast<std::uint32_t>(1 +
                                    rendezvousSeed(target.Text) % GroupCount);
}

RolloutCount &RolloutCount::operator+=(const RolloutCount &other) {
  Requests += other.Requests;
  Responses += other.Responses;
  Bad += other.Bad;
  FirstSeconds += other.FirstSeconds;
  TotalSeconds += other.TotalSeconds;
  return *this;
}

void addCounts(RolloutCounts &sum, const RolloutCounts &other) {
  for (const auto &[key, count] : other) {
    sum[key] += count;
  }
}

RolloutFinding compareVersions(const RolloutCounts &counts,
                               std::size_t newGroups,
                               const RolloutEvidencePolicy &policy) {
  const PreviousVersion previous(counts, policy);
  std::map<std::uint32_t, GroupSum> all;
  std::map<std::string, std::map<std::uint32_t, GroupSum>> byRoute;
  for (const auto &[key, count] : counts) {
    if (key.Group == 0) {
      continue;
    }
    const double expected = count.Responses * previous.badShare(key);
    for (GroupSum *it : {&all[key.Group], &byRoute[key.Route][key.Group]}) {
      it->Responses += count.Responses;
      it->Bad += count.Bad;
      it->Expected += expected;
    }
  }
  RolloutFinding out;
  judge("", all, newGroups, policy, out);
  for (const auto &[route, groups] : byRoute) {
    judge(route, groups, newGroups, policy, out);
  }
  return out;
}

std::map<std::string, UsualTimes>
usualResponseTimes(const RolloutCounts &counts,
                   const RolloutEvidencePolicy &policy) {
  std::map<std::string, RolloutCount> sums;
  for (const auto &[key, count] : counts) {
    if (key.Group == 0) {
      sums[key.Route] += count;
    }
  }
  std::map<std::string, UsualTimes> out;
  for (const auto &[route, it] : sums) {
    const std::uint32_t timed = it.Responses - std::min(it.Bad, it.Responses);
    if (timed >= policy.MinTimedResponses) {
      const auto mean = [timed](double seconds) {
        return Duration(static_cast<std::int64_t>(seconds / timed * 1e6));
      };
      out[route] = {mean(it.FirstSeconds), mean(it.TotalSeconds)};
    }
  }
  return out;
}

} // namespace nutmegsill::routing
