/// How connections end.
#pragma once

#include <cstddef>

namespace nutmegsill {

struct ConnectionEnd {
  /// The peer has ended its sending side, and the connection was not reset.
  bool IsOrderly = false;
  /// Bytes that were sent and that the peer has not acknowledged.
  std::size_t UnacknowledgedBytes = 0;
};

/// Returns how the TCP connection has ended whose end was read. The system
/// reports a reset once, to a read, a write or a peek; reads after that see the
/// same end as after an orderly one.
ConnectionEnd connectionEnd(int fd);

/// Whether no bytes wait to be read and the peer has not ended its sending
/// side. Bytes that wait on an idle connection answer no later request.
bool isQuiet(int fd);

} // namespace nutmegsill
