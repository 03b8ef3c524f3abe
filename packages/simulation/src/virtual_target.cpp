#include "virtual_target.h"

#include <algorithm>

namespace nutmegsill::simulation {

VirtualTarget::VirtualTarget(Schedule &schedule, TargetPlan plan,
                             RunStarted started)
    : Clock(schedule), Plan(std::move(plan)), OnStart(std::move(started)) {}

TargetFault VirtualTarget::fault() const {
  return Fault.second > Clock.now() ? Fault.first : TargetFault::None;
}

bool VirtualTarget::offer(RunOrder order) {
  if (!Alive || fault() == TargetFault::Unreachable) {
    return false;
  }
  const bool full = Queue.size() >= Plan.Queue;
  if (full) {
    order.OnEnd(RunEnd::Refused);
    return true;
  }
  Queue.push_back(std::move(order));
  begin();
  return true;
}

void VirtualTarget::begin() {
  while (!Queue.empty() && Running.size() < Plan.Entry.Slots) {
    const RunOrder order = std::move(Queue.front());
    Queue.pop_front();
    run(order);
  }
}

std::uint32_t
VirtualTarget::takeUncached(const routing::PromptDescription &prompt) {
  std::uint32_t uncached = 0;
  bool follows = true;
  for (const routing::PromptPart &it : prompt.Parts) {
    const auto known = Parts.find(it.Hash);
    follows = follows && known != Parts.end() &&
              Read - known->second < Plan.CacheTokens;
    uncached += follows ? 0 : it.Tokens;
  }
  Read += uncached;
  for (const routing::PromptPart &it : prompt.Parts) {
    Parts[it.Hash] = Read;
  }
  return uncached;
}

void VirtualTarget::run(const RunOrder &order) {
  const std::size_t call = order.Call;
  const std::uint64_t number = ++LastNumber;
  Running[call] = Run{order, number};
  OnStart(call);
  if (fault() == TargetFault::Hangs) {
    return;
  }
  if (fault() == TargetFault::Fails) {
    Clock.after(milliseconds(2),
                [this, call, number] { finish(call, number, RunEnd::Failed); });
    return;
  }
  const RunEnd end =
      fault() == TargetFault::LosesAnswers ? RunEnd::Broken : RunEnd::Completed;
  if (Plan.PrefillRate <= 0) {
    Clock.after(Plan.WorkTime,
                [this, call, number, end] { finish(call, number, end); });
    return;
  }
  const double seconds = takeUncached(order.Content) / Plan.PrefillRate;
  PrefillUntil = std::max(PrefillUntil, Clock.now()) +
                 Duration(static_cast<std::int64_t>(seconds * 1e6));
  const Time first = PrefillUntil + Plan.TokenTime;
  Clock.at(first, [this, call, number] {
    const auto it = Running.find(call);
    if (it != Running.end() && it->second.Number == number) {
      it->second.Order.OnFirstEvent();
    }
  });
  Clock.at(first + Plan.TokenTime * order.Content.MaxOutputTokens,
           [this, call, number, end] { finish(call, number, end); });
}

void VirtualTarget::finish(std::size_t call, std::uint64_t number, RunEnd end) {
  const auto it = Running.find(call);
  if (it == Running.end() || it->second.Number != number) {
    return;
  }
  const RunOrder order = std::move(it->second.Order);
  Running.erase(it);
  order.OnEnd(end);
  begin();
}

void VirtualTarget::cancel(std::size_t call) {
  Queue.remove_if([call](const RunOrder &it) { return it.Call == call; });
  Running.erase(call);
  begin();
}

void VirtualTarget::setFault(TargetFault fault, Duration span) {
  Fault = {fault, Clock.now() + span};
}

void VirtualTarget::crash() {
  Alive = false;
  std::map<std::size_t, Run> running;
  running.swap(Running);
  std::list<RunOrder> queue;
  queue.swap(Queue);
  Parts.clear();
  PrefillUntil = Time{};
  for (const auto &[call, it] : running) {
    it.Order.OnEnd(RunEnd::Broken);
  }
  for (const RunOrder &it : queue) {
    it.OnEnd(RunEnd::Broken);
  }
}

void VirtualTarget::restart() {
  Alive = true;
  Plan.Entry.StartedAtMs += 1;
}

} // namespace nutmegsill::simulation
