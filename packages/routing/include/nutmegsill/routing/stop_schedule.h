/// Steps of a planned stop.
#pragma once

#include "nutmegsill/types.h"

#include <deque>
#include <map>
#include <string>

namespace nutmegsill::routing {

/// When a router that was asked to stop ends each kind of work. All times count
/// from the signal, so that a router that lags does not shift them towards the
/// end of its grace period.
class StopSchedule {
public:
  /// `grace` is the time after the signal at which the process is killed.
  StopSchedule(Time signalledAt, Duration grace);

  /// Time from which all new requests are rejected. Until then callers may use
  /// an address that the directory has dropped.
  Time admissionEnd() const { return AdmissionEnd; }
  /// Time at which requests in flight are ended by a response of the router.
  Time requestEnd() const { return RequestEnd; }
  /// Latest time at which the process ends.
  Time processEnd() const { return ProcessEnd; }
  /// Whether a request that takes `expected` can be served.
  bool admits(Duration expected, Time now) const {
    return now < AdmissionEnd && now + expected <= RequestEnd;
  }

private:
  Time AdmissionEnd;
  Time RequestEnd;
  Time ProcessEnd;
};

/// How long the requests of each route take. Not thread-safe.
class RouteDurations {
public:
  /// Records a request that was served completely.
  void record(const std::string &route, Duration duration);
  /// The longest of the last few requests of `route`; 0 if there are none.
  Duration expected(const std::string &route) const;

private:
  std::map<std::string, std::deque<Duration>> Latest;
};

} // namespace nutmegsill::routing
