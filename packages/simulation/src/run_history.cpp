#include "run_history.h"

#include <algorithm>

namespace nutmegsill::simulation {

namespace {

std::string atText(Time time) {
  return std::to_string(toMilliseconds(time.time_since_epoch())) + " ms";
}

std::string callText(std::size_t call) {
  return "call " + std::to_string(call);
}

} // namespace

bool RunHistory::disturbed(const HostId &router, Time from, Time until) const {
  return std::any_of(
      Disturbed.begin(), Disturbed.end(), [&](const Disturbance &it) {
        return it.Router == router && it.From <= until && it.Until >= from;
      });
}

Violations checkEveryCallEnds(const RunHistory &history) {
  Violations out;
  for (std::size_t i = 0; i < history.Calls.size(); ++i) {
    if (history.Calls[i].End == CallEnd::Open) {
      out.push_back(callText(i) + " at " + atText(history.Calls[i].At) +
                    " never ended");
    }
  }
  return out;
}

Violations checkAtMostOnce(const RunHistory &history) {
  Violations out;
  std::map<std::size_t, int> runs;
  for (const RunRecord &it : history.Runs) {
    const bool again = ++runs[it.Call] > 1;
    if (again && !history.Calls[it.Call].MayRepeat) {
      out.push_back(callText(it.Call) + " ran again at " + it.Target.Text);
    }
  }
  return out;
}

Violations checkTrueRefusals(const RunHistory &history) {
  Violations out;
  for (const RunRecord &it : history.Runs) {
    if (history.Calls[it.Call].End == CallEnd::NotRun) {
      out.push_back(callText(it.Call) + " was refused and ran at " +
                    it.Target.Text);
    }
  }
  return out;
}

Violations checkTakenOut(const RunHistory &history,
                         const PromiseBounds &bounds) {
  Violations out;
  for (const SendRecord &send : history.Sends) {
    for (const TargetOut &it : history.Outs) {
      const bool late = it.Target == send.Target &&
                        send.At > it.From + bounds.TakenOut &&
                        (!it.Until || send.At < *it.Until);
      if (late && !history.disturbed(send.Router, it.From, send.At)) {
        out.push_back(send.Router.Text + " sent to " + it.Target.Text + " at " +
                      atText(send.At) + ", out since " + atText(it.From));
      }
    }
  }
  return out;
}

Violations checkRevoked(const RunHistory &history,
                        const PromiseBounds &bounds) {
  Violations out;
  for (const SendRecord &send : history.Sends) {
    for (const KeyRevoked &it : history.Revoked) {
      const bool late = history.Calls[send.Call].Key == it.Key &&
                        send.At > it.At + bounds.Revocation;
      if (late) {
        out.push_back(send.Router.Text + " served the key " + it.Key + " at " +
                      atText(send.At) + ", revoked at " + atText(it.At));
      }
    }
  }
  return out;
}

Violations checkConfiguration(const RunHistory &history,
                              const PromiseBounds &bounds) {
  Violations out;
  std::map<HostId, ConfigRevision> last;
  for (const ConfigRecord &it : history.InForce) {
    ConfigRevision &before = last[it.Router];
    if (it.Number < before) {
      out.push_back(it.Router.Text + " went back to configuration " +
                    std::to_string(it.Number.Value));
    }
    before = it.Number;
  }
  for (const ConfigRecord &written : history.Written) {
    const Time end = written.At + bounds.ConfigApply;
    for (const auto &[router, newest] : last) {
      const bool judged =
          end < history.EndedAt && !history.disturbed(router, written.At, end);
      const bool applied =
          std::any_of(history.InForce.begin(), history.InForce.end(),
                      [&](const ConfigRecord &it) {
                        return it.Router == router &&
                               it.Number >= written.Number && it.At <= end;
                      });
      if (judged && !applied) {
        out.push_back(router.Text + " had configuration " +
                      std::to_string(written.Number.Value) +
                      " not in force by " + atText(end));
      }
    }
  }
  return out;
}

Violations checkCold(const RunHistory &history, const PromiseBounds &bounds) {
  Violations out;
  for (const ColdSpan &span : history.Cold) {
    std::vector<Time> starts;
    for (const RunRecord &it : history.Runs) {
      if (it.Target == span.Target && it.At >= span.From &&
          it.At < span.Until) {
        starts.push_back(it.At);
      }
    }
    std::sort(starts.begin(), starts.end());
    const double most = span.Rate * bounds.ColdOver + bounds.ColdExtra;
    for (std::size_t i = 0; i < starts.size(); ++i) {
      const auto end = std::lower_bound(starts.begin(), starts.end(),
                                        starts[i] + std::chrono::seconds(1));
      const double within = static_cast<double>(
          end - (starts.begin() + static_cast<std::ptrdiff_t>(i)));
      if (within > most) {
        out.push_back(span.Target.Text + " started " + std::to_string(within) +
                      " in the second from " + atText(starts[i]));
        break;
      }
    }
  }
  return out;
}

Violations checkRetries(const RunHistory &history,
                        const PromiseBounds &bounds) {
  Violations out;
  std::vector<Time> calls;
  std::vector<Time> repeats;
  calls.reserve(history.Calls.size());
  for (const CallRecord &it : history.Calls) {
    calls.push_back(it.At);
  }
  for (const SendRecord &it : history.Sends) {
    if (it.Repeat) {
      repeats.push_back(it.At);
    }
  }
  std::sort(calls.begin(), calls.end());
  std::sort(repeats.begin(), repeats.end());
  const auto count = [](const std::vector<Time> &list, Time from, Time until) {
    return static_cast<double>(
        std::lower_bound(list.begin(), list.end(), until) -
        std::lower_bound(list.begin(), list.end(), from));
  };
  for (const Time end : repeats) {
    const Time until = end + Duration(1);
    const Time from = until - bounds.RetryWindow;
    const double most =
        bounds.RetryRatio * count(calls, from, until) + bounds.RetryExtra;
    if (count(repeats, from, until) > most) {
      out.push_back("more repeats than " + std::to_string(most) +
                    " in the window that ends at " + atText(end));
      break;
    }
  }
  return out;
}

Violations checkServed(const RunHistory &history, Time from, double share) {
  double calls = 0;
  double served = 0;
  for (const CallRecord &it : history.Calls) {
    if (it.At >= from) {
      calls += 1;
      served += it.End == CallEnd::Complete ? 1 : 0;
    }
  }
  if (calls > 0 && served >= share * calls) {
    return {};
  }
  return {std::to_string(served) + " of " + std::to_string(calls) +
          " calls served since " + atText(from)};
}

Violations checkAlways(const RunHistory &history, const PromiseBounds &bounds) {
  Violations out;
  const auto add = [&out](Violations found) {
    out.insert(out.end(), found.begin(), found.end());
  };
  add(checkEveryCallEnds(history));
  add(checkAtMostOnce(history));
  add(checkTrueRefusals(history));
  add(checkTakenOut(history, bounds));
  add(checkRevoked(history, bounds));
  add(checkConfiguration(history, bounds));
  add(checkCold(history, bounds));
  add(checkRetries(history, bounds));
  return out;
}

} // namespace nutmegsill::simulation
