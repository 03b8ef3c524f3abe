#include "virtual_target.h"

#include <algorithm>

namespace nutmegsill::simulation {

VirtualTarget::VirtualTarget(VirtualClock &clock, TargetPlan plan,
                             RunStartHandler onRunStart)
    : Clock(clock), Plan(std::move(plan)), OnRunStart(std::move(onRunStart)) {}

TargetFault VirtualTarget::activeFault() const {
  return CurrentFault.second > Clock.now() ? CurrentFault.first
                                           : TargetFault::None;
}

bool VirtualTarget::submit(TargetRequest request) {
  if (!Alive || activeFault() == TargetFault::Unreachable) {
    return false;
  }
  const bool queueFull = Queue.size() >= Plan.MaxQueuedRequests;
  if (queueFull) {
    request.OnEnd(RunOutcome::Refused);
    return true;
  }
  Queue.push_back(std::move(request));
  startQueuedRuns();
  return true;
}

void VirtualTarget::startQueuedRuns() {
  while (!Queue.empty() && Running.size() < Plan.Entry.Slots) {
    const TargetRequest request = std::move(Queue.front());
    Queue.pop_front();
    startRun(request);
  }
}

std::uint32_t
VirtualTarget::prefillUncached(const routing::PromptDescription &prompt) {
  std::uint32_t uncached = 0;
  bool prefixCached = true;
  for (const routing::PromptPart &it : prompt.Parts) {
    const auto lastUse = PartLastUses.find(it.Hash);
    prefixCached = prefixCached && lastUse != PartLastUses.end() &&
                   PrefilledTokens - lastUse->second < Plan.KvCacheTokens;
    uncached += prefixCached ? 0 : it.Tokens;
  }
  PrefilledTokens += uncached;
  for (const routing::PromptPart &it : prompt.Parts) {
    PartLastUses[it.Hash] = PrefilledTokens;
  }
  return uncached;
}

void VirtualTarget::startRun(const TargetRequest &request) {
  const std::size_t call = request.CallIndex;
  const std::uint64_t runId = ++LastRunId;
  Running[call] = Run{request, runId};
  OnRunStart(call);
  if (activeFault() == TargetFault::Hangs) {
    return;
  }
  if (activeFault() == TargetFault::Fails) {
    Clock.scheduleAfter(milliseconds(2), [this, call, runId] {
      finish(call, runId, RunOutcome::Failed);
    });
    return;
  }
  const RunOutcome outcome = activeFault() == TargetFault::LosesAnswers
                                 ? RunOutcome::Broken
                                 : RunOutcome::Completed;
  if (Plan.PrefillTokensPerSecond <= 0) {
    Clock.scheduleAfter(Plan.ServiceTime, [this, call, runId, outcome] {
      finish(call, runId, outcome);
    });
    return;
  }
  const double seconds =
      prefillUncached(request.Prompt) / Plan.PrefillTokensPerSecond;
  PrefillEndsAt = std::max(PrefillEndsAt, Clock.now()) +
                  Duration(static_cast<std::int64_t>(seconds * 1e6));
  const Time firstEventAt = PrefillEndsAt + Plan.TimePerOutputToken;
  Clock.scheduleAt(firstEventAt, [this, call, runId] {
    const auto it = Running.find(call);
    if (it != Running.end() && it->second.RunId == runId) {
      it->second.Request.OnFirstEvent();
    }
  });
  Clock.scheduleAt(
      firstEventAt + Plan.TimePerOutputToken * request.Prompt.MaxOutputTokens,
      [this, call, runId, outcome] { finish(call, runId, outcome); });
}

void VirtualTarget::finish(std::size_t call, std::uint64_t runId,
                           RunOutcome outcome) {
  const auto it = Running.find(call);
  if (it == Running.end() || it->second.RunId != runId) {
    return;
  }
  const TargetRequest request = std::move(it->second.Request);
  Running.erase(it);
  request.OnEnd(outcome);
  startQueuedRuns();
}

void VirtualTarget::cancel(std::size_t call) {
  Queue.remove_if(
      [call](const TargetRequest &it) { return it.CallIndex == call; });
  Running.erase(call);
  startQueuedRuns();
}

void VirtualTarget::setFault(TargetFault fault, Duration duration) {
  CurrentFault = {fault, Clock.now() + duration};
}

void VirtualTarget::crash() {
  Alive = false;
  std::map<std::size_t, Run> running;
  running.swap(Running);
  std::list<TargetRequest> queue;
  queue.swap(Queue);
  PartLastUses.clear();
  PrefillEndsAt = Time{};
  for (const auto &[call, it] : running) {
    it.Request.OnEnd(RunOutcome::Broken);
  }
  for (const TargetRequest &it : queue) {
    it.OnEnd(RunOutcome::Broken);
  }
}

void VirtualTarget::restart() {
  Alive = true;
  Plan.Entry.StartedAtMs += 1;
}

} // namespace nutmegsill::simulation
