// Answers of targets in trouble that must not look whole, or like answers.
#include "gateway_fixture.h"
#include "nutmegsill/http_client.h"
#include "raw_target.h"

#include <boost/asio.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
using std::chrono::milliseconds;

class GatewayAnswersInTroubleFixture : protected GatewayFixture {
protected:
  /// Replaces both targets by one with a script.
  RawTarget &useRawTarget(RawTarget::Script script, int receiveBytes = 0) {
    Scripted = std::make_unique<RawTarget>(freeLoopbackAddress(),
                                           std::move(script), receiveBytes);
    writeTargetEntry(*FirstTarget, "ready", Scripted->address());
    Store->erase("servers/" + SecondTarget->id());
    return *Scripted;
  }
  void allowLargeBodies() {
    std::string text = configText(4);
    const std::string field = "\"max-body-bytes\":65536";
    text.replace(text.find(field), field.size(), "\"max-body-bytes\":5000000");
    writeConfig(text);
  }
  RawResponse upload(const std::string &path) {
    RawRequest request;
    request.Path = path;
    request.RequestId = "id-1";
    request.Body = std::string(3'900'000, 'x');
    return RawCaller(Routers.front().CallerAddress).send(request);
  }

  std::unique_ptr<RawTarget> Scripted;
};

// Guards against a reset that only the pending write is told of.
TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_unframed_answer_reset_during_upload_is_incomplete") {
  const std::string path =
      GENERATE("/buy/a", "/safe/a", "/stream/whole/a", "/stream/resumed/a");
  const int delayMs = GENERATE(30, 300);
  const bool isHedged = GENERATE(false, true);
  if (isHedged && path != "/safe/a") {
    return;
  }
  HedgingBudget = isHedged ? 1 : 0;
  allowLargeBodies();
  useRawTarget(
      [=](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text = connection.head("200 OK") +
                           "Content-Type: text/event-stream\r\n\r\n"
                           "id: 1\ndata: a\n\n";
        co_await connection.sleep(milliseconds(isHedged ? 900 : 0));
        co_await connection.send(std::move(text));
        co_await connection.sleep(milliseconds(delayMs));
        connection.close();
      },
      4'096);
  startRouter();
  const RawResponse response = upload(path);
  CAPTURE(path, delayMs, isHedged, response.Status, response.Body);
  CHECK(Scripted->requestCount() > 0);
  CHECK((response.Status != 200 || !response.Complete));
}

// Guards against an end in good order that is taken for completeness while the
// target has not got the request.
TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_unframed_answer_ended_during_upload_is_incomplete") {
  const std::string path = GENERATE("/buy/a", "/stream/whole/a");
  const bool isReset = GENERATE(false, true);
  allowLargeBodies();
  useRawTarget(
      [=](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text = connection.head("200 OK") +
                           "Content-Type: text/event-stream\r\n\r\n"
                           "id: 1\ndata: a\n\n";
        co_await connection.send(std::move(text));
        connection.endSending();
        co_await connection.sleep(milliseconds(isReset ? 100 : 2'000));
        connection.close();
      },
      4'096);
  startRouter();
  const RawResponse response = upload(path);
  CAPTURE(path, isReset, response.Status, response.Body);
  CHECK((response.Status != 200 || !response.Complete));
}

TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_early_unframed_answer_to_read_upload_is_complete") {
  const std::string path = GENERATE("/buy/a", "/stream/whole/a");
  allowLargeBodies();
  useRawTarget(
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text = connection.head("200 OK") +
                           "Content-Type: text/event-stream\r\n\r\n"
                           "id: 1\ndata: a\n\n";
        co_await connection.send(std::move(text));
        connection.endSending();
        co_await connection.sleep(milliseconds(100));
        co_await connection.readToReset();
      },
      4'096);
  startRouter();
  const RawResponse response = upload(path);
  CAPTURE(path, response.Body);
  CHECK(response.Status == 200);
  CHECK(response.Complete);
}

} // namespace nutmegsill::standin
