/// Log lines of requests.
#pragma once

#include "nutmegsill/routing/dispatcher.h"

#include <string>

namespace nutmegsill::gateway {

/// Logs an attempt; `view` and `revision` are those that decided.
void logDispatch(const std::string &requestId,
                 const routing::DispatchRequest &request,
                 const routing::Assignment &assignment, std::uint64_t view,
                 ConfigRevision revision);

} // namespace nutmegsill::gateway
