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
  explicit CallerConnections(std::size_t descriptors) : Most(descriptors / 2) {}

  void opened() { ++Open; }
  void closed() { --Open; }
  /// Whether a connection may stay open after its answer.
  bool mayKeep() const { return Open < Most; }
  /// Longest time to wait for the next request, at most `configured`.
  Duration idleTime(Duration configured) const;

private:
  std::size_t Most;
  std::size_t Open = 0;
};

} // namespace nutmegsill::gateway
