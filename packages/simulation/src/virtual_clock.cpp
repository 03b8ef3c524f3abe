#include "virtual_clock.h"

#include <algorithm>

namespace nutmegsill::simulation {

void VirtualClock::scheduleAt(Time time, std::function<void()> action) {
  PendingActions.push(
      ScheduledAction{std::max(time, Now), ++LastSequence, std::move(action)});
}

void VirtualClock::runUntil(Time end) {
  while (!PendingActions.empty() && PendingActions.top().DueAt <= end) {
    const ScheduledAction next = PendingActions.top();
    PendingActions.pop();
    Now = next.DueAt;
    next.Action();
  }
  Now = end;
}

} // namespace nutmegsill::simulation
