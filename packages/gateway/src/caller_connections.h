/// How long connections of callers are kept while they are idle.
#pragma once

#include "nutmegsill/types.h"

#include <cstddef>

namespace nutmegsill::gateway {

/// Counts the connections of callers, and closes idle ones sooner as they use
/// up the process's descriptors. For one thread.
class CallerConnections {
public:
  /// Half of `descriptors` is for callers; the rest is for targets, peers and
  /// the store.
  explicit CallerConnections(std::size_t descriptors)
      : MaxOpen(descriptors / 2) {}

  void countOpened() { ++OpenCount; }
  void countClosed() { --OpenCount; }
  /// Whether a connection may stay open after its answer.
  bool mayKeepAlive() const { return OpenCount < MaxOpen; }
  /// Longest time to wait for the next request, at most `configured`.
  Duration idleTimeout(Duration configured) const;

private:
  std::size_t MaxOpen;
  std::size_t OpenCount = 0;
};

} // namespace nutmegsill::gateway
