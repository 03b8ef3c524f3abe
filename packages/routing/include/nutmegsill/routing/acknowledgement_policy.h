/// When a request whose target acknowledges nothing is given up.
#pragma once

#include "nutmegsill/types.h"

namespace nutmegsill::routing {

/// A path that loses packets delays an acknowledgement by some retransmissions;
/// one that is cut delays it until the system closes the connection. A request
/// is given up before that, as only a reset discards what is still unsent.
struct AcknowledgementPolicy {
  /// Time from the send that retransmissions may take.
  Duration MaxUnacknowledged = milliseconds(1'000);
  /// Time since the target was last heard; below the system's own timeout,
  /// 3 s.
  Duration MaxSilence = milliseconds(2'400);

  /// Whether a request that is still unacknowledged is given up.
  bool isOverdue(Duration sinceSent, Duration sinceHeard) const {
    return sinceSent >= MaxUnacknowledged && sinceHeard >= MaxSilence;
  }
};

} // namespace nutmegsill::routing
