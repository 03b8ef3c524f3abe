/// Loads of teams on a virtual fleet, and the figures that users measure.
#pragma once

#include "fleet.h"

#include <map>
#include <string>
#include <vector>

namespace nutmegsill::harness {

/// What one team sends to one pool.
struct TeamLoad {
  TeamId Team;
  std::uint32_t Weight = 1;
  /// Entry hosts it uses in turn.
  std::vector<HostId> Entries;
  /// Calls that it keeps open at all times; 0 for none.
  std::uint32_t Outstanding = 0;
  /// Calls a second, beside the outstanding ones.
  double Rate = 0;
  Cost Least{5};
  Cost Most{60};
};

/// Sends the loads from `from` to `until`.
class Workload {
public:
  Workload(VirtualFleet &fleet, PoolId pool, std::vector<TeamLoad> loads,
           std::uint64_t seed, Time from, Time until);

private:
  void send(std::size_t load);
  void sendAtRate(std::size_t load);

  VirtualFleet &Fleet;
  PoolId Pool;
  std::vector<TeamLoad> Loads;
  std::mt19937_64 Random;
  Time Until;
  std::vector<std::size_t> NextEntry;
  std::map<std::size_t, std::size_t> LoadOfCall;
};

/// Times in milliseconds at the 50th, 95th and 99th of a hundred.
struct Percentiles {
  double P50 = 0;
  double P95 = 0;
  double P99 = 0;
};

struct TeamReport {
  Cost Service;
  std::uint64_t Complete = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Cut = 0;
  Percentiles Wait;
};

/// Figures of one run from `from` to `until`.
struct Report {
  std::map<TeamId, TeamReport> Teams;
  /// Over the teams that kept calls outstanding.
  VirtualService Gap;
  /// Share of slot time that was idle while a call waited, 0 to 1.
  double Idle = 0;
  std::uint64_t Runs = 0;
  double BytesPerRun = 0;
  std::map<std::string, Traffic> Messages;
};

Percentiles percentilesOf(std::vector<double> values);

Report makeReport(VirtualFleet &fleet, const PoolId &pool,
                  const std::vector<TeamLoad> &loads, std::uint32_t slots,
                  Time from, Time until);

/// Bound on the gap between two backlogged teams, from settings alone.
struct GapSettings {
  std::uint32_t Slots = 1;
  Cost LargestRequest{1};
  /// Time that a target works on one cost unit.
  Duration UnitTime;
  Duration MostDelay;
  Timing Limits;
};

/// (K C + R S) (1/wi + 1/wj), with K slots, C the largest request, R = K over
/// the unit time, and S the age of a tag at its owner: one usage interval, one
/// demand refresh and four one-way delays.
VirtualService gapBound(const GapSettings &settings, std::uint32_t weightI,
                        std::uint32_t weightJ);

/// A fleet of the users' size of today.
VirtualPlan todaysFleet(unsigned routers, unsigned targets, unsigned slots,
                        std::uint64_t seed);

} // namespace nutmegsill::harness
