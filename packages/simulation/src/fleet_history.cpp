#include "fleet_history.h"

#include <algorithm>

namespace nutmegsill::simulation {

namespace {

std::string formatTime(Time time) {
  return std::to_string(toMilliseconds(time.time_since_epoch())) + " ms";
}

std::string formatCall(std::size_t call) {
  return "call " + std::to_string(call);
}

} // namespace

bool FleetHistory::wasDisrupted(const HostId &router, Time from,
                                Time until) const {
  return std::any_of(
      Disruptions.begin(), Disruptions.end(), [&](const Disruption &it) {
        return it.Router == router && it.From <= until && it.Until >= from;
      });
}

Violations checkEveryCallEnds(const FleetHistory &history) {
  Violations out;
  for (std::size_t i = 0; i < history.Calls.size(); ++i) {
    if (history.Calls[i].Outcome == CallOutcome::InFlight) {
      out.push_back(formatCall(i) + " started at " +
                    formatTime(history.Calls[i].StartedAt) + " never ended");
    }
  }
  return out;
}

Violations checkAtMostOnce(const FleetHistory &history) {
  Violations out;
  std::map<std::size_t, int> runs;
  for (const RunRecord &it : history.Runs) {
    const bool ranBefore = ++runs[it.CallIndex] > 1;
    if (ranBefore && !history.Calls[it.CallIndex].AllowsRetry) {
      out.push_back(formatCall(it.CallIndex) + " ran again on " +
                    it.Target.Text);
    }
  }
  return out;
}

Violations checkRefusedCalls(const FleetHistory &history) {
  Violations out;
  for (const RunRecord &it : history.Runs) {
    if (history.Calls[it.CallIndex].Outcome == CallOutcome::NotRun) {
      out.push_back(formatCall(it.CallIndex) +
                    " was reported as not run but ran on " + it.Target.Text);
    }
  }
  return out;
}

Violations checkOutOfServiceTargets(const FleetHistory &history,
                                    const InvariantBounds &bounds) {
  Violations out;
  for (const SendRecord &send : history.Sends) {
    for (const OutOfServiceInterval &it : history.OutOfServiceIntervals) {
      const bool late = it.Target == send.Target &&
                        send.SentAt > it.From + bounds.OutOfServiceBound &&
                        (!it.Until || send.SentAt < *it.Until);
      if (late && !history.wasDisrupted(send.Router, it.From, send.SentAt)) {
        out.push_back(send.Router.Text + " sent to " + it.Target.Text + " at " +
                      formatTime(send.SentAt) + ", out of service since " +
                      formatTime(it.From));
      }
    }
  }
  return out;
}

Violations checkRevokedKeys(const FleetHistory &history,
                            const InvariantBounds &bounds) {
  Violations out;
  for (const SendRecord &send : history.Sends) {
    for (const KeyRevocation &it : history.KeyRevocations) {
      const bool late = history.Calls[send.CallIndex].ApiKey == it.ApiKey &&
                        send.SentAt > it.RevokedAt + bounds.RevocationBound;
      if (late) {
        out.push_back(send.Router.Text + " sent a call with the key " +
                      it.ApiKey + " at " + formatTime(send.SentAt) +
                      ", revoked at " + formatTime(it.RevokedAt));
      }
    }
  }
  return out;
}

Violations checkConfiguration(const FleetHistory &history,
                              const InvariantBounds &bounds) {
  Violations out;
  std::map<HostId, ConfigRevision> lastApplied;
  for (const ConfigRecord &it : history.AppliedConfigs) {
    ConfigRevision &previous = lastApplied[it.Router];
    if (it.Revision < previous) {
      out.push_back(it.Router.Text + " returned to configuration " +
                    std::to_string(it.Revision.Value));
    }
    previous = it.Revision;
  }
  for (const ConfigRecord &written : history.WrittenConfigs) {
    const Time deadline = written.OccurredAt + bounds.ConfigApplyBound;
    for (const auto &[router, lastRevision] : lastApplied) {
      const bool mustApply =
          deadline < history.EndedAt &&
          !history.wasDisrupted(router, written.OccurredAt, deadline);
      const bool applied = std::any_of(
          history.AppliedConfigs.begin(), history.AppliedConfigs.end(),
          [&](const ConfigRecord &it) {
            return it.Router == router && it.Revision >= written.Revision &&
                   it.OccurredAt <= deadline;
          });
      if (mustApply && !applied) {
        out.push_back(router.Text + " had not applied configuration " +
                      std::to_string(written.Revision.Value) + " by " +
                      formatTime(deadline));
      }
    }
  }
  return out;
}

Violations checkColdTargets(const FleetHistory &history,
                            const InvariantBounds &bounds) {
  Violations out;
  for (const ColdInterval &interval : history.ColdIntervals) {
    std::vector<Time> starts;
    for (const RunRecord &it : history.Runs) {
      if (it.Target == interval.Target && it.StartedAt >= interval.From &&
          it.StartedAt < interval.Until) {
        starts.push_back(it.StartedAt);
      }
    }
    std::sort(starts.begin(), starts.end());
    const double maxStarts =
        interval.MaxStartsPerSecond * bounds.ColdRateFactor + bounds.ColdBurst;
    for (std::size_t i = 0; i < starts.size(); ++i) {
      const auto end = std::lower_bound(starts.begin(), starts.end(),
                                        starts[i] + std::chrono::seconds(1));
      const double startsInSecond = static_cast<double>(
          end - (starts.begin() + static_cast<std::ptrdiff_t>(i)));
      if (startsInSecond > maxStarts) {
        out.push_back(
            interval.Target.Text + " started " +
            std::to_string(startsInSecond) +
            " calls, too many for a cold target, in the second from " +
            formatTime(starts[i]));
        break;
      }
    }
  }
  return out;
}

Violations checkRetryBudget(const FleetHistory &history,
                            const InvariantBounds &bounds) {
  Violations out;
  std::vector<Time> callTimes;
  std::vector<Time> retryTimes;
  callTimes.reserve(history.Calls.size());
  for (const CallRecord &it : history.Calls) {
    callTimes.push_back(it.StartedAt);
  }
  for (const SendRecord &it : history.Sends) {
    if (it.IsRetry) {
      retryTimes.push_back(it.SentAt);
    }
  }
  std::sort(callTimes.begin(), callTimes.end());
  std::sort(retryTimes.begin(), retryTimes.end());
  const auto count = [](const std::vector<Time> &times, Time from, Time until) {
    return static_cast<double>(
        std::lower_bound(times.begin(), times.end(), until) -
        std::lower_bound(times.begin(), times.end(), from));
  };
  for (const Time end : retryTimes) {
    const Time until = end + Duration(1);
    const Time from = until - bounds.RetryWindow;
    const double maxRetries =
        bounds.RetryRatio * count(callTimes, from, until) + bounds.ExtraRetries;
    if (count(retryTimes, from, until) > maxRetries) {
      out.push_back("more retries than " + std::to_string(maxRetries) +
                    " in the window that ends at " + formatTime(end));
      break;
    }
  }
  return out;
}

Violations checkServedFraction(const FleetHistory &history, Time from,
                               double minFraction) {
  double callCount = 0;
  double servedCount = 0;
  for (const CallRecord &it : history.Calls) {
    if (it.StartedAt >= from) {
      callCount += 1;
      servedCount += it.Outcome == CallOutcome::Completed ? 1 : 0;
    }
  }
  if (callCount > 0 && servedCount >= minFraction * callCount) {
    return {};
  }
  return {std::to_string(servedCount) + " of " + std::to_string(callCount) +
          " calls served, fewer than required, since " + formatTime(from)};
}

Violations checkInvariants(const FleetHistory &history,
                           const InvariantBounds &bounds) {
  Violations out;
  const auto add = [&out](Violations found) {
    out.insert(out.end(), found.begin(), found.end());
  };
  add(checkEveryCallEnds(history));
  add(checkAtMostOnce(history));
  add(checkRefusedCalls(history));
  add(checkOutOfServiceTargets(history, bounds));
  add(checkRevokedKeys(history, bounds));
  add(checkConfiguration(history, bounds));
  add(checkColdTargets(history, bounds));
  add(checkRetryBudget(history, bounds));
  return out;
}

} // namespace nutmegsill::simulation
