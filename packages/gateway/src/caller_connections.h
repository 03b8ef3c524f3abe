/// Idle timeouts of callers' connections.
#pragma once

#include "nutmegsill/types.h"

#include <cstddef>

namespace nutmegsill::gateway {

/// Counts callers' connections and shortens their idle timeout as they use up
/// the process's file descriptors. Not thread-safe.
class CallerConnections {
public:
  /// Allots half of `descriptors` to callers; the rest is for targets, peers
  /// and the store.
  explicit CallerConnections(std::size_t descriptors)
      : MaxOpen(descriptors / 2) {}

  void countOpened() { ++OpenCount; }
  void countClosed() { --OpenCount; }
  /// Whether a connection may stay open after its response.
  bool mayKeepAlive() const { return OpenCount < MaxOpen; }
  /// Timeout for the next request; at most `configured`.
  Duration idleTimeout(Duration configured) const;

private:
  std::size_t MaxOpen;
  std::size_t OpenCount = 0;
};

} // namespace nutmegsill::gateway
