#include "soak_checks.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace nutmegsill::soak {

using standin::TargetStandin;

namespace {

/// Revocation bound in the routers' settings.
constexpr std::chrono::milliseconds RevocationBound{5'000};
/// Fraction of the calls that must be served when no fault is active.
constexpr double MinServedFraction = 0.95;
/// Streams that may hold events of two versions.
constexpr std::size_t MaxMixedStreams = 2;
/// Take-ups from which their share that goes on counts, and how small it may be
/// in relation to the share of new streams that begin.
constexpr std::size_t MinTakeUps = 12;
constexpr double MinTakeUpRatio = 0.5;

bool isStream(const CallRecord &call) {
  return call.Kind == CallKind::Stream ||
         call.Kind == CallKind::ResumableStream;
}

/// The status guarantees that the request did not run.
bool statesNotRun(unsigned status) {
  return status == 503 || status == 429 || status == 408 || status == 421 ||
         status == 401 || status == 404;
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

std::string describe(const CallRecord &call) {
  return call.RequestId + " at " + call.RouterAddress + " (" +
         std::to_string(call.Response.Status) + ")";
}

/// The version that wrote the event; nothing if it is not event `number`.
std::optional<std::string> versionOfEvent(const std::string &event,
                                          int number) {
  for (const std::string &it : SoakFleet::versions()) {
    if (event ==
        TargetStandin::eventText(number, TargetStandin::versionSuffix(it))) {
      return it;
    }
  }
  return std::nullopt;
}

/// Checks the events of one stream over its caller's attempts.
void checkStream(const std::vector<CallRecord> &attempts, SoakResult &result) {
  std::set<std::string> versions;
  for (const CallRecord &it : attempts) {
    if (it.Response.Status != 200) {
      continue;
    }
    int number = it.LastEvent;
    std::string whole;
    for (const std::string &event : wholeEvents(it.Response.Body)) {
      const std::optional<std::string> version =
          versionOfEvent(event, ++number);
      if (!version) {
        result.Violations.push_back(describe(it) + " received, where event " +
                                    std::to_string(number) + " was due, " +
                                    it.Response.Body);
        return;
      }
      versions.insert(*version);
      whole += event;
    }
    if (it.Response.Complete && (number != TargetStandin::EventsPerStream ||
                                 whole != it.Response.Body)) {
      result.Violations.push_back(
          describe(it) + " ended as if complete after event " +
          std::to_string(number) + ": " + it.Response.Body);
    }
  }
  if (versions.size() > 1) {
    result.MixedStreams.push_back(attempts.front().StreamId);
  }
}

/// New streams after the recovery.
struct NewStreams {
  double Sent = 0;
  double Begun = 0;
};

/// Counts a stream if its caller began it, or took it up, after the recovery.
void countRecoveredStream(const std::vector<CallRecord> &attempts,
                          SoakTime recoveredAt, NewStreams &newStreams,
                          SoakResult &result) {
  const auto goesOn = [](const CallRecord &it) {
    return it.Response.Status == 200 && !wholeEvents(it.Response.Body).empty();
  };
  const auto takeUp =
      std::find_if(attempts.begin(), attempts.end(),
                   [](const CallRecord &it) { return it.LastEvent > 0; });
  if (attempts.front().StartedAt >= recoveredAt) {
    newStreams.Sent += 1;
    newStreams.Begun += std::any_of(attempts.begin(), takeUp, goesOn) ? 1 : 0;
  }
  if (takeUp != attempts.end() && takeUp->StartedAt >= recoveredAt) {
    result.TakenUp += 1;
    result.WentOn += std::any_of(takeUp, attempts.end(), goesOn) ? 1 : 0;
  }
}

} // namespace

SoakResult checkInvariants(SoakFleet &fleet,
                           const std::vector<CallRecord> &calls,
                           const FaultLog &faults, SoakTime recoveredAt) {
  SoakResult result;
  std::vector<std::string> &violations = result.Violations;
  std::map<std::string, std::vector<CallRecord>> streams;
  const std::vector<TargetStandin *> targets = fleet.targets(true);
  double callsAfterRecovery = 0;
  double servedAfterRecovery = 0;
  for (const CallRecord &it : calls) {
    int runs = 0;
    for (const TargetStandin *target : targets) {
      runs += target->runCount(it.RequestId);
    }
    const unsigned status = it.Response.Status;
    const std::string callText = describe(it);
    if (isStream(it)) {
      streams[it.StreamId].push_back(it);
    } else if (status == 200 && it.Response.Complete &&
               it.Response.Body != "answer to " + it.RequestId) {
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
    if (it.StartedAt >= recoveredAt && it.Kind != CallKind::Upload) {
      callsAfterRecovery += 1;
      servedAfterRecovery += status == 200 ? 1 : 0;
    }
  }
  for (const TargetStandin *target : targets) {
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
  NewStreams newStreams;
  for (const auto &[id, attempts] : streams) {
    checkStream(attempts, result);
    if (attempts.front().Kind == CallKind::ResumableStream) {
      countRecoveredStream(attempts, recoveredAt, newStreams, result);
    }
  }
  if (result.MixedStreams.size() > MaxMixedStreams) {
    violations.push_back(std::to_string(result.MixedStreams.size()) +
                         " streams hold events of two versions");
  }
  if (result.TakenUp >= MinTakeUps &&
      static_cast<double>(result.WentOn) * newStreams.Sent <
          MinTakeUpRatio * newStreams.Begun *
              static_cast<double>(result.TakenUp)) {
    violations.push_back(
        std::to_string(result.WentOn) + " of " +
        std::to_string(result.TakenUp) +
        " streams that were taken up went on, fewer than required");
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
  return result;
}

} // namespace nutmegsill::soak
