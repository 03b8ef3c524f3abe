/// Counts callers that are refused or closed for the router's own limits.
#pragma once

#include "metrics.h"
#include "nutmegsill/types.h"

#include <cstddef>
#include <map>
#include <string>

namespace nutmegsill {

/// Not thread-safe.
class CallerRefusals {
public:
  /// `port` is the part of the log lines that says where the callers were.
  CallerRefusals(Metrics &metrics, std::string port)
      : Counters(metrics), Port(std::move(port)) {}

  /// Counts one caller; logs the numbers at most once a second.
  void count(const std::string &reason, Time now);

private:
  Metrics &Counters;
  std::string Port;
  /// Since the last log line.
  std::map<std::string, std::size_t> Pending;
  Time NextLogAt{};
};

} // namespace nutmegsill
