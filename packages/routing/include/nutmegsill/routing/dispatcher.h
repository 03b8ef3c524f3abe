/// Chooses targets for requests. No I/O and no clock: time is an argument.
#pragma once

#include "nutmegsill/routing/cached_parts.h"
#include "nutmegsill/routing/load_report.h"
#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/peer_loads.h"
#include "nutmegsill/routing/prompt.h"
#include "nutmegsill/routing/report_paths.h"
#include "nutmegsill/routing/retry_budget.h"
#include "nutmegsill/routing/team_share.h"

#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// What decides where a request goes.
struct RequestFacts {
  const RouteRule *Route = nullptr;
  PoolId Pool;
  TeamId Team;
  Prompt Content;
  /// Time since the caller's request arrived.
  Duration Waited{0};
  /// Time until it must be answered.
  Duration Left{0};
  /// Targets that it was already sent to.
  std::vector<TargetId> Tried;
  /// An earlier target may have got it.
  bool Repeat = false;
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
  Duration Expected{0};
  /// Age of the oldest peer report that decided, in milliseconds.
  std::int64_t ReportAgeMs = 0;
  /// What its team gets over its fair share.
  double UsedShare = 0;
};

/// Why a request is not sent to a target.
enum class TurnedAway { NoTarget, Overloaded, TeamOverShare, RetryBudget };
const char *turnedAwayName(TurnedAway why);

struct Rejection {
  TurnedAway Why = TurnedAway::NoTarget;
  Duration RetryAfter{0};
  Duration Expected{0};
  double UsedShare = 0;
};

using Choice = std::variant<Assignment, Rejection>;

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
  Duration FirstEventBase = milliseconds(45);
  /// Part of a request's worth that is lost when it is late. The sheets state
  /// 0.5 to 0.7.
  double LateLoss = 0.6;
  /// Part of a request's worth that reading all of its shared parts again
  /// costs. The sheets' price of a token is about half of its worth.
  double RereadLoss = 0.5;
  /// The same while the engines have `BusyWait` of prompts to read: what is
  /// read again then displaces two to three times its worth.
  double RereadLossBusy = 1.2;
  Duration BusyWait = milliseconds(250);
  /// Weight of the expected time, as part of the objective, among targets that
  /// are in time.
  double WaitLoss = 0.15;
  /// Weight of the prompts that a target was sent lately, over the mean of its
  /// pool: new parts go where fewer are asked for.
  double SpreadLoss = 0.1;
  /// Preference for the target that all routers choose first for a part.
  double HomeGain = 0.05;
  /// Expected time, as part of the objective, from which a request may be
  /// late, and at which it is.
  double LateFrom = 0.6;
  double LateAt = 1.2;
  /// Part of the objective that the expected time may reach for a team that
  /// gets at most `ShareFrom` of its fair share. It falls to `LeastWait` for a
  /// team that gets `ShareTo` of it and further with the inverse of the share,
  /// so that teams that get less go first.
  double MostWait = 0.9;
  double LeastWait = 0.25;
  double ShareFrom = 0.8;
  double ShareTo = 2.8;
  /// Part of the objective that a prompt may wait which takes longer than its
  /// objective by itself.
  double LargeWait = 0.25;
  /// Part of an engine's memory in which parts stay after their last use; the
  /// rest holds running requests.
  double CacheShare = 0.7;
  /// Time after which a part is forgotten.
  Duration CacheMemory = std::chrono::seconds(60);
  /// Engines that are compared in a fleet of more than one row, of those with
  /// the most cached parts and of the others. Many routers that see the same
  /// old loads would all send to the engine that looks best; a few random ones
  /// spread them (M. Mitzenmacher, How useful is old information?, 2000).
  std::size_t RandomOptions = 6;
  /// Age at which a peer's report is dropped.
  Duration ReportLife = milliseconds(1'500);
  /// Part of the cold bound that the fleet uses.
  double ColdShare = 0.6;
  /// Routers that may send to one cold target.
  std::uint32_t ColdSenders = 3;
};

/// What a router tells the others, and whom.
struct OutgoingReports {
  /// Its own traffic, for its row.
  LoadReport Own;
  /// The traffic of its row, for routers of other rows.
  LoadReport Row;
  ReportPaths Paths;
};

/// The choices of one router. Not thread-safe.
class Dispatcher {
public:
  Dispatcher(HostId self, DispatchPolicy policy, RetryBudgetPolicy budget);

  void adopt(std::shared_ptr<const FleetView> view, Time now);
  void hear(const HostId &peer, LoadReport report, Time now);
  /// Counts a caller's request for its team and its pool's retry budget.
  void arrived(const RequestFacts &request, Time now);

  Choice choose(const RequestFacts &request, Time now);
  /// The first bytes of the answer's body have come.
  void began(Assignment &assignment, Time now);
  void ended(Assignment &assignment, ExchangeResult result, Time now);

  OutgoingReports reports(Time now);
  /// Age of the oldest report that decides.
  Duration oldestReport(Time now) const { return Peers.oldest(now); }
  /// Connections that this router may hold to one target of the pool.
  std::uint32_t connectionShare(const PoolId &pool) const;

private:
  struct TargetState {
    KnownTarget Known;
    std::uint64_t PrefillTokens = 0;
    std::uint32_t Running = 0;
    /// Part of recent exchanges that failed.
    double FailureRate = 0;
    Time AvoidUntil{};
    Duration AvoidFor{0};
    Time LastProgress{};
    /// Cold-start permits of this router.
    double ColdPermits = 1;
    Time ColdPermitsAt{};
    bool ColdSender = false;
  };
  /// An engine that could take a request.
  struct EngineOption {
    TargetState *Target = nullptr;
    std::uint32_t CachedTokens = 0;
    /// Expected time to the first event.
    Duration Expected{0};
    /// Prompts sent lately over the mean of the pool, less one; at most 1.
    double Spread = 0;
  };

  bool usable(TargetState &state, const RequestFacts &request, Time now);
  Choice chooseEngine(const RequestFacts &request, Time now);
  Choice chooseService(const RequestFacts &request, Time now);
  std::vector<TargetState *> candidates(const RequestFacts &request, Time now);
  Assignment assign(TargetState &state, const RequestFacts &request, Time now);
  /// Part of the objective that a request of the team may be expected to take.
  double waitPart(double usedShare) const;
  std::vector<EngineOption> engineOptions(const RequestFacts &request,
                                          const EngineLimits &limits,
                                          const TargetId *home, bool all,
                                          Time now);
  /// The engine with the least loss, of a few random ones or of all.
  std::optional<EngineOption> bestEngine(const RequestFacts &request,
                                         const PoolRule &pool, bool all,
                                         Time now);
  /// Longest time to the first event for which a request is sent.
  Duration waitLimit(const RequestFacts &request, const EngineOption &engine,
                     double usedShare) const;
  /// What the team gets of its fair share, over the whole fleet.
  double usedShare(const TeamId &team, Time now);
  /// The engines that are compared for a request.
  std::vector<TargetState *>
  compared(std::vector<TargetState *> open,
           const std::map<TargetId, std::uint32_t> &cached,
           const TargetId *home);
  double lossAt(const EngineOption &option, const RequestFacts &request,
                const TargetId *home, std::uint32_t cachedAnywhere,
                double busy) const;
  /// How busy the pool's engines are, from 0 to 1.
  double busyPart(const PoolId &pool) const;
  const TargetId *homeOf(const Prompt &content, const PoolId &pool) const;
  void countEngines();
  /// Tokens a second that one engine reads.
  double prefillRate() const;
  void markColdSenders();

  HostId Self;
  DispatchPolicy Policy;
  RetryBudget Budget;
  TeamShares Shares;
  std::shared_ptr<const FleetView> View;
  std::map<TargetId, TargetState> Targets;
  PeerLoads Peers;
  /// `PeerLoads::version` that `Shares` was told.
  std::uint64_t SharesVersion = 0;
  CachedParts Caches;
  ReportPaths Paths;
  /// The hosts of `Paths.Row`.
  std::set<HostId> Row;
  /// Prompts of this router, and of its row, that are not reported yet.
  SentLog SentHere;
  SentLog SentByRow;
  std::uint64_t Turn = 0;
  std::minstd_rand Random;
  /// Most engines of any view.
  std::size_t MostEngines = 0;
};

} // namespace nutmegsill::routing
