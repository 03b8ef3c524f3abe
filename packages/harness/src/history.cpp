#include "history.h"

#include <algorithm>
#include <set>

namespace nutmegsill::harness {

namespace {

/// Time after which a target that was taken out gets nothing new.
constexpr Duration OutGrace = std::chrono::seconds(5);
/// Time within which an accepted configuration is in force.
constexpr Duration InForceLimit = std::chrono::seconds(5);

std::string at(Time time) {
  return std::to_string(time.time_since_epoch().count() / 1000) + " ms";
}

void append(Violations &all, Violations more) {
  all.insert(all.end(), std::make_move_iterator(more.begin()),
             std::make_move_iterator(more.end()));
}

/// True when the router was disturbed at some time from `from` to `until`.
bool disturbed(const LifeRecord &life, Time from, Time until) {
  return std::any_of(life.Disturbed.begin(), life.Disturbed.end(),
                     [&](const std::pair<Time, Time> &it) {
                       return it.first <= until && from <= it.second;
                     });
}

} // namespace

std::string identity(const CallRecord &call, std::size_t index) {
  return call.Idempotent ? "call " + std::to_string(index) : "key " + call.Key;
}

Violations checkAtMostOnce(const History &history) {
  std::map<std::string, int> runs;
  Violations found;
  for (const RunRecord &run : history.Runs) {
    const CallRecord &call = history.Calls[run.Call];
    if (!call.Idempotent && ++runs[call.Team.Text + "/" + call.Key] == 2) {
      found.push_back("key " + call.Key + " ran a second time at " +
                      at(run.StartedAt));
    }
  }
  return found;
}

Violations checkTrueRefusals(const History &history) {
  std::set<std::size_t> ran;
  for (const RunRecord &run : history.Runs) {
    ran.insert(run.Call);
  }
  Violations found;
  for (std::size_t i = 0; i < history.Calls.size(); ++i) {
    if (history.Calls[i].End == CallEnd::NotRun && ran.count(i) != 0) {
      found.push_back("call " + std::to_string(i) +
                      " ran but was refused as not run at " +
                      at(history.Calls[i].EndedAt));
    }
  }
  return found;
}

Violations checkWholeAnswers(const History &history) {
  Violations found;
  for (std::size_t i = 0; i < history.Calls.size(); ++i) {
    const CallRecord &call = history.Calls[i];
    if (call.End == CallEnd::Complete && call.Answer != call.Expected) {
      found.push_back("call " + std::to_string(i) + " got the answer of " +
                      call.Answer + " in place of " + call.Expected);
    }
  }
  return found;
}

Violations checkEveryCallEnds(const History &history) {
  Violations found;
  for (std::size_t i = 0; i < history.Calls.size(); ++i) {
    if (history.Calls[i].End == CallEnd::Open) {
      found.push_back("call " + std::to_string(i) + " at " +
                      history.Calls[i].Entry.Text + ", submitted at " +
                      at(history.Calls[i].SubmittedAt) + ", never ended");
    }
  }
  return found;
}

Violations checkOneGranter(const History &history) {
  std::map<TargetId, GrantRecord> last;
  Violations found;
  for (const GrantRecord &grant : history.Grants) {
    const auto [it, fresh] = last.try_emplace(grant.Target, grant);
    const bool back = !fresh && grant.Number < it->second.Number;
    const bool shared = !fresh && grant.Number == it->second.Number &&
                        grant.Owner != it->second.Owner;
    if (back || shared) {
      found.push_back(grant.Owner.Text + " granted " + grant.Target.Text +
                      " at epoch " + std::to_string(grant.Number.Value) +
                      " after " + it->second.Owner.Text + " at epoch " +
                      std::to_string(it->second.Number.Value) + ", at " +
                      at(grant.At));
    } else {
      it->second = grant;
    }
  }
  return found;
}

Violations checkColdTargets(const History &history, std::size_t allowed) {
  std::size_t lost = 0;
  for (const OverloadRecord &it : history.Overloads) {
    lost += it.Lost;
  }
  if (lost <= allowed) {
    return {};
  }
  return {std::to_string(lost) + " requests were lost to cold targets, " +
          std::to_string(allowed) + " allowed"};
}

Violations checkTakenOut(const History &history, Duration grace) {
  Violations found;
  for (const DispatchRecord &dispatch : history.Dispatches) {
    // Out in every configuration accepted from `grace` before the dispatch on.
    bool out = false;
    bool decided = false;
    for (const AcceptedRecord &it : history.Accepted) {
      const bool listed = std::find(it.Out.begin(), it.Out.end(),
                                    dispatch.Target) != it.Out.end();
      if (it.At + grace < dispatch.At) {
        out = listed;
        decided = true;
      } else if (it.At <= dispatch.At) {
        out = out && listed;
      }
    }
    if (decided && out) {
      found.push_back(dispatch.Entry.Text + " sent work to " +
                      dispatch.Target.Text + ", which is out, at " +
                      at(dispatch.At));
    }
  }
  return found;
}

Violations checkGracefulStop(const History &history) {
  Violations found;
  for (const LifeRecord &life : history.Lives) {
    if (!life.StopAskedAt || !life.Stopped) {
      continue;
    }
    for (const CallRecord &call : history.Calls) {
      const bool cut = call.Entry == life.Router.Host &&
                       call.End == CallEnd::Cut && call.EndedAt == *life.Until;
      if (cut) {
        found.push_back("the planned stop of " + life.Router.Host.Text +
                        " cut a call at " + at(call.EndedAt));
      }
    }
  }
  return found;
}

Violations checkConfiguration(const History &history, Duration limit) {
  Violations found;
  std::map<Instance, std::vector<InForceRecord>> byRouter;
  for (const InForceRecord &it : history.InForce) {
    std::vector<InForceRecord> &own = byRouter[it.Router];
    if (!own.empty() && it.Number <= own.back().Number) {
      found.push_back(it.Router.Host.Text + " went back to revision " +
                      std::to_string(it.Number.Value) + " at " + at(it.At));
    }
    own.push_back(it);
  }
  for (const AcceptedRecord &change : history.Accepted) {
    const Time due = change.At + limit;
    for (const LifeRecord &life : history.Lives) {
      const bool judged = life.From + limit <= change.At &&
                          due < history.EndedAt &&
                          (!life.Until || due < *life.Until) &&
                          !disturbed(life, change.At, due);
      const std::vector<InForceRecord> &own = byRouter[life.Router];
      const bool there =
          std::any_of(own.begin(), own.end(), [&](const InForceRecord &it) {
            return change.Number <= it.Number && it.At <= due;
          });
      if (judged && !there) {
        found.push_back("revision " + std::to_string(change.Number.Value) +
                        " was not in force at " + life.Router.Host.Text +
                        " by " + at(due));
      }
    }
  }
  return found;
}

Violations checkAlways(const History &history) {
  Violations all = checkAtMostOnce(history);
  append(all, checkTrueRefusals(history));
  append(all, checkWholeAnswers(history));
  append(all, checkEveryCallEnds(history));
  append(all, checkOneGranter(history));
  append(all, checkTakenOut(history, OutGrace));
  append(all, checkGracefulStop(history));
  append(all, checkConfiguration(history, InForceLimit));
  return all;
}

VirtualService largestGap(const History &history, const PoolId &pool,
                          const std::map<TeamId, std::uint32_t> &weights,
                          Time from, Time until) {
  std::map<TeamId, VirtualService> received;
  for (const auto &[team, weight] : weights) {
    received[team] = VirtualService{};
  }
  VirtualService gap;
  for (const ServiceRecord &it : history.Services) {
    const auto weight = weights.find(it.Team);
    const bool counts = it.Pool == pool && weight != weights.end() &&
                        from <= it.At && it.At < until;
    if (!counts) {
      continue;
    }
    VirtualService &own = received[it.Team];
    own = own + perWeight(it.Work, weight->second);
    const auto [least, most] = std::minmax_element(
        received.begin(), received.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    gap = std::max(gap, most->second - least->second);
  }
  return gap;
}

} // namespace nutmegsill::harness
