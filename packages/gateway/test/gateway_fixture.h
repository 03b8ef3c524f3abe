/// Runs real router processes against stand-ins of the platform's store and
/// targets.
#pragma once

#include "local_fleet.h"

#include <catch2/catch.hpp>

namespace nutmegsill::standin {

class GatewayFixture : protected LocalFleet {
protected:
  GatewayFixture();

  /// Starts a router and waits until it is ready.
  RouterAddresses &startRouter();
};

} // namespace nutmegsill::standin
