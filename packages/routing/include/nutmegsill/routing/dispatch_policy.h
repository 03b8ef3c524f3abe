/// Constants of the choice of targets.
#pragma once

#include "nutmegsill/routing/rollout.h"
#include "nutmegsill/routing/zone_homes.h"
#include "nutmegsill/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace nutmegsill::routing {

struct DispatchPolicy {
  /// Time to the first event in addition to the prefill: the decode steps of
  /// the first event and both network hops.
  Duration FirstEventOverhead = milliseconds(45);
  /// Fraction of a request's value that is lost when it is late. The users'
  /// fleet sheets state 0.5 to 0.7.
  double LatenessCost = 0.6;
  /// Cost of recomputing all shared parts of a prompt, as a fraction of the
  /// request's value. The fleet sheets price a token at about half of its
  /// value.
  double RecomputeCost = 0.5;
  /// `RecomputeCost` at a mean prefill backlog per engine of `BusyBacklog` or
  /// more, when recomputation displaces two to three times its own value.
  double BusyRecomputeCost = 1.2;
  Duration BusyBacklog = milliseconds(250);
  /// Largest backlog that is told apart, relative to `BusyBacklog`: in the
  /// second of the longest queue most requests are late.
  double MaxBacklog = 4;
  /// Cost of an expected time that equals the objective; proportional to the
  /// expected time, so that it ranks the targets that meet the objective.
  double WaitCost = 0.15;
  /// Weight of `EngineCandidate::Imbalance`: prompts with new parts go to
  /// targets that were sent fewer tokens recently.
  double ImbalanceCost = 0.1;
  /// Cost reduction for the target that the rendezvous hash assigns to a part.
  /// All routers prefer the same target for a part.
  double PreferredTargetBonus = 0.05;
  /// Cost of an engine in another availability zone: the bytes of the request
  /// and its response cross zones. Less than that of reading a part again.
  double CrossZoneCost = 0.015;
  /// Expected times, as fractions of the objective, between which the lateness
  /// of a request rises from 0 to 1.
  double LatenessRampStart = 0.6;
  double LatenessRampEnd = 1.2;
  /// Fraction of the objective that the expected time may reach. It is
  /// `MaxWaitFraction` for a team that uses at most `WaitRampStart` of its fair
  /// share, falls linearly to `MinWaitFraction` at `WaitRampEnd`, and beyond
  /// that with the inverse of the usage. Requests beyond the share of their
  /// team wait for a fraction of the pool's shortest objective instead.
  double MaxWaitFraction = 0.9;
  double MinWaitFraction = 0.25;
  double WaitRampStart = 0.8;
  double WaitRampEnd = 2.8;
  /// A team's requests weigh 1 at limited targets while it uses at most
  /// `WaitRampStart` of its fair share, and less by this power of its usage
  /// beyond that.
  double LimitShareExponent = 4;
  /// Highest used share by which the wait of requests within the share of
  /// their team falls: to 0.58 of the objective. With 2 teams differ by more
  /// than a tenth of their shares while reports are late, with 1.5 more
  /// responses are late (docs/design/fleet-capacity.md).
  double MaxUsageWithinShare = 1.8;
  /// Queueing time allowed to a prompt whose own prefill takes most of the time
  /// that its team may wait, as a fraction of that time.
  double LargePromptWaitFraction = 0.25;
  /// Fraction of an engine's KV cache that keeps parts after their last use;
  /// the rest holds running requests.
  double PrefixCacheFraction = 0.7;
  /// Time after the last use of a part until it is no longer tracked.
  Duration PrefixCacheRetention = std::chrono::seconds(60);
  /// In a fleet of more than one router group, the number of random engines
  /// that are compared for a request: up to this many of the engines with the
  /// most cached tokens, and up to this many of the rest. Routers that see the
  /// same stale loads would otherwise all choose the same engine; random
  /// sampling spreads their requests (M. Mitzenmacher, How useful is old
  /// information?, 2000).
  std::size_t RandomCandidates = 6;
  /// Age at which a peer's load report expires.
  Duration MaxReportAge = milliseconds(1'500);
  /// Time for which what the reports say of teams and targets is not summed up
  /// again: much less than their age, so that a request costs little.
  Duration SummaryInterval = milliseconds(20);
  /// Fraction of `PoolRule::ColdRequestRate` that the fleet uses.
  double ColdRateFraction = 0.6;
  /// Number of preferred routers that may send to one cold target.
  std::uint32_t ColdSenderCount = 3;
  ZoneHomePolicy ZoneHomes;
  /// Fraction of the objective at which a plain target is expected to have
  /// responded; the rest is for the way back to the caller.
  double ServiceTimeFraction = 0.9;
  /// The same for requests that may be repeated: the last places are for those
  /// that run at most once, at all routers.
  double RepeatableTimeFraction = 0.6;
  /// Fraction of the objective for which a request waits for a place at the
  /// router if it would be late at every target. The other half is enough for
  /// the usual time, about a fifth of the objective, on a slow target.
  double PlaceWaitFraction = 0.5;
  /// The same fraction that a request that is late already may take at a
  /// target: it yields to those that can still be in time.
  double LateServiceFraction = 0.5;
  /// Without it, orders to move a pool to another version are ignored.
  std::optional<RolloutPolicy> Rollout = {};
};

} // namespace nutmegsill::routing
