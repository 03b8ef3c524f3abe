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
  /// Starts a router whose target sends `answer` with "ID" replaced by the id
  /// of the request, and sends it one request.
  RawResponse exchange(const std::string &answer, const std::string &path) {
    useRawTarget(
        [answer](RawTargetConnection &connection) -> asio::awaitable<void> {
          std::string text = answer;
          for (std::size_t at = text.find("ID"); at != std::string::npos;
               at = text.find("ID")) {
            text.replace(at, 2, connection.RequestId);
          }
          co_await connection.send(std::move(text));
          co_await connection.sleep(milliseconds(500));
        });
    startRouter();
    return sendRequest(path, "id-1");
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

  inline static const std::string Whole =
      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: own\r\n"
      "Content-Length: 4\r\n\r\nbody";

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

TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_status_that_is_none_is_no_answer") {
  const std::string status = GENERATE("000 None", "099 Odd", "600 Odd",
                                      "999 Odd", "101 Switching Protocols");
  const bool hasBody = GENERATE(false, true);
  const RawResponse response =
      exchange("HTTP/1.1 " + status +
                   "\r\nRequest-Id: ID\r\nSignature: own\r\nContent-Length: " +
                   std::to_string(hasBody ? Whole.size() + 2 : 0) + "\r\n\r\n" +
                   (hasBody ? Whole : ""),
               "/buy/a");
  CAPTURE(status, hasBody, response.Body);
  CHECK(response.Status == 502);
  CHECK(response.headerField("Signature").empty());
}

TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_interim_answer_with_body_is_no_answer") {
  const std::string framing =
      GENERATE("Content-Length: 85\r\n", "Transfer-Encoding: chunked\r\n");
  const RawResponse response =
      exchange("HTTP/1.1 100 Continue\r\n" + framing + "\r\n" + Whole +
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
               "/buy/a");
  CAPTURE(framing, response.Body);
  CHECK(response.Status == 502);
}

// Guards against fields that the caller sees otherwise than the target sent
// them, and against bodies whose length depends on the reader.
TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_answer_with_faulty_head_is_no_answer") {
  using namespace std::string_literals;
  const std::string line = GENERATE(
      "X Odd: 1"s, "X\tOdd: 1"s, "X-Odd : 1"s, "X\x01Odd: 1"s, "X\0Odd: 1"s,
      "X\x7fOdd: 1"s, "X\x80Odd: 1"s, " joined"s, "\tjoined"s, " X-Odd: 1"s,
      "no colon"s, ": 1"s, "X-Odd: a\x01"s, "X-Odd: a\0b"s, "X-Odd: a\rb"s,
      "X-Odd: a\nSignature: b"s, "Content-Length: 9"s, "Content-Length: 4"s,
      "Content-Length: +4"s, "Transfer-Encoding: chunked"s, "Signature: other"s,
      "signature: other"s, "Request-Id: other"s,
      "Connection: close, signature"s, "Connection: close, request-id"s);
  const std::string path = GENERATE("/buy/a", "/stream/whole/a");
  const RawResponse response =
      exchange("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 4\r\n"
               "Signature: own\r\n" +
                   line + "\r\n\r\nbody",
               path);
  CAPTURE(line, path, response.Body, response.headerField("Signature"));
  CHECK(response.Status == 502);
  CHECK(response.headerField("Signature").empty());
}

TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_answer_with_faulty_length_is_no_answer") {
  const std::string length =
      GENERATE("+4", "-4", "4 4", "4,4", "0x4", "4;", "", "4\t4",
               "18446744073709551620", "99999999999999999999999");
  const RawResponse response =
      exchange("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: own\r\n"
               "Content-Length: " +
                   length + "\r\n\r\nbody",
               "/buy/a");
  CAPTURE(length, response.Body);
  CHECK(response.Status == 502);
}

TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_answer_with_faulty_chunk_is_no_answer") {
  const std::string body =
      GENERATE("+4\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n",
               "4\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n",
               " 4\r\nbody\r\n0\r\n\r\n", "4 x\r\nbody\r\n0\r\n\r\n",
               "4;a=\x01\r\nbody\r\n0\r\n\r\n", "4\r\nbodyX\r\n0\r\n\r\n",
               "10000000000000004\r\nbody\r\n0\r\n\r\n",
               "4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n",
               "4\r\nbody\r\n0\r\nno colon\r\n\r\n");
  const RawResponse response =
      exchange("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: own\r\n"
               "Transfer-Encoding: chunked\r\n\r\n" +
                   body,
               "/buy/a");
  CAPTURE(body, response.Body);
  CHECK(response.Status == 502);
}

// Guards against trailers that are joined to the header.
TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_trailer_of_answer_is_not_part_of_header") {
  const std::string path =
      GENERATE("/buy/a", "/stream/whole/a", "/stream/resumed/a");
  const RawResponse response =
      exchange("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSignature: own\r\n"
               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
               "Signature: other\r\nX-Trailer: 1\r\nLoad: 1,1,1\r\n\r\n",
               path);
  CAPTURE(path);
  CHECK(response.Status == 200);
  CHECK(response.Complete);
  CHECK(response.headerField("Signature") == "own");
  CHECK(response.headerField("X-Trailer").empty());
}

TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_late_answer_with_faulty_head_ends_connection") {
  const std::string line = GENERATE("X Odd: 1", " joined", "X-Odd : 1");
  const RawResponse response =
      exchange("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + line +
                   "\r\nContent-Length: 0\r\n\r\n" + Whole,
               "/buy/a");
  CAPTURE(line);
  CHECK(response.Status == 502);
}

TEST_CASE_METHOD(GatewayAnswersInTroubleFixture,
                 "gateway_answer_with_unusual_head_is_forwarded") {
  const std::string head =
      GENERATE("HTTP/1.1 200 \r\n", "HTTP/1.1 200 All\tis w\xc3\xa4ll\r\n",
               "HTTP/1.0 200 OK\r\n",
               "HTTP/1.1 100 Continue\r\n\r\n"
               "HTTP/1.1 200 OK\r\n",
               "HTTP/1.1 200 OK\r\nX-Empty:\r\nX!#$%&'*+-.^_`|~1:\ta\tb\xe4 "
               "\r\n");
  const RawResponse response =
      exchange(head + "Request-Id: ID\r\nsignature:own\r\n"
                      "Content-Length:  004 \r\n\r\nbody",
               "/buy/a");
  CAPTURE(head, response.Status);
  CHECK(response.Status == 200);
  CHECK(response.Body == "body");
}

// Guards against answers of the store and of engines that are read by other
// rules than those of targets.
/// Responses to calls of one client with pauses between them.
static std::vector<HttpResponse> callServer(const RawTarget &server,
                                            int calls) {
  std::vector<HttpResponse> out;
  asio::io_context io;
  HttpClient client;
  const auto run = [&]() -> asio::awaitable<void> {
    for (int i = 0; i < calls; ++i) {
      HttpRequest request;
      request.Path = "/";
      out.push_back(co_await client.send(*parseEndpoint(server.address()),
                                         request, milliseconds(1'000), true));
      asio::steady_timer pause(io, milliseconds(100));
      co_await pause.async_wait(asio::use_awaitable);
    }
  };
  asio::co_spawn(io, run(), asio::detached);
  io.run();
  return out;
}

TEST_CASE("http_client_response_with_faulty_head_is_none") {
  const std::string head =
      GENERATE("HTTP/1.1 000 None\r\nContent-Length: 4\r\n",
               "HTTP/1.1 999 Odd\r\nContent-Length: 4\r\n",
               "HTTP/1.1 101 Switching\r\nContent-Length: 4\r\n",
               "HTTP/1.1 100 Continue\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n joined\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Odd: 1\r\n",
               "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
               "Content-Length: 4\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n");
  const RawTarget server(
      freeLoopbackAddress(),
      [head](RawTargetConnection &connection) -> asio::awaitable<void> {
        co_await connection.send(head + "\r\nbody");
        connection.endSending();
        co_await connection.sleep(milliseconds(500));
      });
  const HttpResponse response = callServer(server, 1).back();
  CAPTURE(head, response.Body);
  CHECK_FALSE(response.Status);
  CHECK_FALSE(response.Reason.empty());
}

// Guards against an answer that is taken for that to the next call.
TEST_CASE("http_client_idle_connection_with_second_answer_is_not_used") {
  const std::string framing = GENERATE("Content-Length: 5\r\n", "");
  const RawTarget server(
      freeLoopbackAddress(),
      [framing](RawTargetConnection &connection) -> asio::awaitable<void> {
        co_await connection.send("HTTP/1.1 200 OK\r\n" + framing + "\r\nfirst");
        if (framing.empty()) {
          connection.endSending();
        }
        co_await connection.sleep(milliseconds(50));
        co_await connection.send(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        co_await connection.sleep(milliseconds(1'000));
      });
  for (const HttpResponse &it : callServer(server, 3)) {
    CHECK(it.Status == 200U);
    CHECK(it.Body == "first");
  }
  CHECK(server.requestCount() == 3);
}

TEST_CASE("http_client_trailer_is_not_part_of_header") {
  const RawTarget server(
      freeLoopbackAddress(),
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
        co_await connection.send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Own: 1\r\n"
            "\r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n");
        co_await connection.sleep(milliseconds(200));
      });
  const HttpResponse response = callServer(server, 1).front();
  CHECK(response.Body == "body");
  CHECK(response.Fields["X-Own"] == "1");
  CHECK(response.Fields.count("X-Trailer") == 0);
}

} // namespace nutmegsill::standin
