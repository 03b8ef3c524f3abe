/// Chooses targets for requests. Does no I/O and reads no clock: the current
/// time is an argument.
#pragma once

#include "nutmegsill/routing/crash_quarantine.h"
#include "nutmegsill/routing/dispatch_policy.h"
#include "nutmegsill/routing/fleet_capacity.h"
#include "nutmegsill/routing/load_report.h"
#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/peer_loads.h"
#include "nutmegsill/routing/place_queue.h"
#include "nutmegsill/routing/prefill_rate.h"
#include "nutmegsill/routing/prefix_cache_tracker.h"
#include "nutmegsill/routing/prompt.h"
#include "nutmegsill/routing/report_recipients.h"
#include "nutmegsill/routing/request_identity.h"
#include "nutmegsill/routing/retry_budget.h"
#include "nutmegsill/routing/rollout.h"
#include "nutmegsill/routing/service_load.h"
#include "nutmegsill/routing/stream_origins.h"
#include "nutmegsill/routing/target_statements.h"
#include "nutmegsill/routing/team_share.h"
#include "nutmegsill/routing/zone_homes.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// The properties of a request that the choice of a target depends on.
struct DispatchRequest {
  const RouteRule *Route = nullptr;
  PoolId Pool;
  TeamId Team;
  PromptDescription Prompt;
  RequestIdentity Identity;
  /// Time since the request arrived.
  Duration ElapsedTime{0};
  /// Time until the request's deadline.
  Duration RemainingTime{0};
  /// Targets of earlier attempts.
  std::vector<TargetId> AttemptedTargets;
  /// An earlier attempt may have reached its target.
  bool IsRetry = false;
  /// Set while the request waits for a place at a plain target.
  std::optional<PlaceTicket> Ticket;
  /// The attempt starts beside another one of the same request.
  bool IsHedge = false;
  /// Set if part of the response comes from this version of the software, so
  /// that the rest must, too.
  std::optional<std::string> Version = {};
};

/// The target chosen for one attempt of a request.
struct Assignment {
  TargetId Target;
  std::string Address;
  /// `TargetEntry::StartedAtMs` of the target's process.
  std::int64_t TargetStartedAtMs = 0;
  /// `TargetEntry::Version` of the process.
  std::string Version = {};
  PoolId Pool;
  /// Prompt tokens that the target is expected to prefill.
  std::uint32_t PrefillTokens = 0;
  /// Prompt tokens that the target is expected to have cached.
  std::uint32_t CachedTokens = 0;
  /// Prompt tokens that the target has to prefill before the first event, for
  /// this and earlier requests; 0 after the first event.
  double OutstandingTokens = 0;
  Time SentAt{};
  /// Expected time to the first event.
  Duration ExpectedFirstEvent{0};
  /// Age of the oldest peer report used for the choice, in milliseconds.
  std::int64_t OldestReportAgeMs = 0;
  FairShare Share;
  /// Requests per second that the target states it takes; nothing without a
  /// limit.
  std::optional<double> StatedRate;
  /// The request is a trial of a quarantined cause.
  bool IsTrial = false;
  /// Expected time of the response of a plain target relative to the usual
  /// time; 0 if the target has stated no load.
  double TimeFactor = 0;
  /// Set while the pool moves to another version.
  std::optional<RolloutSample> Rollout = {};
};

/// Why no target was chosen for a request.
enum class RejectionReason {
  NoTarget,
  /// No target runs the version that began the stream.
  NoTargetOfVersion,
  Overloaded,
  TeamOverShare,
  RetryBudget,
  /// The targets get as many requests as they state they take.
  TargetsLimited,
  /// The targets state that they take nothing for a while.
  TargetsPaused,
  /// Targets have ended each time that they ran the request.
  RequestQuarantined,
  /// Engines have ended under a part of the prompt.
  PromptQuarantined,
};
const char *rejectionReasonName(RejectionReason reason);

struct Rejection {
  RejectionReason Reason = RejectionReason::NoTarget;
  Duration RetryAfter{0};
  Duration ExpectedFirstEvent{0};
  FairShare Share;
  /// The quarantined request or part, and what is known against it.
  std::string Evidence = {};
  /// Time for which the request may wait for a place instead.
  Duration MayWait{0};
};

using DispatchDecision = std::variant<Assignment, Rejection>;

/// How an exchange with a target ended.
enum class ExchangeResult {
  Completed,
  /// The target responded with a server error.
  Failed,
  /// The target stated that it did not run the request.
  Refused,
  /// The process at the target's address is another one; it did not run the
  /// request.
  Misdirected,
  /// The connection failed; nothing was sent.
  Unreachable,
  /// The connection was lost or the response was invalid.
  Broken,
  /// The connection was lost, and no process accepts connections at the
  /// target's address any more.
  TargetEnded,
  /// No response within the time limit.
  TimedOut,
  /// The caller disconnected.
  Cancelled,
};

/// The load reports of one interval and their recipients.
struct OutgoingReports {
  /// Traffic of this router, for its group.
  LoadReport OwnReport;
  /// Traffic of the whole group, for routers of other groups.
  LoadReport GroupReport;
  ReportRecipients Recipients;
};

/// Tracks the load of all targets and chooses targets for the requests of one
/// router. Not thread-safe.
class Dispatcher {
public:
  Dispatcher(HostId self, DispatchPolicy policy, RetryBudgetPolicy budget);

  /// Replaces the fleet view. Keeps the load and the failure rate of targets
  /// whose process and address are unchanged.
  void setView(std::shared_ptr<const FleetView> view, Time now);
  void receiveReport(const HostId &peer, LoadReport report, Time now);
  /// Counts an admitted request towards its team's demand and its pool's retry
  /// budget.
  void recordRequest(const DispatchRequest &request, Time now);

  /// Chooses the target of one attempt and adds the request to its load.
  /// Requires a view.
  DispatchDecision chooseTarget(const DispatchRequest &request, Time now);
  /// Records that part of the response body has arrived; the prefill is done.
  void recordProgress(Assignment &assignment, Time now);
  /// Records the end of an exchange; call once for every assignment.
  void recordResult(Assignment &assignment, ExchangeResult result, Time now);
  /// Records what the response's header states of the target.
  void recordStatement(const Assignment &assignment,
                       const TargetStatement &statement, Time now);
  /// Records the load that the response's header states of the target.
  void recordLoad(const Assignment &assignment, const StatedLoad &load,
                  Time now);
  /// The requests that wait for a place at a plain target.
  PlaceQueue &placeQueue() { return Places; }
  /// Time until a target of the request's pool is expected to serve one in
  /// time; `otherwise` for pools whose targets state no load.
  Duration placeRetryAfter(const DispatchRequest &request, Duration otherwise,
                           Time now);
  /// Takes back that the request was a trial of a quarantined cause, as no
  /// target ran it.
  void withdrawTrial(const DispatchRequest &request,
                     const Assignment &assignment);
  /// Records that the target ended before the response had lasted.
  void recordLost(const DispatchRequest &request, const Assignment &assignment,
                  Time now);
  /// Records that the response has lasted, or is complete.
  void recordSurvived(const DispatchRequest &request,
                      const Assignment &assignment, Time now);
  /// Whether a request whose target ended may be sent again.
  bool mayRepeat(const DispatchRequest &request, Time now) const {
    return Quarantine.mayRepeat(suspectOf(request), now);
  }
  /// Records that the assignment's target begins a stream or goes on with it.
  /// The arguments are those of `StreamOrigins::record`.
  void recordStreamOrigin(StreamKey key, const Assignment &assignment,
                          std::optional<Duration> callerTime,
                          Duration routeTimeout, Time now);
  /// Whether the assignment's target states another version by now, so that
  /// either may have responded.
  bool isReplaced(const Assignment &assignment) const;
  /// The processes that began streams, also those of other routers.
  StreamOrigins &streamOrigins() { return Origins; }
  /// Returns and clears the changes of the quarantine, of what targets state
  /// and of roll-outs.
  std::vector<FleetChange> takeChanges();

  /// Returns the reports to send and clears the unreported prompts. Also
  /// expires peer reports and cached parts; call periodically. Without
  /// `forRemotePeers` the group's report is left for a later call.
  OutgoingReports collectReports(Time now, bool forRemotePeers = true);
  const ReportRecipients &reportRecipients() const { return Recipients; }
  /// Whether callers are sent to this router first, so that its silence shows
  /// that it is dead.
  bool isPreferredRouter() const { return IsPreferred; }
  /// Age of the oldest peer report in use.
  Duration oldestReportAge(Time now) const {
    return Peers.oldestReportAge(now);
  }
  /// The roll-outs of versions, for their decisions and the store's age.
  Rollouts &rollouts() { return Versions; }
  /// Maximum number of connections from this router to one target of the pool:
  /// `PoolRule::MaxConnections` divided by the number of routers, at least 1; 0
  /// if the pool has no limit or is unknown.
  std::uint32_t maxConnectionsPerTarget(const PoolId &pool) const;

private:
  struct TargetState {
    KnownTarget Known;
    std::uint64_t PrefillTokens = 0;
    std::uint32_t RunningRequests = 0;
    /// Fraction of recent exchanges that failed, as a moving average.
    double FailureRate = 0;
    Time EjectedUntil{};
    Duration EjectionTime{0};
    Time LastProgressAt{};
    /// Token bucket of this router for sending while the target is cold.
    double ColdPermits = 1;
    Time ColdPermitsUpdatedAt{};
    bool MaySendWhileCold = false;
    std::uint64_t Seed = 0;
    PrefillRate ObservedRate;
    /// As of the last summary of the pool.
    PeerLoads::TotalLoad PeerLoad;
    double RecentTokens = 0;
    /// Prompt tokens per second that the engine is expected to prefill.
    double ExpectedRate = 0;
  };
  struct PoolState {
    /// Pointers into `Dispatcher::Targets`.
    std::vector<TargetState *> Targets;
    /// Prompt tokens per second that an engine is expected to prefill.
    double ExpectedRate = 0;
    /// Prefill backlog of the engines relative to
    /// `DispatchPolicy::BusyBacklog`, up to `DispatchPolicy::MaxBacklog`.
    double Backlog = 0;
    double MeanRecentTokens = 0;
    std::optional<Time> SummedUpAt;
    /// When the last request rejected for limits was told to return.
    Time LastReturnAt{};
  };
  /// An engine that a request could be sent to.
  struct EngineCandidate {
    TargetState *Target = nullptr;
    std::uint32_t CachedTokens = 0;
    double OutstandingTokens = 0;
    /// Expected time to the first event.
    Duration ExpectedFirstEvent{0};
    /// Recently sent prompt tokens relative to the mean of all eligible
    /// engines, minus one; at most 1.
    double Imbalance = 0;
    double Cost = 0;
  };
  /// A plain target that a request could be sent to.
  struct ServiceCandidate {
    TargetState *Target = nullptr;
    /// Time of the response relative to the usual time.
    double TimeFactor = 1;
    Duration Expected{0};
    /// Further requests that it can serve in time; 0 if it would be late.
    double Headroom = 0;
  };

  /// Only engines are asked for prompts.
  SuspectRequest suspectOf(const DispatchRequest &request) const;
  std::optional<Rejection> rejectQuarantined(const DispatchRequest &request,
                                             Time now) const;
  static TargetProcess processOf(const TargetState &state) {
    return {state.Known.Entry.Target, state.Known.Entry.StartedAtMs};
  }
  /// The target of an assignment; null if it is gone or another process.
  TargetState *assignedTarget(const Assignment &assignment);
  bool isEligible(TargetState &state, const DispatchRequest &request, Time now);
  /// Chooses among the versions that a roll-out allows.
  DispatchDecision chooseByVersion(const DispatchRequest &request, Time now);
  DispatchDecision chooseByKind(const DispatchRequest &request, Time now);
  void recordVersionResult(const Assignment &assignment, ExchangeResult result,
                           Time now);
  void updateVersions(Time now);
  DispatchDecision chooseEngine(const DispatchRequest &request, Time now);
  DispatchDecision chooseService(const DispatchRequest &request, Time now);
  /// Chooses by the requests in flight, if no target has stated its load.
  DispatchDecision
  chooseUnstatedService(const std::vector<TargetState *> &eligible,
                        const DispatchRequest &request, Time now);
  std::vector<ServiceCandidate>
  serviceCandidates(const std::vector<TargetState *> &eligible,
                    const DispatchRequest &request, Time now);
  /// Orders the candidates: a random one of those with headroom first, then by
  /// expected time.
  void rankServices(std::vector<ServiceCandidate> &candidates);
  /// Lets a request wait for a place, or rejects it.
  Rejection rejectForPlaces(const std::vector<ServiceCandidate> &candidates,
                            const DispatchRequest &request);
  /// Whether the target is plain and has stated its load.
  bool isStatedService(const Assignment &assignment) const;
  /// Learns from the end of a request to such a target; returns whether it is
  /// one.
  bool recordServiceResult(const Assignment &assignment, ExchangeResult result,
                           Time now);
  /// Returns the pool's targets with a recent summary of the peers' loads.
  PoolState &poolState(const PoolId &pool, Time now);
  std::vector<TargetState *> candidates(const DispatchRequest &request,
                                        Time now);
  /// Rejects a request that no target may get; if some pause, until the first
  /// pause ends.
  Rejection rejectWithoutTarget(const DispatchRequest &request,
                                Duration retryAfter, Time now);
  /// Rejects a request as all targets of its pool are at their limits.
  /// Successive requests are told to return one after the other, at the rate at
  /// which this router may send.
  Rejection rejectForLimits(const DispatchRequest &request,
                            const FairShare &share, Time now);
  Assignment assign(TargetState &state, const DispatchRequest &request,
                    Time now);
  Assignment assignEngine(const EngineCandidate &engine,
                          const DispatchRequest &request,
                          const FairShare &share, Time now);
  /// Fraction of the objective that the expected time may reach for a team with
  /// this fair-share usage.
  double waitFraction(double usage) const;
  /// Weight of the requests of such a team at limited targets.
  double limitWeight(double usage) const;
  std::vector<EngineCandidate> engineCandidates(const DispatchRequest &request,
                                                const EngineLimits &limits,
                                                const TargetId *preferred,
                                                bool compareAll, Time now);
  /// Returns the engines by their cost, lowest first: all candidates or a
  /// random sample.
  std::vector<EngineCandidate> rankEngines(const DispatchRequest &request,
                                           const PoolRule &pool,
                                           bool compareAll, Time now);
  /// Sends a request to the first engine of `ranked` whose limit allows it;
  /// rejects it if that is expected to respond too late.
  DispatchDecision sendToEngine(const std::vector<EngineCandidate> &ranked,
                                const DispatchRequest &request,
                                const FairShare &share, Time now);
  /// Maximum expected time to the first event at which a request is still sent.
  Duration waitLimit(const DispatchRequest &request,
                     const EngineCandidate &engine,
                     const FairShare &share) const;
  /// The shortest objective of the routes to the pool of `request`.
  Duration shortestObjective(const DispatchRequest &request) const;
  /// Ratio of the team's served rate to its fair share, over the whole fleet.
  FairShare fairShare(const DispatchRequest &request, Time now);
  /// Returns a random sample of `eligible`, and `preferred` if it is eligible,
  /// in a fleet of several router groups; otherwise all of `eligible`.
  std::vector<TargetState *>
  sampleCandidates(std::vector<TargetState *> eligible,
                   const std::map<TargetId, std::uint32_t> &cached,
                   const TargetId *preferred);
  double candidateCost(const EngineCandidate &candidate,
                       const DispatchRequest &request,
                       const TargetId *preferred, std::uint32_t cachedAnywhere,
                       double backlog, double crossZoneCost) const;
  /// Returns the target that the rendezvous hash assigns to the last shared
  /// part of the prompt; null if the prompt has none or no target serves the
  /// pool.
  const TargetId *preferredTarget(const PromptDescription &prompt,
                                  const PoolId &pool) const;
  void updatePools();
  /// Counts the engines of each zone for `PartHomes`.
  void updatePartHomes();
  /// Tells `Capacity` of the engines in the view.
  void updateEngines();
  /// Tells `Capacity` what the other routers observe.
  void hearPeers(Time now);
  /// Computes the capacity of the fleet from the state of its engines.
  void updateCapacity(Time now);
  /// Fraction of its rated throughput that an engine may be sent, if that is
  /// `ratedRequests` per second.
  double openFraction(const TargetState &state, const PoolRule &pool,
                      double ratedRequests, Time now) const;
  /// Learns from the time that the first event of a request took.
  void recordFirstEvent(TargetState &state, const Assignment &assignment,
                        Time now);
  void updateColdSenders();

  HostId Self;
  DispatchPolicy Policy;
  RetryBudget Budget;
  TeamShares Shares;
  std::shared_ptr<const FleetView> View;
  /// Availability zone of this router; empty until it is registered.
  ZoneId OwnZone;
  std::map<TargetId, TargetState> Targets;
  std::map<PoolId, PoolState> Pools;
  PeerLoads Peers;
  FleetCapacity Capacity;
  /// Time when the peers' rates were last summed up for `Shares`.
  std::optional<Time> SharesUpdatedAt;
  PrefixCacheTracker Caches;
  CrashQuarantine Quarantine;
  TargetStatements Statements;
  ServiceLoad Services;
  PlaceQueue Places;
  Rollouts Versions;
  StreamOrigins Origins;
  /// The choice of the request at hand; none if versions are not distinguished.
  std::optional<VersionChoice> AllowedVersions;
  bool IsPreferred = true;
  ReportRecipients Recipients;
  /// `Recipients.GroupPeers` as a set.
  std::set<HostId> GroupPeers;
  /// Prompts of this router, and of its group, that are not reported yet.
  SentPromptLog UnreportedOwnPrompts;
  SentPromptLog UnreportedGroupPrompts;
  std::uint64_t RotationOffset = 0;
  ZoneHomes PartHomes;
  std::minstd_rand Random;
};

} // namespace nutmegsill::routing
