/// Max-min fair shares of the engines' rated throughput among teams.
#pragma once

#include "nutmegsill/routing/meter.h"
#include "nutmegsill/types.h"

#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::routing {

/// Returns the maximum rate per team if `capacity` is divided among `demands`
/// by max-min fairness; infinity if all demands fit.
double maxMinFairRate(std::vector<double> demands, double capacity);

/// Rates of one team in rated tokens per second.
struct TeamRate {
  double Requested = 0;
  double Served = 0;
};

/// A team's use of its fair share, as known when a decision was taken.
struct FairShare {
  /// Ratio of the team's served rate to its fair share.
  double Usage = 0;
  /// Fair share of a team, in rated tokens per second; infinity while all
  /// demands fit.
  double Rate = std::numeric_limits<double>::infinity();
  /// Rated tokens per second that were divided.
  double Capacity = 0;
  /// Age of the oldest report that the figures come from.
  Duration Age{0};
  /// Fraction of the team's requests that its share of what the engines serve
  /// amounts to.
  double AdmittedFraction = 1;
  /// The request is within that fraction.
  bool IsWithin = true;
  /// Otherwise, the time after which it is expected to be.
  Duration NextTurn{0};
};

/// Compares the served rates of teams with their fair shares, over the whole
/// fleet.
class TeamShares {
public:
  /// Replaces the rates reported by the other routers.
  void setPeerRates(std::map<TeamId, TeamRate> rates);
  /// Counts a request of `tokens` rated tokens.
  void recordRequested(const TeamId &team, double tokens, Time now);
  /// Counts a request that was sent to a target.
  void recordServed(const TeamId &team, double tokens, Time now);
  /// Divides `capacity`, in rated tokens per second, among the demands of all
  /// teams. Also divides what all teams are served, if that is more, corrected
  /// by the engines' backlog; 1 is a full one.
  void updateFairRate(double capacity, double backlog, Time now);
  /// Returns the ratio of the team's served rate to the fair share as of the
  /// last update; 0 while all demands fit or if the capacity is 0.
  double fairShareUsage(const TeamId &team, Time now);
  /// Fair share of a team as of the last update, in rated tokens per second;
  /// infinity while all demands fit.
  double fairRate() const { return FairRate; }
  /// Takes a request of `tokens` rated tokens into the team's share, or not, so
  /// that all routers together take in what the team gets if all that the
  /// engines serve is divided by max-min fairness. Every router takes in the
  /// same fraction of its requests of a team.
  bool takeTurn(const TeamId &team, double tokens);
  /// Fraction of the team's requests that its share amounts to, as of the last
  /// update.
  double shareFraction(const TeamId &team) const;
  /// Time after which a request of `tokens` rated tokens is expected to be
  /// within the share, if this router's requests of the team go on as now.
  Duration nextTurn(const TeamId &team, double tokens, Time now);
  /// Rates of the requests of this router only.
  std::map<TeamId, TeamRate> ownRates(Time now);

private:
  /// Tokens; averaged over half of the users' quota window of 4 s.
  struct Meters {
    Meter Requested{2};
    Meter Served{2};
    /// Tokens of the share that requests have not used.
    double Turns = 0;
  };
  /// Rates of a router that has counted for less than the meters' time are
  /// those of the time that it has counted.
  double startFactor(Time now) const;

  std::map<TeamId, Meters> Teams;
  std::map<TeamId, TeamRate> Peers;
  double FairRate = std::numeric_limits<double>::infinity();
  /// Rate per team if all that the engines serve is divided.
  double ServedLevel = std::numeric_limits<double>::infinity();
  /// Requested rates of all teams as of the last update.
  std::map<TeamId, double> Requested;
  std::optional<Time> StartedAt;
};

} // namespace nutmegsill::routing
