/// Records the runs of streams.
#pragma once

#include "metrics.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/event_stream_buffer.h"

#include <string>

namespace nutmegsill::gateway {

/// A run of a stream at one target, which has ended.
struct StreamRun {
  std::string RequestId;
  TargetId Target;
  routing::ExchangeResult Result = routing::ExchangeResult::Broken;
  std::string Reason;
};

/// Counts a run; logs it if it resumed a stream or is incomplete. `events` is
/// the stream up to its end.
void recordStreamRun(Metrics &counters, const StreamRun &run,
                     const routing::EventStreamBuffer &events);

} // namespace nutmegsill::gateway
