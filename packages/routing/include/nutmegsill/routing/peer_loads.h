/// Sums up what other routers tell about their traffic.
#pragma once

#include "nutmegsill/routing/load_report.h"

#include <map>
#include <vector>

namespace nutmegsill::routing {

class PeerLoads {
public:
  struct Sum {
    std::uint64_t PrefillTokens = 0;
    std::uint32_t Running = 0;
  };

  /// Reports older than `life` are dropped.
  explicit PeerLoads(Duration life) : Life(life) {}

  /// Replaces the load that `peer` told before.
  void hear(const HostId &peer, LoadReport report, Time now);
  void expire(Time now);

  Sum at(const TargetId &target) const;
  std::map<TeamId, TeamRate> teams() const;
  /// Age of the oldest report that counts.
  Duration oldest(Time now) const;
  /// Adds the loads and teams of `peers` to `own`, and their names.
  LoadReport sumWith(LoadReport own, const std::vector<HostId> &peers) const;
  /// Counts changes of the reports.
  std::uint64_t version() const { return Version; }

private:
  struct Heard {
    LoadReport Load;
    Time At{};
  };
  void subtract(const LoadReport &report);

  Duration Life;
  std::map<HostId, Heard> Peers;
  std::map<TargetId, Sum> Sums;
  std::uint64_t Version = 0;
};

} // namespace nutmegsill::routing
