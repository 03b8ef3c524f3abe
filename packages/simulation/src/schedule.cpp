#include "schedule.h"

#include <algorithm>

namespace nutmegsill::simulation {

void Schedule::at(Time time, std::function<void()> action) {
  Entries.push(Entry{std::max(time, Now), ++LastOrder, std::move(action)});
}

void Schedule::runUntil(Time end) {
  while (!Entries.empty() && Entries.top().At <= end) {
    const Entry next = Entries.top();
    Entries.pop();
    Now = next.At;
    next.Action();
  }
  Now = end;
}

} // namespace nutmegsill::simulation
