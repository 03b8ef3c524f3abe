/// Chooses targets for requests. No I/O and no clock: time is an argument.
#pragma once

#include "nutmegsill/routing/load_report.h"
#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/peer_loads.h"
#include "nutmegsill/routing/prefix_cache_tracker.h"
#include "nutmegsill/routing/prompt.h"
#include "nutmegsill/routing/report_recipients.h"
#include "nutmegsill/routing/retry_budget.h"
#include "nutmegsill/routing/team_share.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// What decides where a request goes.
struct DispatchRequest {
  const RouteRule *Route = nullptr;
  PoolId Pool;
  TeamId Team;
  PromptDescription Prompt;
  /// Time since the caller's request arrived.
  Duration ElapsedTime{0};
  /// Time until it must be answered.
  Duration RemainingTime{0};
  /// Targets that it was already sent to.
  std::vector<TargetId> AttemptedTargets;
  /// An earlier target may have got it.
  bool IsRetry = false;
};

/// A request on its way to a target.
struct Assignment {
  TargetId Target;
  std::string Address;
  PoolId Pool;
  /// Prompt tokens that the target is expected to read.
  std::uint32_t PrefillTokens = 0;
  /// Prompt tokens that it is expected to have in its cache.
  std::uint32_t CachedTokens = 0;
  Time SentAt{};
  /// Expected time to the first event.
  Duration ExpectedFirstEvent{0};
  /// Age of the oldest peer report that decided, in milliseconds.
  std::int64_t OldestReportAgeMs = 0;
  /// What its team gets over its fair share.
  double FairShareUsage = 0;
};

/// Why a request is not sent to a target.
enum class RejectionReason { NoTarget, Overloaded, TeamOverShare, RetryBudget };
const char *rejectionReasonName(RejectionReason why);

struct Rejection {
  RejectionReason Reason = RejectionReason::NoTarget;
  Duration RetryAfter{0};
  Duration ExpectedFirstEvent{0};
  double FairShareUsage = 0;
};

using DispatchDecision = std::variant<Assignment, Rejection>;

/// How an exchange with a target ended.
enum class ExchangeResult {
  Completed,
  /// The target answered with an error of its own.
  Failed,
  /// The target states that it did not run the request.
  Refused,
  /// No connection; nothing was sent.
  Unreachable,
  /// The connection broke or the answer was unusable.
  Broken,
  /// No answer within the time.
  TimedOut,
  /// The caller left.
  Cancelled,
};

struct DispatchPolicy {
  /// Time to the first event beyond the prefill: decode steps of the first
  /// event and both network hops.
  Duration FirstEventOverhead = milliseconds(45);
  /// Part of a request's worth that is lost when it is late. The sheets state
  /// 0.5 to 0.7.
  double LatenessCost = 0.6;
  /// Part of a request's worth that reading all of its shared parts again
  /// costs. The sheets' price of a token is about half of its worth.
  double RecomputeCost = 0.5;
  /// The same while the engines have `BusyBacklog` of prompts to read: what is
  /// read again then displaces two to three times its worth.
  double BusyRecomputeCost = 1.2;
  Duration BusyBacklog = milliseconds(250);
  /// Weight of the expected time, as part of the objective, among targets that
  /// are in time.
  double WaitCost = 0.15;
  /// Weight of the prompts that a target was sent lately, over the mean of its
  /// pool: new parts go where fewer are asked for.
  double ImbalanceCost = 0.1;
  /// Preference for the target that all routers choose first for a part.
  double PreferredTargetBonus = 0.05;
  /// Expected time, as part of the objective, from which a request may be
  /// late, and at which it is.
  double LatenessRampStart = 0.6;
  double LatenessRampEnd = 1.2;
  /// Part of the objective that the expected time may reach for a team that
  /// gets at most `WaitRampStart` of its fair share. It falls to
  /// `MinWaitFraction` for a team that gets `WaitRampEnd` of it and further
  /// with the inverse of the share, so that teams that get less go first.
  double MaxWaitFraction = 0.9;
  double MinWaitFraction = 0.25;
  double WaitRampStart = 0.8;
  double WaitRampEnd = 2.8;
  /// Part of the objective that a prompt may wait which takes longer than its
  /// objective by itself.
  double LargePromptWaitFraction = 0.25;
  /// Part of an engine's memory in which parts stay after their last use; the
  /// rest holds running requests.
  double PrefixCacheFraction = 0.7;
  /// Time after which a part is forgotten.
  Duration PrefixCacheRetention = std::chrono::seconds(60);
  /// Engines that are compared in a fleet of more than one row, of those with
  /// the most cached parts and of the others. Many routers that see the same
  /// old loads would all send to the engine that looks best; a few random ones
  /// spread them (M. Mitzenmacher, How useful is old information?, 2000).
  std::size_t RandomCandidates = 6;
  /// Age at which a peer's report is dropped.
  Duration MaxReportAge = milliseconds(1'500);
  /// Part of the cold bound that the fleet uses.
  double ColdRateFraction = 0.6;
  /// Routers that may send to one cold target.
  std::uint32_t ColdSenderCount = 3;
};

/// What a router tells the others, and whom.
struct OutgoingReports {
  /// Its own traffic, for its row.
  LoadReport OwnReport;
  /// The traffic of its row, for routers of other rows.
  LoadReport GroupReport;
  ReportRecipients Recipients;
};

/// The choices of one router. Not thread-safe.
class Dispatcher {
public:
  Dispatcher(HostId self, DispatchPolicy policy, RetryBudgetPolicy budget);

  void setView(std::shared_ptr<const FleetView> view, Time now);
  void receiveReport(const HostId &peer, LoadReport report, Time now);
  /// Counts a caller's request for its team and its pool's retry budget.
  void recordRequest(const DispatchRequest &request, Time now);

  DispatchDecision chooseTarget(const DispatchRequest &request, Time now);
  /// The first bytes of the answer's body have come.
  void recordProgress(Assignment &assignment, Time now);
  void recordResult(Assignment &assignment, ExchangeResult result, Time now);

  OutgoingReports collectReports(Time now);
  /// Age of the oldest report that decides.
  Duration oldestReportAge(Time now) const {
    return Peers.oldestReportAge(now);
  }
  /// Connections that this router may hold to one target of the pool.
  std::uint32_t maxConnectionsPerTarget(const PoolId &pool) const;

private:
  struct TargetState {
    KnownTarget Known;
    std::uint64_t PrefillTokens = 0;
    std::uint32_t RunningRequests = 0;
    /// Part of recent exchanges that failed.
    double FailureRate = 0;
    Time EjectedUntil{};
    Duration EjectionTime{0};
    Time LastProgressAt{};
    /// Cold-start permits of this router.
    double ColdPermits = 1;
    Time ColdPermitsUpdatedAt{};
    bool MaySendWhileCold = false;
  };
  /// An engine that could take a request.
  struct EngineCandidate {
    TargetState *Target = nullptr;
    std::uint32_t CachedTokens = 0;
    /// Expected time to the first event.
    Duration ExpectedFirstEvent{0};
    /// Prompts sent lately over the mean of the pool, less one; at most 1.
    double Imbalance = 0;
  };

  bool isEligible(TargetState &state, const DispatchRequest &request, Time now);
  DispatchDecision chooseEngine(const DispatchRequest &request, Time now);
  DispatchDecision chooseService(const DispatchRequest &request, Time now);
  std::vector<TargetState *> candidates(const DispatchRequest &request,
                                        Time now);
  Assignment assign(TargetState &state, const DispatchRequest &request,
                    Time now);
  /// Part of the objective that a request of the team may be expected to take.
  double waitFraction(double usage) const;
  std::vector<EngineCandidate> engineCandidates(const DispatchRequest &request,
                                                const EngineLimits &limits,
                                                const TargetId *preferred,
                                                bool compareAll, Time now);
  /// The engine with the least loss, of a few random ones or of all.
  std::optional<EngineCandidate> bestEngine(const DispatchRequest &request,
                                            const PoolRule &pool,
                                            bool compareAll, Time now);
  /// Longest time to the first event for which a request is sent.
  Duration waitLimit(const DispatchRequest &request,
                     const EngineCandidate &engine, double usage) const;
  /// What the team gets of its fair share, over the whole fleet.
  double fairShareUsage(const TeamId &team, Time now);
  /// The engines that are compared for a request.
  std::vector<TargetState *>
  sampleCandidates(std::vector<TargetState *> open,
                   const std::map<TargetId, std::uint32_t> &cached,
                   const TargetId *preferred);
  double candidateCost(const EngineCandidate &candidate,
                       const DispatchRequest &request,
                       const TargetId *preferred, std::uint32_t cachedAnywhere,
                       double backlog) const;
  /// How busy the pool's engines are, from 0 to 1.
  double backlogFraction(const PoolId &pool) const;
  const TargetId *preferredTarget(const PromptDescription &content,
                                  const PoolId &pool) const;
  void updateMaxEngineCount();
  /// Tokens a second that one engine reads.
  double prefillRate() const;
  void updateColdSenders();

  HostId Self;
  DispatchPolicy Policy;
  RetryBudget Budget;
  TeamShares Shares;
  std::shared_ptr<const FleetView> View;
  std::map<TargetId, TargetState> Targets;
  PeerLoads Peers;
  /// `PeerLoads::version` that `Shares` was told.
  std::uint64_t SharesVersion = 0;
  PrefixCacheTracker Caches;
  ReportRecipients Recipients;
  /// The hosts of `Recipients.GroupPeers`.
  std::set<HostId> GroupPeers;
  /// Prompts of this router, and of its row, that are not reported yet.
  SentPromptLog UnreportedOwnPrompts;
  SentPromptLog UnreportedGroupPrompts;
  std::uint64_t RotationOffset = 0;
  std::minstd_rand Random;
  /// Most engines of any view.
  std::size_t MaxEngineCount = 0;
};

} // namespace nutmegsill::routing
