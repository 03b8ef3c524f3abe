#include "nutmegsill/routing/dispatcher.h"

namespace nutmegsill::routing {

void Dispatcher::recordStreamOrigin(StreamKey key, const Assignment &assignment,
                                    std::optional<Duration> callerTime,
                                    Duration routeTimeout, Time now) {
  const StreamOrigin origin{assignment.Pool,
                            {assignment.Target, assignment.TargetStartedAtMs},
                            assignment.Version};
  Origins.record(key, origin, callerTime, routeTimeout, now);
  if (isReplaced(assignment)) {
    // Makes the origin ambiguous.
    const TargetEntry &entry = Targets.at(assignment.Target).Known.Entry;
    Origins.record(
        key,
        {assignment.Pool, {entry.Target, entry.StartedAtMs}, entry.Version},
        callerTime, routeTimeout, now);
  }
}

bool Dispatcher::isReplaced(const Assignment &assignment) const {
  const auto it = Targets.find(assignment.Target);
  return it != Targets.end() &&
         it->second.Known.Entry.Version != assignment.Version;
}

} // namespace nutmegsill::routing
