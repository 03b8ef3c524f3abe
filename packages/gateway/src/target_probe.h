/// Tells whether a target still runs.
#pragma once

#include "target_connection_pool.h"

#include <boost/asio/awaitable.hpp>

namespace nutmegsill::gateway {

/// What an attempt to connect to a target shows.
enum class ProbeResult {
  Accepted,
  /// Nothing listens at the address.
  Refused,
  /// No answer within 100 ms, or another error.
  Unknown,
};

boost::asio::awaitable<ProbeResult>
probeTarget(TargetConnectionPool::Endpoint target);

/// Whether a target that has just closed a connection still accepts others. A
/// process that is killed closes its connections as one that has finished does;
/// a process that was replaced at its address within milliseconds is not told
/// from it. Takes 5 to 105 ms.
boost::asio::awaitable<bool>
stillAccepts(TargetConnectionPool::Endpoint target);

} // namespace nutmegsill::gateway
