#include "caller_connections.h"

#include <algorithm>

namespace nutmegsill::gateway {

namespace {

/// Lower bound of the idle timeout; a caller that sends its requests back to
/// back needs less.
constexpr milliseconds MinIdleTimeout{300};

} // namespace

void CallerConnections::endRequests(bool readFirst) const {
  for (CallerConnection *it : Open) {
    it->endRequest(readFirst);
  }
}

void CallerConnections::closeIdle() const {
  for (CallerConnection *it : Open) {
    it->closeIfIdle();
  }
}

void CallerConnections::checkTargets(Time now) const {
  for (CallerConnection *it : Open) {
    it->checkTarget(now);
  }
}

void CallerConnections::remove(CallerConnection &connection) {
  Open.erase(&connection);
  Closed.erase(&connection);
}

void CallerConnections::refuse(std::uint64_t budgetId) const {
  for (CallerConnection *it : Open) {
    if (it->budgetId() == budgetId) {
      it->refuse();
      return;
    }
  }
}

bool CallerConnections::makeRoom() {
  if (Open.size() - Closed.size() < MaxOpen) {
    return true;
  }
  CallerConnection *oldest = nullptr;
  Time oldestSince = Time::max();
  for (CallerConnection *it : Open) {
    const std::optional<Time> since = it->waitsSince();
    if (since && *since < oldestSince) {
      oldest = it;
      oldestSince = *since;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  oldest->close();
  Closed.insert(oldest);
  return true;
}

Duration CallerConnections::idleTimeout(Duration configured) const {
  if (Open.size() >= KeepAliveLimit) {
    return std::min<Duration>(MinIdleTimeout, configured);
  }
  const double freeFraction = 1.0 - static_cast<double>(Open.size()) /
                                        static_cast<double>(KeepAliveLimit);
  const Duration scaled =
      std::chrono::duration_cast<Duration>(configured * freeFraction);
  return std::min(configured, std::max<Duration>(MinIdleTimeout, scaled));
}

} // namespace nutmegsill::gateway
