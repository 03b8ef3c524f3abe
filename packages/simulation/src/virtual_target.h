/// Targets in virtual time: model engines that read prompts one after the
/// other, and plain services.
#pragma once

#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/prompt.h"
#include "schedule.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace nutmegsill::simulation {

/// How a run ends for the router that asked for it.
enum class RunEnd {
  Completed,
  /// An error of the target's own.
  Failed,
  /// Not run, and never will be.
  Refused,
  /// The connection broke.
  Broken,
};

/// What a router asks of a target.
struct RunOrder {
  /// The caller's request, as its place in the history.
  std::size_t Call = 0;
  routing::PromptDescription Content;
  std::function<void()> OnFirstEvent;
  std::function<void(RunEnd)> OnEnd;
};

/// Rates of a simulated target.
struct TargetPlan {
  routing::TargetEntry Entry;
  /// Tokens of prompts that it reads in a second; 0 for a plain service.
  double PrefillRate = 0;
  std::uint64_t CacheTokens = 0;
  /// Time between two tokens of an answer.
  Duration TokenTime = milliseconds(6);
  /// Time that a plain service works on a request.
  Duration WorkTime = milliseconds(15);
  /// Requests that may wait for a place.
  std::size_t Queue = 100;
};

/// A fault of a target.
enum class TargetFault { None, Hangs, Fails, LosesAnswers, Unreachable };

class VirtualTarget {
public:
  /// Called when a call begins to run.
  using RunStarted = std::function<void(std::size_t call)>;

  VirtualTarget(Schedule &schedule, TargetPlan plan, RunStarted started);

  /// False when no connection is made.
  bool offer(RunOrder order);
  /// The router closed its connection.
  void cancel(std::size_t call);

  void setFault(TargetFault fault, Duration span);
  /// Ends all runs and forgets all; `restart` serves again with a new life.
  void crash();
  void restart();

  bool alive() const { return Alive; }
  const routing::TargetEntry &entry() const { return Plan.Entry; }
  void setDraining() { Plan.Entry.Draining = true; }
  /// Prompt tokens read, and those that it had read before.
  std::uint64_t tokensRead() const { return Read; }

private:
  struct Run {
    RunOrder Order;
    std::uint64_t Number = 0;
  };
  TargetFault fault() const;
  void begin();
  void run(const RunOrder &order);
  void finish(std::size_t call, std::uint64_t number, RunEnd end);
  std::uint32_t takeUncached(const routing::PromptDescription &prompt);

  Schedule &Clock;
  TargetPlan Plan;
  RunStarted OnStart;
  std::list<RunOrder> Queue;
  std::map<std::size_t, Run> Running;
  std::uint64_t LastNumber = 0;
  bool Alive = true;
  std::pair<TargetFault, Time> Fault{TargetFault::None, Time{}};
  /// When the prompts that it has taken are read.
  Time PrefillUntil{};
  std::uint64_t Read = 0;
  /// Tokens read when a part was last used.
  std::unordered_map<std::uint64_t, std::uint64_t> Parts;
};

} // namespace nutmegsill::simulation
