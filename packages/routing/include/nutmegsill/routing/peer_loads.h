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

  /// Replaces the previous report of `peer`.
  void receiveReport(const HostId &peer, LoadReport report, Time now);
  void expire(Time now);

  TotalLoad loadOf(const TargetId &target) const;
  std::map<TeamId, TeamRate> teamRates() const;
  /// Age of the oldest report in use; 0 without reports.
  Duration oldestReportAge(Time now) const;
  /// Adds the target loads and team rates of `peers` to `own`, and appends the
  /// peers that have a report to `IncludedHosts`.
  LoadReport aggregateWith(LoadReport own,
                           const std::vector<HostId> &peers) const;

private:
  struct ReceivedReport {
    LoadReport Report;
    Time ReceivedAt{};
  };
  void subtract(const LoadReport &report);

  Duration MaxReportAge;
  std::map<HostId, ReceivedReport> Reports;
  std::map<TargetId, TotalLoad> TargetTotals;
};

} // namespace nutmegsill::routing
