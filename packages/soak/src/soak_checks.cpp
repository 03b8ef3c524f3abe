#include "soak_checks.h"

#include <algorithm>

namespace nutmegsill::soak {

using standin::TargetStandin;

namespace {

/// Revocation bound in the routers' settings.
constexpr std::chrono::milliseconds RevocationBound{5'000};
/// Fraction of the calls that must be served when no fault is active.
constexpr double MinServedFraction = 0.95;

bool hasExpectedBody(const CallRecord &call) {
  const bool stream =
      call.Kind == CallKind::Stream || call.Kind == CallKind::ResumableStream;
  return call.Response.Body == (stream ? TargetStandin::streamBody(1)
                                       : "answer to " + call.RequestId);
}

/// The status guarantees that the request did not run.
bool statesNotRun(unsigned status) {
  return status == 503 || status == 429 || status == 401 || status == 404;
}

/// The call ended while its router stopped as planned.
bool endedInPlannedStop(const CallRecord &call, const FaultLog &faults) {
  return std::any_of(faults.PlannedStops.begin(), faults.PlannedStops.end(),
                     [&](const FaultLog::PlannedStop &it) {
                       return it.RouterAddress == call.RouterAddress &&
                              call.EndedAt > it.SignalledAt &&
                              call.EndedAt <= it.EndedBy;
                     });
}

} // namespace

std::vector<std::string> checkInvariants(SoakFleet &fleet,
                                         const std::vector<CallRecord> &calls,
                                         const FaultLog &faults,
                                         SoakTime recoveredAt) {
  std::vector<std::string> violations;
  double callsAfterRecovery = 0;
  double servedAfterRecovery = 0;
  for (const CallRecord &it : calls) {
    int runs = 0;
    for (const TargetStandin *target : fleet.targets()) {
      runs += target->runCount(it.RequestId);
    }
    const unsigned status = it.Response.Status;
    const std::string callText = it.RequestId + " at " + it.RouterAddress +
                                 " (" + std::to_string(status) + ")";
    if (status == 200 && it.Response.Complete && !hasExpectedBody(it)) {
      violations.push_back(callText +
                           " received a wrong body: " + it.Response.Body);
    }
    const bool atMostOnce =
        it.Kind == CallKind::AtMostOnce || it.Kind == CallKind::Stream;
    if (runs > (atMostOnce ? 1 : 2)) {
      violations.push_back(callText + " ran " + std::to_string(runs) +
                           " times, more often than allowed");
    }
    if (statesNotRun(status) && runs > 0) {
      violations.push_back(callText + " was reported as not run but ran");
    }
    if (status == 0 && runs > 0 && endedInPlannedStop(it, faults)) {
      violations.push_back(callText + " ran and was closed by a planned stop");
    }
    if (it.StartedAt >= recoveredAt) {
      callsAfterRecovery += 1;
      servedAfterRecovery += status == 200 ? 1 : 0;
    }
  }
  for (const TargetStandin *target : fleet.targets()) {
    for (const standin::ReceivedRequest &it : target->receivedRequests()) {
      const bool keyed = it.Body.find("temporary") != std::string::npos;
      for (const auto &[removedAt, restoredAt] : faults.KeyRemovals) {
        const bool afterRevocation =
            keyed && it.ReceivedAt > removedAt + RevocationBound &&
            (!restoredAt || it.ReceivedAt < *restoredAt);
        if (afterRevocation) {
          violations.push_back(
              it.RequestId +
              " reached a target after the revocation bound of its API key");
        }
      }
    }
  }
  for (const std::string &it : faults.UncleanStops) {
    violations.push_back(it + " after SIGTERM");
  }
  if (callsAfterRecovery == 0 ||
      servedAfterRecovery < MinServedFraction * callsAfterRecovery) {
    violations.push_back(std::to_string(servedAfterRecovery) + " of " +
                         std::to_string(callsAfterRecovery) +
                         " calls served after recovery, fewer than required");
  }
  return violations;
}

} // namespace nutmegsill::soak
