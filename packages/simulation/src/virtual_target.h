/// Targets in virtual time: model engines that read prompts one after the
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

/// How a run ends for the router that asked for it.
enum class RunOutcome {
  Completed,
  /// An error of the target's own.
  Failed,
  /// Not run, and never will be.
  Refused,
  /// The connection broke.
  Broken,
};

/// What a router asks of a target.
struct TargetRequest {
  /// The caller's request, as its place in the history.
  std::size_t CallIndex = 0;
  routing::PromptDescription Prompt;
  std::function<void()> OnFirstEvent;
  std::function<void(RunOutcome)> OnEnd;
};

/// Rates of a simulated target.
struct TargetPlan {
  routing::TargetEntry Entry;
  /// Tokens of prompts that it reads in a second; 0 for a plain service.
  double PrefillTokensPerSecond = 0;
  std::uint64_t KvCacheTokens = 0;
  /// Time between two tokens of an answer.
  Duration TimePerOutputToken = milliseconds(6);
  /// Time that a plain service works on a request.
  Duration ServiceTime = milliseconds(15);
  /// Requests that may wait for a place.
  std::size_t MaxQueuedRequests = 100;
};

/// A fault of a target.
enum class TargetFault { None, Hangs, Fails, LosesAnswers, Unreachable };

class VirtualTarget {
public:
  /// Called when a call begins to run.
  using RunStartHandler = std::function<void(std::size_t call)>;

  VirtualTarget(VirtualClock &clock, TargetPlan plan,
                RunStartHandler onRunStart);

  /// False when no connection is made.
  bool submit(TargetRequest request);
  /// The router closed its connection.
  void cancel(std::size_t call);

  void setFault(TargetFault fault, Duration duration);
  /// Ends all runs and forgets all; `restart` serves again with a new life.
  void crash();
  void restart();

  bool alive() const { return Alive; }
  const routing::TargetEntry &entry() const { return Plan.Entry; }
  void setDraining() { Plan.Entry.Draining = true; }
  /// Prompt tokens read, and those that it had read before.
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
  /// When the prompts that it has taken are read.
  Time PrefillEndsAt{};
  std::uint64_t PrefilledTokens = 0;
  /// Tokens read when a part was last used.
  std::unordered_map<std::uint64_t, std::uint64_t> PartLastUses;
};

} // namespace nutmegsill::simulation
