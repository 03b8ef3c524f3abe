/// Max-min fair shares of the engines' rated throughput among teams.
#pragma once

#include "nutmegsill/types.h"

#include <map>
#include <vector>

namespace nutmegsill::routing {

/// Largest rate that every team may use when `capacity` is shared max-min
/// fairly among `demands`; infinite when all demands fit.
double maxMinFairRate(std::vector<double> demands, double capacity);

/// Rated tokens a second of one team.
struct TeamRate {
  double Requested = 0;
  double Served = 0;
};

/// Compares what teams get with their fair shares, over the whole fleet.
class TeamShares {
public:
  /// Replaces what the other routers report.
  void setPeerRates(std::map<TeamId, TeamRate> rates);
  /// Counts a request of `tokens` rated tokens.
  void recordRequested(const TeamId &team, double tokens, Time now);
  /// Counts a request that was sent to a target.
  void recordServed(const TeamId &team, double tokens, Time now);
  /// What the team gets over its max-min share of `capacity`; 0 while all
  /// demands fit.
  double fairShareUsage(const TeamId &team, double capacity, Time now);
  /// This router's part.
  std::map<TeamId, TeamRate> ownRates(Time now);

private:
  /// Tokens, decayed exponentially.
  struct Meter {
    double Tokens = 0;
    Time UpdatedAt{};
    void add(double tokens, Time now);
    double rate(Time now);
  };
  struct Meters {
    Meter Requested;
    Meter Served;
  };

  std::map<TeamId, Meters> Teams;
  std::map<TeamId, TeamRate> Peers;
};

} // namespace nutmegsill::routing
