/// Aggregates the load reports of other routers.
#pragma once

#include "nutmegsill/routing/load_report.h"

#include <map>
#include <vector>

namespace nutmegsill::routing {

class PeerLoads {
public:
  struct TotalLoad {
    std::uint64_t PrefillTokens = 0;
    std::uint32_t RunningRequests = 0;
  };

  /// Reports older than `maxReportAge` are dropped.
  explicit PeerLoads(Duration maxReportAge) : MaxReportAge(maxReportAge) {}

  /// Replaces the previous report of `peer`, and the earlier reports that
  /// include one of the routers of this one: no router counts twice.
  void receiveReport(const HostId &peer, LoadReport report, Time now);
  void expire(Time now);

  TotalLoad loadOf(const TargetId &target) const;
  std::map<TeamId, TeamRate> teamRates() const;
  /// What the other routers observed of the engines, with the weight that it
  /// has now.
  PoolServiceSums poolServices(Time now) const;
  /// Whether there is a report that is not older than the longest interval
  /// between reports, with the time that it may take.
  bool hasReports(Time now) const;
  /// Age of the oldest report in use; 0 without reports.
  Duration oldestReportAge(Time now) const;
  /// Adds the target loads, team rates and observations of `peers` to `own`,
  /// and appends the peers that have a report to `IncludedHosts`.
  LoadReport aggregateWith(LoadReport own, const std::vector<HostId> &peers,
                           Time now) const;

private:
  struct ReceivedReport {
    LoadReport Report;
    Time ReceivedAt{};
  };
  bool isCurrent(const ReceivedReport &received, Time now) const {
    return now - received.ReceivedAt <= MaxReportAge;
  }
  /// Drops the reports of other routers that count a router of this one.
  void dropOverlapping(const HostId &peer, const LoadReport &report);
  void subtract(const LoadReport &report);

  Duration MaxReportAge;
  std::map<HostId, ReceivedReport> Reports;
  std::map<TargetId, TotalLoad> TargetTotals;
};

} // namespace nutmegsill::routing
