/// Log lines of requests.
#pragma once

#include "nutmegsill/platform/headers.h"
#include "nutmegsill/routing/dispatcher.h"

#include <optional>
#include <string>

namespace nutmegsill::gateway {

/// Logs an attempt; `view` and `revision` are those that decided.
void logDispatch(const platform::RequestHead &head,
                 const routing::DispatchRequest &request,
                 const routing::Assignment &assignment, std::uint64_t view,
                 ConfigRevision revision);

/// Logs a second attempt that starts after `delay`.
void logHedge(const std::string &requestId, const routing::Assignment &first,
              const routing::Assignment &second, Duration delay);

/// How a request ended.
struct RequestEnd {
  std::string Id;
  std::string Team;
  std::string Route;
  std::string Outcome;
  unsigned Status = 0;
  std::string Reason;
  std::uint32_t Sends = 0;
  std::optional<Duration> TimeToFirstPart;
  Duration ConfigAge{0};
  Duration Elapsed{0};
};
void logEnd(const RequestEnd &end);

} // namespace nutmegsill::gateway
