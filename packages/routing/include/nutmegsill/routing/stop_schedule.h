/// Steps of a planned stop.
#pragma once

#include "nutmegsill/types.h"

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

private:
  Time AdmissionEnd;
  Time RequestEnd;
  Time ProcessEnd;
};

} // namespace nutmegsill::routing
