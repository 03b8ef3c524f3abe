/// Runs a gateway until it is told to stop.
#pragma once

#include "settings.h"

#include <string>

namespace nutmegsill::gateway {

/// Returns the exit code. `settingsPath` is read again on SIGHUP.
int runGateway(const GatewaySettings &settings,
               const std::string &settingsPath);

} // namespace nutmegsill::gateway
