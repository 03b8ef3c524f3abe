/// Entry point of the gateway.
#pragma once

#include "settings.h"

#include <string>

namespace nutmegsill::gateway {

/// Runs the gateway until a stop signal; returns the exit code. The file at
/// `settingsPath` is validated again on SIGHUP.
int runGateway(const GatewaySettings &settings,
               const std::string &settingsPath);

} // namespace nutmegsill::gateway
