#include "nutmegsill/routing/team_share.h"

#include <algorithm>

namespace nutmegsill::routing {

double maxMinFairRate(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double left = capacity;
  std::size_t open = demands.size();
  for (const double demand : demands) {
    const double even = left / static_cast<double>(open);
    if (demand > even) {
      return even;
    }
    left -= demand;
    --open;
  }
  return std::numeric_limits<double>::infinity();
}

void TeamShares::setPeerRates(std::map<TeamId, TeamRate> rates) {
  Peers = std::move(rates);
}

void TeamShares::recordRequested(const TeamId &team, double tokens, Time now) {
  Teams[team].Requested.add(tokens, now);
}

void TeamShares::recordServed(const TeamId &team, double tokens, Time now) {
  Teams[team].Served.add(tokens, now);
}

void TeamShares::updateFairRate(double capacity, Time now) {
  FairRate = std::numeric_limits<double>::infinity();
  if (capacity <= 0) {
    return;
  }
  std::map<TeamId, TeamRate> all = Peers;
  for (const auto &[id, own] : ownRates(now)) {
    all[id].Requested += own.Requested;
  }
  std::vector<double> demands;
  demands.reserve(all.size());
  for (const auto &[id, rates] : all) {
    demands.push_back(rates.Requested);
  }
  FairRate = maxMinFairRate(std::move(demands), capacity);
}

double TeamShares::fairShareUsage(const TeamId &team, Time now) {
  const auto peers = Peers.find(team);
  const double served = (peers == Peers.end() ? 0 : peers->second.Served) +
                        Teams[team].Served.rate(now);
  return served / std::max(1.0, FairRate);
}

std::map<TeamId, TeamRate> TeamShares::ownRates(Time now) {
  std::map<TeamId, TeamRate> rates;
  for (auto &[id, meters] : Teams) {
    rates[id] = {meters.Requested.rate(now), meters.Served.rate(now)};
  }
  return rates;
}

} // namespace nutmegsill::routing
