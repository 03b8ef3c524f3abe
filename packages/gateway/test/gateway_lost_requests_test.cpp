// Requests that were read and must get an answer.
#include "gateway_fixture.h"
#include "raw_target.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <thread>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

class GatewayLostRequestsFixture : protected GatewayFixture {
protected:
  using Script = RawTarget::Script;

  /// Replaces both targets by one with a script.
  RawTarget &useRawTarget(Script script) {
    Scripted =
        std::make_unique<RawTarget>(freeLoopbackAddress(), std::move(script));
    writeTargetEntry(*FirstTarget, "ready", Scripted->address());
    Store->erase("servers/" + SecondTarget->id());
    return *Scripted;
  }
  /// Changes a number in the operators' configuration.
  void setLimit(const std::string &name, int value) {
    std::string text = configText(4);
    const std::string field = "\"" + name + "\":";
    const std::size_t begin = text.find(field) + field.size();
    const std::size_t end = text.find_first_of(",}", begin);
    text.replace(begin, end - begin, std::to_string(value));
    writeConfig(text);
  }
  static std::string postText(const std::string &path, const std::string &id,
                              std::size_t bodyBytes) {
    return "POST " + path +
           " HTTP/1.1\r\nHost: models.example\r\nRequest-Id: " + id +
           "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" +
           std::string(bodyBytes, 'x');
  }
  RawResponse exchange(const std::string &text) {
    return RawCaller(Routers.front().CallerAddress).exchange(text);
  }

  std::unique_ptr<RawTarget> Scripted;
};

TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_too_large_body_is_rejected_before_close") {
  startRouter();
  CHECK(exchange(postText("/buy/a", "id-1", 4U << 20U)).Status == 413);
  CHECK(sendRequest("/buy/a", "id-2").Status == 200);
}

TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_field_longer_than_64_kb_does_not_end_process") {
  setLimit("max-header-bytes", 120'000);
  startRouter();
  RawRequest request;
  request.Path = "/buy/a";
  request.RequestId = "id-1";
  request.ExtraHeaderFields = "X-Long: " + std::string(70'000, 'x') + "\r\n";
  CHECK(RawCaller(Routers[0].CallerAddress).send(request).Status == 431);
  CHECK(sendRequest("/buy/a", "id-2").Status == 200);
}

TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_trailer_longer_than_64_kb_does_not_end_process") {
  startRouter();
  const std::string chunked =
      "POST /buy/a HTTP/1.1\r\nHost: models.example\r\nRequest-Id: id-1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ";
  CHECK(exchange(chunked + std::string(70'000, 'x') + "\r\n\r\n").Status ==
        400);
  CHECK(sendRequest("/buy/a", "id-2").Status == 200);
}

TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_target_trailer_longer_than_64_kb_ends_nothing") {
  const Script script =
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
    std::string text = connection.head("200 OK") +
                       "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " +
                       std::string(70'000, 'x') + "\r\n\r\n";
    co_await connection.send(std::move(text));
    connection.close();
  };
  useRawTarget(script);
  startRouter();
  for (const char *path : {"/buy/a", "/safe/a", "/stream/whole/a"}) {
    CHECK(sendRequest(path, "id-1").Status != 0);
  }
}

TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_long_event_id_does_not_end_process") {
  const Script script =
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
    std::string text = connection.head("200 OK") +
                       "Content-Type: text/event-stream\r\n\r\nid: " +
                       std::string(65'500, '1');
    co_await connection.send(std::move(text));
    co_await connection.sleep(milliseconds(50));
    co_await connection.send(std::string(200, '1') + "\n\nid: 2\nda");
    co_await connection.sleep(milliseconds(50));
    connection.close();
  };
  useRawTarget(script);
  startRouter();
  writeTargetEntry(*SecondTarget);
  std::this_thread::sleep_for(milliseconds(500));
  for (int i = 0; i < 6; ++i) {
    sendRequest("/stream/resumed/a", "id-" + std::to_string(i));
  }
  CHECK(sendRequest("/buy/a", "after").Status != 0);
  CHECK(Scripted->requestCount() > 0);
}

TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_refusal_before_body_is_read_is_not_lost") {
  const bool keepsConnection = GENERATE(false, true);
  const Script script =
      [keepsConnection](
          RawTargetConnection &connection) -> asio::awaitable<void> {
    std::string text = connection.head("503 Service Unavailable") +
                       "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    co_await connection.send(std::move(text));
    if (keepsConnection) {
      co_await connection.sleep(milliseconds(10'000));
    }
    connection.close();
  };
  setLimit("max-body-bytes", 32 << 20);
  useRawTarget(script);
  startRouter();
  for (int i = 0; i < 4; ++i) {
    const RawResponse response =
        exchange(postText("/buy/a", "id-" + std::to_string(i), 16U << 20U));
    CAPTURE(keepsConnection, i);
    CHECK(response.Status == 503);
  }
}

TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_target_silent_for_a_second_is_awaited") {
  const bool inStream = GENERATE(false, true);
  const milliseconds silence{1'300};
  const Script script =
      [inStream,
       silence](RawTargetConnection &connection) -> asio::awaitable<void> {
    if (!inStream) {
      co_await connection.sleep(silence);
    }
    std::string text = connection.head("200 OK") +
                       "Connection: close\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Content-Length: 32\r\n\r\nid: 1\ndata: x\n\n";
    co_await connection.send(std::move(text));
    if (inStream) {
      co_await connection.sleep(silence);
    }
    co_await connection.send("id: 2\ndata: yyy\n\n");
  };
  RawTarget &target = useRawTarget(script);
  startRouter();
  int sent = 0;
  for (const char *path :
       {"/buy/a", "/safe/a", "/stream/whole/a", "/stream/resumed/a"}) {
    const RawResponse response =
        sendRequest(path, "id-" + std::to_string(++sent));
    CAPTURE(inStream, path);
    CHECK(response.Status == 200);
    CHECK(response.Complete);
    CHECK(target.requestCount() == sent);
  }
}

// Guards against an attempt that is abandoned although no other can follow.
TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_silent_only_target_is_awaited_to_the_deadline") {
  const Script script =
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
    co_await connection.sleep(milliseconds(2'300));
    std::string text = connection.head("200 OK") +
                       "Connection: close\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n";
    co_await connection.send(std::move(text));
  };
  useRawTarget(script);
  startRouter();
  for (const char *path : {"/safe/a", "/stream/resumed/a"}) {
    const RawResponse response = sendRequest(path, "id-1");
    CAPTURE(path);
    CHECK(response.Status == 200);
    CHECK(response.Complete);
  }
}

// Guards against a request that its target gets after it has been given up: the
// system sends what it still holds when a cut has healed.
TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_request_that_is_given_up_resets_its_connection") {
  std::atomic<int> resets{0};
  useRawTarget(
      [&resets](RawTargetConnection &connection) -> asio::awaitable<void> {
        const bool reset = co_await connection.readToReset();
        resets += reset ? 1 : 0;
      });
  startRouter();
  const std::string path =
      GENERATE("/buy/a", "/safe/a", "/stream/whole/a", "/stream/resumed/a");
  CAPTURE(path);
  CHECK(sendRequest(path, "id-1").Status == 504);
  CHECK(waitUntil([&resets] { return resets == 1; }));
  {
    RawCaller leaving(Routers[0].CallerAddress);
    leaving.write(postText("/safe/a", "id-2", 4));
    std::this_thread::sleep_for(milliseconds(200));
  }
  CHECK(waitUntil([&resets] { return resets == 2; }));
}

// Guards against a reset that comes too late: a connection that the system has
// given up can't be reset any more.
TEST_CASE_METHOD(GatewayLostRequestsFixture,
                 "gateway_unacknowledged_request_is_reset_before_timeout") {
  constexpr int receiveBytes = 2'048;
  RawTarget target(
      freeLoopbackAddress(),
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
        co_await connection.sleep(milliseconds(5'000));
      },
      receiveBytes);
  writeTargetEntry(*FirstTarget, "ready", target.address());
  Store->erase("servers/" + SecondTarget->id());
  startRouter();
  const auto begin = std::chrono::steady_clock::now();
  CHECK(exchange(postText("/buy/a", "id-1", 60'000)).Status == 502);
  const auto spent = std::chrono::steady_clock::now() - begin;
  // The system gives the connection up after 3 s.
  CHECK(spent > milliseconds(2'300));
  CHECK(spent < milliseconds(2'950));
}

class GatewayFrozenFixture : protected GatewayLostRequestsFixture {
protected:
  /// Sends a stream of 50 KB at once.
  static Script sendEventsAfter(milliseconds delay) {
    return [delay](RawTargetConnection &connection) -> asio::awaitable<void> {
      co_await connection.sleep(delay);
      std::string body;
      for (int i = 1; i <= 3'000; ++i) {
        body += "id: " + std::to_string(i) + "\ndata: x\n\n";
      }
      std::string text = connection.head("200 OK") +
                         "Content-Type: text/event-stream\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body;
      co_await connection.send(std::move(text));
    };
  }
  /// Sends a request and suspends the router for `span` from 150 ms later.
  RawResponse sendAndFreeze(const std::string &path, milliseconds span) {
    RawResponse response;
    std::thread caller([&] { response = sendRequest(path, "id-1"); });
    std::this_thread::sleep_for(milliseconds(150));
    RouterProcesses[0].signal(SIGSTOP);
    std::this_thread::sleep_for(span);
    RouterProcesses[0].signal(SIGCONT);
    caller.join();
    return response;
  }
};

// Guards against a timer that ends a response which has arrived while the
// router did not run.
TEST_CASE_METHOD(GatewayFrozenFixture,
                 "gateway_response_received_while_frozen_is_forwarded") {
  const std::string path =
      GENERATE("/buy/a", "/safe/a", "/stream/whole/a", "/stream/resumed/a");
  const milliseconds span{GENERATE(2'600, 3'200)};
  RawTarget &target = useRawTarget(sendEventsAfter(milliseconds(300)));
  startRouter();
  const RawResponse response = sendAndFreeze(path, span);
  CAPTURE(path, span.count());
  CHECK(response.Status == 200);
  CHECK(response.Complete);
  CHECK(target.requestCount() == 1);
}

// Guards against the end of a stop that cuts a response which has arrived.
TEST_CASE_METHOD(
    GatewayFrozenFixture,
    "gateway_response_received_while_frozen_in_stop_is_forwarded") {
  const std::string path = GENERATE("/buy/a", "/stream/whole/a");
  StopGraceS = 4;
  useRawTarget(sendEventsAfter(milliseconds(300)));
  startRouter();
  RouterProcesses[0].signal(SIGTERM);
  const RawResponse response = sendAndFreeze(path, milliseconds(3'500));
  CAPTURE(path);
  CHECK(response.Status == 200);
  CHECK(response.Complete);
}

class GatewayFrozenIdleFixture : protected GatewayFrozenFixture {
protected:
  using Socket = asio::ip::tcp::socket;

  void openCallers(int count) {
    const std::string &text = Routers[0].CallerAddress;
    const std::size_t colon = text.find(':');
    const asio::ip::tcp::endpoint address(
        asio::ip::make_address(text.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(text.substr(colon + 1))));
    for (int i = 0; i < count; ++i) {
      Callers.emplace_back(Io);
      Callers.back().connect(address);
    }
  }
  void sendOnEach(const std::string &path) {
    for (Socket &it : Callers) {
      const std::string id = "id-" + std::to_string(++LastRequest);
      asio::write(it, asio::buffer(postText(path, id, 4)));
    }
  }
  /// Reads a response on each connection; returns how many are complete.
  std::size_t readOnEach() {
    std::size_t answered = 0;
    for (Socket &it : Callers) {
      boost::beast::flat_buffer buf;
      http::response<http::string_body> response;
      boost::system::error_code ec;
      http::read(it, buf, response, ec);
      answered += ec ? 0 : 1;
    }
    return answered;
  }
  /// Suspends the router for `span` and sends a request on each connection
  /// during that time.
  void sendOnEachWhileFrozen(const std::string &path, milliseconds span) {
    RouterProcesses[0].signal(SIGSTOP);
    sendOnEach(path);
    std::this_thread::sleep_for(span);
    RouterProcesses[0].signal(SIGCONT);
  }

  asio::io_context Io;
  std::vector<Socket> Callers;
  int LastRequest = 0;
};

// Guards against an idle timer that closes connections on which a request has
// arrived while the router did not run.
TEST_CASE_METHOD(GatewayFrozenIdleFixture,
                 "gateway_requests_received_while_frozen_are_answered") {
  setLimit("idle-timeout-ms", 1'500);
  startRouter();
  openCallers(300);
  std::this_thread::sleep_for(milliseconds(200));
  sendOnEachWhileFrozen("/buy/a", milliseconds(1'600));
  CHECK(readOnEach() == Callers.size());
}

// Guards against an idle timer that closes a connection whose next request the
// system has handed over and the session has not seen.
TEST_CASE_METHOD(GatewayFrozenIdleFixture,
                 "gateway_next_requests_received_while_frozen_are_answered") {
  const std::string path = GENERATE("/safe/a", "/buy/a", "/stream/whole/a");
  setLimit("idle-timeout-ms", 1'500);
  startRouter();
  openCallers(20);
  sendOnEach(path);
  CHECK(readOnEach() == Callers.size());
  std::this_thread::sleep_for(milliseconds(900));
  sendOnEachWhileFrozen(path, milliseconds(900));
  CAPTURE(path);
  CHECK(readOnEach() == Callers.size());
}

// The same with the step of a stop that closes idle connections.
TEST_CASE_METHOD(GatewayFrozenIdleFixture,
                 "gateway_next_requests_received_while_frozen_in_stop_are_"
                 "answered") {
  StopGraceS = 2;
  startRouter();
  openCallers(20);
  sendOnEach("/safe/a");
  CHECK(readOnEach() == Callers.size());
  RouterProcesses[0].signal(SIGTERM);
  // Between the end of admission and the closing of idle connections.
  std::this_thread::sleep_for(milliseconds(850));
  sendOnEachWhileFrozen("/safe/a", milliseconds(300));
  CHECK(readOnEach() == Callers.size());
}

} // namespace nutmegsill::standin
