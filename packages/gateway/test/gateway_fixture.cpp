#include "gateway_fixture.h"

namespace nutmegsill::standin {

GatewayFixture::GatewayFixture()
    : LocalFleet(std::string(NUTMEGSILL_BUILD) +
                 "/packages/gateway/nutmegsill-router") {}

RouterAddresses &GatewayFixture::startRouter() {
  const bool ready = addRouter();
  REQUIRE(ready);
  return Routers.back();
}

} // namespace nutmegsill::standin
