/// Detects that a router lacks processor time.
///
/// Answers the load of callers that send more to one router than its host
/// bears, whatever the directory lists.
#pragma once

#include "nutmegsill/types.h"

#include <deque>
#include <string_view>
#include <utility>

namespace nutmegsill::routing {

struct HostOverloadPolicy {
  /// Lag that is no overload: longer than the pause of a host whose processor
  /// quota for a tenth of a second is used up, and a fraction of the shortest
  /// latency objectives.
  Duration MaxLag = milliseconds(120);
  /// Time for which the lag must stay above `MaxLag`, so that one long step or
  /// the end of a freeze is no overload.
  Duration Window = milliseconds(500);
};

/// The event loop's lag: how late its timers run, since all that was ready
/// before them runs first. Not thread-safe.
class HostOverload {
public:
  explicit HostOverload(HostOverloadPolicy policy) : Policy(policy) {}

  /// Records that a timer ran `lag` after its expiry.
  void recordLag(Duration lag, Time now);
  /// Whether requests wait for processor time: callers should go to other
  /// routers, and new requests be rejected.
  bool isOverloaded() const { return LowestLag > Policy.MaxLag; }

private:
  HostOverloadPolicy Policy;
  std::deque<std::pair<Time, Duration>> Lags;
  /// Lowest lag of the window; 0 until the window is full.
  Duration LowestLag{0};
};

/// Retry-After of a router that turns a request away for its own overload:
/// longer than the directory's answers live, so that callers may be sent to
/// another router, and spread, so that they do not return together.
Duration overloadRetryAfter(std::string_view requestId);

} // namespace nutmegsill::routing
