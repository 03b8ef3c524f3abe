/// Virtual time of a simulation.
#pragma once

#include "nutmegsill/types.h"

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace nutmegsill::simulation {

/// Runs scheduled actions in order of due time; actions due at the same time
/// run in the order in which they were scheduled.
class VirtualClock {
public:
  Time now() const { return Now; }
  /// Runs `action` at `time`, or at the current time if `time` has passed.
  void scheduleAt(Time time, std::function<void()> action);
  void scheduleAfter(Duration delay, std::function<void()> action) {
    scheduleAt(Now + delay, std::move(action));
  }
  /// Runs all actions due at or before `end`, including those scheduled by
  /// other actions, and sets the time to `end`.
  void runUntil(Time end);

private:
  struct ScheduledAction {
    Time DueAt{};
    std::uint64_t Sequence = 0;
    std::function<void()> Action;
    bool operator>(const ScheduledAction &other) const {
      return std::tie(DueAt, Sequence) > std::tie(other.DueAt, other.Sequence);
    }
  };
  Time Now{};
  std::uint64_t LastSequence = 0;
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>,
                      std::greater<>>
      PendingActions;
};

} // namespace nutmegsill::simulation
