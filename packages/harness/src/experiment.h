/// Experiments on the decisions, described in JSON.
#pragma once

#include "workload.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::harness {

/// A disturbance at a time, for some time.
struct Disturbance {
  Duration At{};
  Duration For{};
  /// "zone_out", "zone_dark", "kill", "pause", "service_down", "cold".
  std::string Kind;
  /// A zone, host or target.
  std::string Name;
};

struct Experiment {
  VirtualPlan Plan;
  PoolId Pool{"captions"};
  std::vector<TeamLoad> Loads;
  std::vector<Disturbance> Disturbances;
  std::uint32_t Slots = 0;
  Duration From{};
  Duration Until{};
};

/// Service and gap in one interval of a run.
struct Interval {
  double AtSecond = 0;
  double ServicePerSecond = 0;
  double Gap = 0;
  double WaitP95 = 0;
};

/// Reads a description; nothing and a reason for any fault in it.
std::optional<Experiment> parseExperiment(const std::string &text,
                                          std::string &reason);

/// Runs it; `series` gets one row a second.
Report runExperiment(const Experiment &experiment,
                     std::vector<Interval> &series);

} // namespace nutmegsill::harness
