/// Keeps what targets state of themselves in their responses, and divides the
/// requests that a target takes among the routers.
///
/// Answers the load of more requests than a target takes from all routers
/// together, spread over few or hundreds of routers.
///
/// A target's limit holds for all routers together. The routers exchange with
/// their load reports how many requests they have for a target at its limit;
/// each sends the same fraction of its requests there, so that they add up to
/// the limit. They also exchange how much they have sent: while demand grows,
/// fractions that are out of date do not exceed the limit for long.
#pragma once

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/routing/meter.h"
#include "nutmegsill/routing/target_process.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// What one response states of its target.
struct TargetStatement {
  /// Requests per second that the target takes from all routers together;
  /// nothing if it states no limit.
  std::optional<double> RequestRate;
  /// The value of a limit that is no finite, non-negative number.
  std::string InvalidRate;
  /// The target's process leaves and takes no new requests.
  bool Leaving = false;
  /// Time for which the target takes nothing from this router.
  std::optional<Duration> Pause;
  /// The value of a pause that is no finite, non-negative number.
  std::string InvalidPause;
};

/// What a target stated, and the use of its limit by one router, or by several
/// together.
struct StatementReport {
  TargetProcess Process;
  /// Requests per second; nothing if the target states no limit any more.
  std::optional<double> Rate;
  /// Time since the response that stated it.
  Duration Age{0};
  /// Weights of the requests per second that were offered to the target.
  double Demand = 0;
  /// Requests sent in the last `StatementPolicy::Window`.
  std::uint32_t Sent = 0;
  bool Leaving = false;
};

struct StatementPolicy {
  /// Time over which the requests of the whole fleet are counted against a
  /// limit.
  Duration Window = std::chrono::seconds(4);
  /// Time in which one router sends no more than the limit allows for it, and
  /// one request: waiting callers do not come as a burst.
  Duration BurstWindow = std::chrono::seconds(1);
  /// Lowest rate, in requests per second: a target that takes nothing is asked
  /// now and then whether it still does.
  double MinRate = 0.1;
  /// Time without any report after which a router counts as cut off from its
  /// peers, and for which the last report of a silent peer counts.
  Duration PeerMemory = std::chrono::seconds(5);
  /// Time after a limit is heard in which the peers have not reported their
  /// demand.
  Duration ReportDelay = milliseconds(1'500);
  /// Longest pause: no statement keeps a target out for good.
  Duration MaxPause = std::chrono::seconds(30);
  /// Time after a pause in which one request is sent until its response has
  /// come.
  Duration MaxTrialTime = std::chrono::seconds(1);
  /// Time for which an unknown process is remembered as leaving: its entry in
  /// the store may return.
  Duration LeavingMemory = std::chrono::seconds(60);
  /// Time for which a change is reported even without demand.
  Duration ChangeMemory = std::chrono::seconds(2);
  /// Least time by which a peer's statement must be newer to replace one of
  /// another value: reports take some time.
  Duration MinNewer = milliseconds(200);
};

/// Not thread-safe.
class TargetStatements {
public:
  explicit TargetStatements(HostId self, StatementPolicy policy = {})
      : Self(std::move(self)), Policy(policy) {}

  /// Forgets the targets that are not in `known`, and sets the number of
  /// routers of the fleet.
  void setFleet(const std::set<TargetProcess> &known, std::size_t routers,
                Time now);
  /// Records the statement of a response to a request sent at `sentAt`.
  void hear(const TargetProcess &process, const TargetStatement &statement,
            Time sentAt, Time now);
  /// Replaces the previous report of `peer`.
  void receive(const HostId &peer, std::vector<StatementReport> report,
               Time now);

  /// Whether the target neither leaves nor pauses. After a pause it is closed
  /// again while the response to the first request is awaited.
  bool isOpen(const TargetProcess &process, Time now) const;
  /// Remaining time of the target's pause; nothing without one.
  std::optional<Duration> pauseOf(const TargetProcess &process, Time now) const;
  /// Offers a request to a target. If true, the request counts as sent. Of
  /// requests with a lower `weight`, at most 1, a limited target takes a
  /// smaller fraction.
  bool offer(const TargetProcess &process, Time now, double weight = 1);
  /// Requests per second that this router may send; nothing without a limit.
  std::optional<double> ownRate(const TargetProcess &process, Time now);
  /// The stated limit, in requests per second; nothing without one.
  std::optional<double> statedRate(const TargetProcess &process) const;

  /// The limits and their use by this router.
  std::vector<StatementReport> ownReport(Time now);
  /// Adds the use by `peers` to `own`.
  std::vector<StatementReport>
  groupReport(const std::vector<StatementReport> &own,
              const std::vector<HostId> &peers, Time now) const;
  /// Returns and clears the changes for the log.
  std::vector<FleetChange> takeChanges();

private:
  struct Target {
    /// The stated limit, in requests per second.
    std::optional<double> Rate;
    /// When the response that stated it was received.
    Time HeardAt{};
    Time ChangedAt{};
    bool InvalidLogged = false;
    bool Leaving = false;
    /// End of the last pause.
    Time PausedUntil{};
    /// The first request since that pause has not been sent yet.
    bool TrialDue = false;
    /// Time up to which the response to that request is awaited.
    Time TrialUntil{};
    /// Sum of the parts of a request that the offers since the last request
    /// amount to.
    double Credit = 0;
    /// Weights of the requests offered by this router.
    Meter Demand{4};
    /// Times of this router's requests in the last `Window` under the limit.
    std::deque<Time> SentAt;
    double PeerDemand = 0;
    std::uint32_t PeerSent = 0;
  };
  struct PeerReport {
    std::vector<StatementReport> Statements;
    Time ReceivedAt{};
  };
  void setLeaving(const TargetProcess &process, const char *source, Time now);
  void setPause(Target &target, const TargetProcess &process, Duration pause,
                Time now);
  void setRate(const TargetProcess &process, std::optional<double> rate,
               Time heardAt, const char *source, Time now);
  /// Fraction of the offered weight that the limit allows; more than 1 if it
  /// allows all.
  double allowedFraction(Target &target, Time now) const;
  /// Adds the part of a request that an offer of `weight` amounts to; returns
  /// whether they add up to a request that may be sent, and counts it.
  bool takeCredit(Target &target, Time now, double weight);
  /// Requests of this router in the last `StatementPolicy::Window`.
  std::uint32_t countSent(Target &target, Time now) const;
  /// Whether the requests counted so far leave room for another.
  bool hasRoom(Target &target, Time now) const;
  void expirePeers(Time now);
  void subtract(const PeerReport &report);

  HostId Self;
  StatementPolicy Policy;
  std::size_t Routers = 1;
  std::map<TargetProcess, Target> Targets;
  std::map<HostId, PeerReport> Peers;
  /// Time of the last report of any peer.
  Time LastReportAt{};
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
