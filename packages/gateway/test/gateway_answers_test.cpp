// Responses of faulty targets that callers must not take for their own or for
// complete ones.
#include "gateway_fixture.h"

namespace nutmegsill::standin {

class GatewayAnswersFixture : protected GatewayFixture {
protected:
  void setTargetModes(TargetMode mode) {
    FirstTarget->setMode(mode);
    SecondTarget->setMode(mode);
  }
  int runCount(const std::string &id) const {
    return FirstTarget->runCount(id) + SecondTarget->runCount(id);
  }
  std::string nextId() { return "id-" + std::to_string(++LastRequest); }

  int LastRequest = 0;
};

// Guards against a refusal of an earlier request that is taken for one's own.
TEST_CASE_METHOD(GatewayAnswersFixture,
                 "gateway_repeated_refusal_is_not_taken_for_own_response") {
  const TargetMode mode = GENERATE(TargetMode::RepeatingRefusals,
                                   TargetMode::RepeatingAnonymousRefusals,
                                   TargetMode::RepeatingRefusalsInPieces);
  startRouter();
  setTargetModes(mode);
  for (int i = 0; i < 24; ++i) {
    const std::string path = i % 2 == 0 ? "/buy/a" : "/stream/whole/a";
    const std::string id = nextId();
    const RawResponse response = sendRequest(path, id);
    CAPTURE(static_cast<int>(mode), path, response.Status);
    CHECK(runCount(id) <= 1);
    CHECK((response.Status != 503 || runCount(id) == 0));
  }
}

} // namespace nutmegsill::standin
