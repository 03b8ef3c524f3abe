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
      : KeepAliveLimit(descriptors / 2) {}

  void countOpened() { ++OpenCount; }
  void countClosed() { --OpenCount; }
  /// Whether a connection may stay open after its response.
  bool mayKeepAlive() const { return OpenCount < KeepAliveLimit; }
  /// Time to wait for the next request on a connection: `configured`, reduced
  /// in proportion to the connections that are open.
  Duration idleTimeout(Duration configured) const;

private:
  std::size_t KeepAliveLimit;
  std::size_t OpenCount = 0;
};

} // namespace nutmegsill::gateway
