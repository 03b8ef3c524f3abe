/// Targets in virtual time: model engines, which prefill one prompt after the
/// other, and plain services.
#pragma once

#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/prompt.h"
#include "virtual_clock.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace nutmegsill::simulation {

/// How a request ended, as seen by the router that sent it.
enum class RunOutcome {
  Completed,
  /// The target responded with an error of its own.
  Failed,
  /// The target did not run the request and never will.
  Refused,
  /// The connection broke.
  Broken,
};

/// A request that a router sends to a target.
struct TargetRequest {
  /// Index of the caller's request in `FleetHistory::Calls`.
  std::size_t CallIndex = 0;
  routing::PromptDescription Prompt;
  std::function<void()> OnFirstEvent;
  std::function<void(RunOutcome)> OnEnd;
};

/// Entry, rates and limits of a simulated target.
struct TargetPlan {
  routing::TargetEntry Entry;
  /// 0 for a plain service.
  double PrefillTokensPerSecond = 0;
  std::uint64_t KvCacheTokens = 0;
  Duration TimePerOutputToken = milliseconds(6);
  /// Time that a plain service takes for a request.
  Duration ServiceTime = milliseconds(15);
  /// Requests that may wait for a slot; further ones are refused.
  std::size_t MaxQueuedRequests = 100;
};

enum class TargetFault { None, Hangs, Fails, LosesAnswers, Unreachable };

class VirtualTarget {
public:
  /// Called with the index of a call when its run starts.
  using RunStartHandler = std::function<void(std::size_t call)>;

  VirtualTarget(VirtualClock &clock, TargetPlan plan,
                RunStartHandler onRunStart);

  /// Queues a request, or ends it as `Refused` if the queue is full. Returns
  /// false if the router cannot connect.
  bool submit(TargetRequest request);
  /// Drops the queued or running request of a call whose router closed the
  /// connection; `OnEnd` is not called.
  void cancel(std::size_t call);

  void setFault(TargetFault fault, Duration duration);
  /// Ends all runs and queued requests as `Broken` and clears the cache. After
  /// `restart` the target serves as a new process.
  void crash();
  void restart();

  bool alive() const { return Alive; }
  const routing::TargetEntry &entry() const { return Plan.Entry; }
  void setDraining() { Plan.Entry.Draining = true; }
  /// Prompt tokens prefilled so far, excluding cached ones.
  std::uint64_t prefilledTokens() const { return PrefilledTokens; }

private:
  struct Run {
    TargetRequest Request;
    std::uint64_t RunId = 0;
  };
  TargetFault activeFault() const;
  void startQueuedRuns();
  void startRun(const TargetRequest &request);
  void finish(std::size_t call, std::uint64_t runId, RunOutcome outcome);
  std::uint32_t prefillUncached(const routing::PromptDescription &prompt);

  VirtualClock &Clock;
  TargetPlan Plan;
  RunStartHandler OnRunStart;
  std::list<TargetRequest> Queue;
  std::map<std::size_t, Run> Running;
  std::uint64_t LastRunId = 0;
  bool Alive = true;
  std::pair<TargetFault, Time> CurrentFault{TargetFault::None, Time{}};
  /// Time at which the prompts of all started runs are prefilled.
  Time PrefillEndsAt{};
  std::uint64_t PrefilledTokens = 0;
  /// `PrefilledTokens` at the last use of a prompt part, by the part's hash.
  std::unordered_map<std::uint64_t, std::uint64_t> PartLastUses;
};

} // namespace nutmegsill::simulation
