#include "nutmegsill/routing/team_share.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Time constant of the meters in `TeamShares::Meters`.
constexpr double MeterSeconds = 2;
/// Shortest time of which a rate is taken.
constexpr double MinMeterSeconds = 0.25;
/// What is divided, relative to what is served at present, without a backlog,
/// and the loss with a full one. The sum grows while engines have less than
/// half of a full backlog, and shrinks otherwise: queues neither grow nor run
/// empty.
constexpr double IdleGrowth = 1.1;
constexpr double BacklogLoss = 0.2;

} // namespace

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
  StartedAt = StartedAt.value_or(now);
  Teams[team].Requested.add(tokens, now);
}

void TeamShares::recordServed(const TeamId &team, double tokens, Time now) {
  Teams[team].Served.add(tokens, now);
}

double TeamShares::startFactor(Time now) const {
  const double age = StartedAt ? toSeconds(now - *StartedAt) : 0;
  return 1 / (1 - std::exp(-std::max(MinMeterSeconds, age) / MeterSeconds));
}

void TeamShares::updateFairRate(double capacity, double backlog, Time now) {
  FairRate = std::numeric_limits<double>::infinity();
  ServedLevel = FairRate;
  if (capacity <= 0) {
    return;
  }
  std::map<TeamId, TeamRate> all = Peers;
  for (const auto &[id, own] : ownRates(now)) {
    all[id].Requested += own.Requested;
    all[id].Served += own.Served;
  }
  Requested.clear();
  std::vector<double> demands;
  demands.reserve(all.size());
  double served = 0;
  for (const auto &[id, rates] : all) {
    demands.push_back(rates.Requested);
    Requested[id] = rates.Requested;
    served += rates.Served;
  }
  const double growth = IdleGrowth - backlog * BacklogLoss;
  FairRate = maxMinFairRate(demands, capacity);
  ServedLevel =
      maxMinFairRate(std::move(demands), std::max(capacity, served * growth));
}

double TeamShares::shareFraction(const TeamId &team) const {
  const auto it = Requested.find(team);
  return it == Requested.end() || it->second <= ServedLevel
             ? 1
             : ServedLevel / it->second;
}

bool TeamShares::takeTurn(const TeamId &team, double tokens) {
  const double fraction = shareFraction(team);
  double &turns = Teams[team].Turns;
  if (fraction >= 1) {
    turns = 0;
    return true;
  }
  // Half of a request ahead: requests of different sizes are rounded, not
  // delayed.
  turns += fraction * tokens;
  if (turns < tokens / 2) {
    return false;
  }
  turns -= tokens;
  return true;
}

Duration TeamShares::nextTurn(const TeamId &team, double tokens, Time now) {
  Meters &meters = Teams[team];
  const double admitted =
      meters.Requested.rate(now) * startFactor(now) * shareFraction(team);
  const double lacking = std::max(0.0, tokens / 2 - meters.Turns);
  return Duration(
      static_cast<std::int64_t>(lacking / std::max(1.0, admitted) * 1e6));
}

double TeamShares::fairShareUsage(const TeamId &team, Time now) {
  const auto peers = Peers.find(team);
  const double served = (peers == Peers.end() ? 0 : peers->second.Served) +
                        Teams[team].Served.rate(now) * startFactor(now);
  return served / std::max(1.0, FairRate);
}

std::map<TeamId, TeamRate> TeamShares::ownRates(Time now) {
  const double factor = startFactor(now);
  std::map<TeamId, TeamRate> rates;
  for (auto &[id, meters] : Teams) {
    rates[id] = {meters.Requested.rate(now) * factor,
                 meters.Served.rate(now) * factor};
  }
  return rates;
}

} // namespace nutmegsill::routing
