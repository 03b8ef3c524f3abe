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

// Guards against a stream that goes on with the next target's error.
TEST_CASE_METHOD(GatewayAnswersFixture,
                 "gateway_broken_stream_gets_nothing_of_next_error") {
  const TargetMode mode = GENERATE(TargetMode::FailingResumedStreams,
                                   TargetMode::AnsweringResumedStreamsWithText);
  startRouter();
  setTargetModes(mode);
  for (int i = 0; i < 6; ++i) {
    const RawResponse response = sendRequest("/stream/resumed/a", nextId());
    CAPTURE(static_cast<int>(mode), response.Body);
    CHECK(response.Status == 200);
    CHECK_FALSE(response.Complete);
    CHECK(TargetStandin::streamBody(1).starts_with(response.Body));
  }
}

TEST_CASE_METHOD(
    GatewayAnswersFixture,
    "gateway_broken_stream_whose_next_target_fails_is_incomplete") {
  const TargetMode mode =
      GENERATE(TargetMode::OmittingSignatures, TargetMode::Rejecting,
               TargetMode::DroppingResponses, TargetMode::CuttingHeads);
  startRouter();
  SecondTarget->setHeadBytes(40);
  int begun = 0;
  for (int i = 0; i < 12; ++i) {
    // The targets change places, since a failing one is avoided.
    TargetStandin &first = i % 2 == 0 ? *FirstTarget : *SecondTarget;
    TargetStandin &second = i % 2 == 0 ? *SecondTarget : *FirstTarget;
    first.setMode(TargetMode::TruncatingStreams);
    second.setMode(mode);
    const RawResponse response = sendRequest("/stream/resumed/a", nextId());
    CAPTURE(static_cast<int>(mode), response.Status, response.Body);
    // Some requests come to the second target first.
    if (response.Status == 200 && response.Body.starts_with("id: 1\n")) {
      ++begun;
      CHECK_FALSE(response.Complete);
      CHECK(TargetStandin::streamBody(1).starts_with(response.Body));
    }
  }
  CAPTURE(static_cast<int>(mode));
  CHECK(begun > 0);
}

TEST_CASE_METHOD(GatewayAnswersFixture,
                 "gateway_head_cut_at_any_byte_is_no_response") {
  startRouter();
  setTargetModes(TargetMode::CuttingHeads);
  for (std::size_t bytes = 0; bytes < 160; ++bytes) {
    FirstTarget->setHeadBytes(bytes);
    SecondTarget->setHeadBytes(bytes);
    for (const char *path : {"/buy/a", "/stream/whole/a"}) {
      const RawResponse response = sendRequest(path, nextId());
      CAPTURE(bytes, path, response.Status, response.Body);
      CHECK((response.Status != 200 || !response.Complete));
    }
  }
}

TEST_CASE_METHOD(GatewayAnswersFixture,
                 "gateway_head_cut_on_kept_connection_is_no_response") {
  startRouter();
  for (std::size_t bytes = 0; bytes < 150; bytes += 5) {
    setTargetModes(TargetMode::Serving);
    for (int i = 0; i < 2; ++i) {
      CHECK(sendRequest("/buy/a", nextId()).Status == 200);
    }
    FirstTarget->setHeadBytes(bytes);
    SecondTarget->setHeadBytes(bytes);
    setTargetModes(TargetMode::CuttingHeads);
    const RawResponse response = sendRequest("/buy/a", nextId());
    CAPTURE(bytes, response.Status);
    CHECK((response.Status != 200 || !response.Complete));
  }
}

} // namespace nutmegsill::standin
