// Where messages begin and end on a connection.
#include "gateway_fixture.h"
#include "nutmegsill/http_client.h"
#include "raw_target.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

class GatewayFramingFixture : protected GatewayFixture {
protected:
  using Response = http::response<http::string_body>;

  inline static const std::string KeyField =
      "Authorization: Bearer key-prints\r\n";

  /// One connection that is read like a caller does who knows the method of
  /// each request.
  class Connection {
  public:
    explicit Connection(const std::string &address) {
      Socket.connect(*parseEndpoint(address));
    }
    /// Sends a request and reads its response; status 0 if none is read.
    Response exchange(const std::string &method, const std::string &path,
                      const std::string &fields = "",
                      const std::string &body = "") {
      const std::string text = method + " " + path +
                               " HTTP/1.1\r\nHost: models.example\r\n" +
                               "Request-Id: id-" + std::to_string(++Sent) +
                               "\r\n" + fields + "\r\n" + body;
      boost::system::error_code ec;
      asio::write(Socket, asio::buffer(text), ec);
      http::response_parser<http::string_body> parser;
      parser.skip(method == "HEAD");
      http::read(Socket, Buffer, parser, ec);
      Response response = parser.release();
      if (ec) {
        response.result(0U);
      }
      return response;
    }
    /// Bytes beyond the last response.
    std::size_t extraBytes() const { return Buffer.size(); }

  private:
    asio::io_context Io;
    asio::ip::tcp::socket Socket{Io};
    beast::flat_buffer Buffer;
    int Sent = 0;
  };
};

// Guards against a body after a response to HEAD, which begins the next one.
TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_own_response_to_head_has_no_body") {
  const std::pair<std::string, unsigned> expected =
      GENERATE(std::pair<std::string, unsigned>{"/keyed/a", 401},
               std::pair<std::string, unsigned>{"/unknown/a", 404},
               std::pair<std::string, unsigned>{"/buy/a", 503});
  writeConfig(configText(4, "\"key-prints\"", "none"));
  startRouter();
  Connection connection(Routers[0].CallerAddress);
  const Response first = connection.exchange("HEAD", expected.first);
  CAPTURE(expected.first);
  CHECK(first.result_int() == expected.second);
  const Response next = connection.exchange("GET", "/safe/a");
  CHECK(next.result_int() == 200);
  CHECK(next.body() == "answer to id-2");
}

TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_directory_response_to_head_has_no_body") {
  startRouter();
  const std::string path = "/resolve?name=models.example&zone=zone-a";
  for (const std::string &address :
       {Routers[0].DirectoryAddress, Routers[0].ReadinessAddress}) {
    Connection connection(address);
    connection.exchange("HEAD", path);
    const Response next = connection.exchange("GET", path);
    CHECK(next.result_int() != 0);
    CHECK(connection.extraBytes() == 0);
  }
}

// Guards against a length or chunks after a status that has no body, and
// against a stream that waits for bytes after it.
TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_response_without_content_has_no_body") {
  const RawTarget target(
      freeLoopbackAddress(),
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text =
            connection.head("204 No Content") + "Connection: close\r\n\r\n";
        co_await connection.send(std::move(text));
        co_await connection.sleep(std::chrono::seconds(5));
      });
  writeTargetEntry(*FirstTarget, "ready", target.address());
  Store->erase("servers/" + SecondTarget->id());
  startRouter();
  const std::string path =
      GENERATE("/safe/a", "/stream/whole/a", "/stream/resumed/a");
  Connection connection(Routers[0].CallerAddress);
  const Response response = connection.exchange(
      "POST", path, KeyField + "Tokens: 10,10\r\nContent-Length: 0\r\n");
  CAPTURE(path);
  CHECK(response.result_int() == 204);
  CHECK(response.count(http::field::transfer_encoding) == 0);
  CHECK(response.count(http::field::content_length) == 0);
  CHECK(connection.extraBytes() == 0);
}

TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_target_response_to_head_has_no_body") {
  const RawTarget target(
      freeLoopbackAddress(),
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text = connection.head("200 OK") +
                           "Content-Type: text/event-stream\r\n"
                           "Connection: close\r\n"
                           "Content-Length: 800\r\n\r\n";
        co_await connection.send(std::move(text));
        co_await connection.sleep(std::chrono::seconds(5));
      });
  writeTargetEntry(*FirstTarget, "ready", target.address());
  Store->erase("servers/" + SecondTarget->id());
  startRouter();
  const std::string path =
      GENERATE("/safe/a", "/stream/whole/a", "/stream/resumed/a");
  Connection connection(Routers[0].CallerAddress);
  const Response response =
      connection.exchange("HEAD", path, KeyField + "Tokens: 10,10\r\n");
  CAPTURE(path);
  CHECK(response.result_int() == 200);
  const Response next =
      connection.exchange("HEAD", path, KeyField + "Tokens: 10,10\r\n");
  CHECK(next.result_int() == 200);
  CHECK(connection.extraBytes() == 0);
}

// Guards against a stream that waits for bytes after an empty body.
TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_stream_that_resumes_with_empty_body_is_complete") {
  const RawTarget target(
      freeLoopbackAddress(),
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text = connection.head("200 OK") +
                           "Content-Type: text/event-stream\r\n"
                           "Connection: close\r\n"
                           "Content-Length: 0\r\n\r\n";
        co_await connection.send(std::move(text));
        co_await connection.sleep(std::chrono::seconds(5));
      });
  writeTargetEntry(*SecondTarget, "ready", target.address());
  FirstTarget->setMode(TargetMode::StreamsCutBeforeEnd);
  startRouter();
  for (int i = 0; i < 6; ++i) {
    const RawResponse response =
        sendRequest("/stream/resumed/a", "id-" + std::to_string(i));
    CHECK(response.Status == 200);
    CHECK(response.Complete);
    const bool whole = response.Body == TargetStandin::streamBody(1);
    CHECK((whole || response.Body.empty()));
  }
  CHECK(FirstTarget->receivedRequests().size() > 0);
}

// Guards against a body that runs as a request of its own.
TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_request_with_unknown_transfer_coding_is_rejected") {
  const std::string codings =
      GENERATE("Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
               "Transfer-Encoding: chunked, identity\r\n",
               "Transfer-Encoding: gzip, chunked\r\n",
               "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
               "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n");
  startRouter();
  const std::string smuggled =
      "POST /buy/a HTTP/1.1\r\nHost: models.example\r\nRequest-Id: "
      "smuggled\r\nContent-Length: 0\r\n\r\n";
  Connection connection(Routers[0].CallerAddress);
  const Response response =
      connection.exchange("POST", "/buy/a", codings, smuggled);
  CAPTURE(codings);
  CHECK(response.result_int() == 400);
  CHECK(response[http::field::connection] == "close");
  CHECK(connection.exchange("GET", "/safe/a").result_int() == 0);
  CHECK(FirstTarget->receivedRequests().size() +
            SecondTarget->receivedRequests().size() ==
        0);
}

TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_request_in_chunks_is_forwarded") {
  startRouter();
  const std::string coding =
      GENERATE("chunked", "Chunked", "  chunked  ", "CHUNKED");
  Connection connection(Routers[0].CallerAddress);
  const Response response = connection.exchange(
      "POST", "/buy/a", "Transfer-Encoding: " + coding + "\r\n",
      "4\r\nbody\r\n0\r\n\r\n");
  CHECK(response.result_int() == 200);
  CHECK(FirstTarget->receivedRequests().size() +
            SecondTarget->receivedRequests().size() ==
        1);
}

// Guards against coded bytes that are passed on without their coding.
TEST_CASE_METHOD(GatewayFramingFixture,
                 "gateway_response_with_unknown_transfer_coding_is_broken") {
  const std::string coding = GENERATE("gzip", "gzip, chunked", "identity");
  const RawTarget target(
      freeLoopbackAddress(),
      [coding](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text = connection.head("200 OK") +
                           "Transfer-Encoding: " + coding +
                           "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        co_await connection.send(std::move(text));
        connection.close();
      });
  writeTargetEntry(*FirstTarget, "ready", target.address());
  Store->erase("servers/" + SecondTarget->id());
  startRouter();
  CAPTURE(coding);
  CHECK(sendRequest("/buy/a", "id-1").Status == 502);
}

} // namespace nutmegsill::standin
