#include "gateway_fixture.h"

namespace nutmegsill::standin {

GatewayFixture::GatewayFixture()
    : LocalFleet(std::string(NUTMEGSILL_BUILD) +
                 "/packages/gateway/nutmegsill-router") {}

RouterPorts &GatewayFixture::startRouter() {
  const bool ready = addRouter();
  REQUIRE(ready);
  return Routers.back();
}

} // namespace nutmegsill::standin
