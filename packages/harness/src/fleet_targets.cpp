// Targets of the virtual fleet: load reports, work, overload and idle time.
#include "fleet.h"

#include <algorithm>

namespace nutmegsill::harness {

namespace {

constexpr Duration IdleSampling = milliseconds(100);

} // namespace

void VirtualFleet::pollLoad(const HostId &id, const PollLoad &poll) {
  const Target &target = Targets[poll.Target];
  const LoadReport report{poll.Target, std::to_string(target.Starts),
                          static_cast<std::uint32_t>(target.Work.size())};
  const Incarnation life = Hosts[id].Life;
  // Reports lag: they show the state at the time of the poll.
  at(Now + 10 * delay(), [this, id, life, report] { feed(id, life, report); });
}

std::uint32_t VirtualFleet::bearable(const Target &target) const {
  const bool warm = Now - target.StartedAt >= target.Plan.WarmUp;
  return warm ? target.Plan.Slots : target.Plan.ColdSlots;
}

/// Adds up idle slots of warm targets while calls wait.
void VirtualFleet::noteSlots() {
  const Duration since = Now - SlotsNotedAt;
  SlotsNotedAt = Now;
  std::map<PoolId, std::int64_t> waiting = OpenCalls;
  for (const auto &[id, target] : Targets) {
    waiting[target.Plan.Pool] -= static_cast<std::int64_t>(target.Work.size());
  }
  for (const auto &[id, target] : Targets) {
    const std::uint32_t bears = bearable(target);
    const std::uint32_t used = static_cast<std::uint32_t>(target.Work.size());
    const std::vector<TargetId> &out = Seen.Accepted.back().Out;
    const bool in = std::find(out.begin(), out.end(), id) == out.end() &&
                    target.RefusesUntil <= Now;
    if (in && waiting[target.Plan.Pool] > 0 && used < bears) {
      Idle[target.Plan.Pool] += since * (bears - used);
    }
  }
  for (const auto &[pool, time] : Idle) {
    std::map<Time, Duration> &samples = IdleBy[pool];
    if (samples.empty() || Now - samples.rbegin()->first > IdleSampling) {
      samples[Now] = time;
    }
  }
}

Duration VirtualFleet::idleWhileWaiting(const PoolId &pool, Time from,
                                        Time until) const {
  const auto it = IdleBy.find(pool);
  if (it == IdleBy.end() || it->second.empty()) {
    return Duration(0);
  }
  const auto at = [&samples = it->second](Time time) {
    const auto next = samples.upper_bound(time);
    return next == samples.begin() ? Duration(0) : std::prev(next)->second;
  };
  return at(until) - at(from);
}

void VirtualFleet::dispatch(const HostId &id, const Dispatch &order) {
  Host &host = Hosts[id];
  Seen.Dispatches.push_back(DispatchRecord{id, order.Target, Now});
  const auto call = host.Open.find(order.Id);
  if (call == host.Open.end()) {
    return;
  }
  host.Dispatched.insert(order.Id);
  at(Now + delay(), [this, id, life = host.Life, order, call = call->second] {
    startWork(id, life, order, call);
  });
}

void VirtualFleet::startWork(const HostId &id, Incarnation life,
                             const Dispatch &order, std::size_t call) {
  Host &host = Hosts[id];
  Target &target = Targets[order.Target];
  const Running run{id, life, order.Id, call, Now};
  const bool alive = host.Decisions && host.Life == life;
  if (!alive) {
    return;
  }
  if (target.Plan.Fencing && order.Fence < target.Highest) {
    endExchange(run, ExchangeEnd::RefusedByTarget, Cost{});
    return;
  }
  const bool left =
      host.Left.count(order.Id) != 0 && Seen.Calls[call].Idempotent;
  if (left) {
    endExchange(run, ExchangeEnd::CallerLeftUnsent, Cost{});
    return;
  }
  if (Now < target.RefusesUntil) {
    endExchange(run, ExchangeEnd::NotSent, Cost{});
    return;
  }
  target.Highest = std::max(target.Highest, order.Fence);
  Seen.Runs.push_back(RunRecord{call, order.Target, Now});
  target.Work[++LastWork] = run;
  if (target.Work.size() > bearable(target)) {
    Seen.Overloads.push_back(OverloadRecord{
        order.Target, Now, target.Work.size(), target.StartedAt});
    restartTarget(target);
    return;
  }
  const Duration time = Plan.UnitTime * Seen.Calls[call].Work.Units;
  const Cost half{Seen.Calls[call].Work.Units / 2};
  at(Now + time / 2, [this, id, life, order, half] {
    feed(id, life, AnswerProgress{order.Id, half});
  });
  at(Now + time, [this, target = order.Target, work = LastWork] {
    finishWork(target, work);
  });
}

void VirtualFleet::finishWork(const TargetId &id, std::uint64_t work) {
  Target &target = Targets[id];
  const auto it = target.Work.find(work);
  if (it == target.Work.end()) {
    return;
  }
  noteSlots();
  const Running run = it->second;
  target.Work.erase(it);
  const CallRecord &call = Seen.Calls[run.Call];
  Seen.Services.push_back(ServiceRecord{call.Pool, call.Team, call.Work, Now});
  endExchange(run, ExchangeEnd::Complete, call.Work);
}

void VirtualFleet::breakWork(Target &target) {
  const std::map<std::uint64_t, Running> work = std::move(target.Work);
  target.Work.clear();
  for (const auto &[number, run] : work) {
    const CallRecord &call = Seen.Calls[run.Call];
    const Duration ran = Now - run.StartedAt;
    const bool begun =
        call.Idempotent && ran > Plan.UnitTime * call.Work.Units / 5;
    endExchange(run,
                begun ? ExchangeEnd::BrokenMidAnswer
                      : ExchangeEnd::BrokenBeforeAnswer,
                Cost{call.Work.Units / 5});
  }
}

void VirtualFleet::endExchange(const Running &run, ExchangeEnd end,
                               Cost total) {
  at(Now + delay(), [this, run, end, total] {
    Host &host = Hosts[run.Entry];
    if (!host.Decisions || host.Life != run.EntryLife) {
      return;
    }
    host.Dispatched.erase(run.Id);
    if (end == ExchangeEnd::Complete) {
      endRequest(host, run.Id, CallEnd::Complete,
                 identity(Seen.Calls[run.Call], run.Call));
    } else if (end == ExchangeEnd::BrokenMidAnswer ||
               end == ExchangeEnd::CallerLeft ||
               end == ExchangeEnd::CallerLeftUnsent) {
      endRequest(host, run.Id, CallEnd::Cut, "");
    }
    feed(run.Entry, run.EntryLife, ExchangeEnded{run.Id, end, total});
  });
}

void VirtualFleet::endRequest(Host &host, RequestId id, CallEnd end,
                              const std::string &answer) {
  const auto it = host.Open.find(id);
  if (it == host.Open.end()) {
    return;
  }
  const std::size_t call = it->second;
  host.Open.erase(it);
  host.Ended[id] = end;
  endCall(call, end, answer);
  const std::vector<RequestId> joined = std::move(host.Joined[id]);
  host.Joined.erase(id);
  for (const RequestId &other : joined) {
    endRequest(host, other, end, answer);
  }
}

void VirtualFleet::endCall(std::size_t call, CallEnd end,
                           const std::string &answer) {
  CallRecord &record = Seen.Calls[call];
  if (record.End != CallEnd::Open) {
    return;
  }
  noteSlots();
  --OpenCalls[record.Pool];
  record.End = end;
  record.EndedAt = Now;
  record.Answer = answer;
  if (OnCallEnd) {
    OnCallEnd(call);
  }
}

} // namespace nutmegsill::harness
