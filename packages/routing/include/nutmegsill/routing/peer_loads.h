/// Sums up what other routers tell about their traffic.
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

  /// Replaces the load that `peer` told before.
  void receiveReport(const HostId &peer, LoadReport report, Time now);
  void expire(Time now);

  TotalLoad loadOf(const TargetId &target) const;
  std::map<TeamId, TeamRate> teamRates() const;
  /// Age of the oldest report that counts.
  Duration oldestReportAge(Time now) const;
  /// Adds the loads and teams of `peers` to `own`, and their names.
  LoadReport aggregateWith(LoadReport own,
                           const std::vector<HostId> &peers) const;
  /// Counts changes of the reports.
  std::uint64_t version() const { return Version; }

private:
  struct ReceivedReport {
    LoadReport Report;
    Time ReceivedAt{};
  };
  void subtract(const LoadReport &report);

  Duration MaxReportAge;
  std::map<HostId, ReceivedReport> Reports;
  std::map<TargetId, TotalLoad> TargetTotals;
  std::uint64_t Version = 0;
};

} // namespace nutmegsill::routing
