/// Virtual time: actions run in the order of their times.
#pragma once

#include "nutmegsill/types.h"

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace nutmegsill::simulation {

class VirtualClock {
public:
  Time now() const { return Now; }
  void scheduleAt(Time time, std::function<void()> action);
  void scheduleAfter(Duration delay, std::function<void()> action) {
    scheduleAt(Now + delay, std::move(action));
  }
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
