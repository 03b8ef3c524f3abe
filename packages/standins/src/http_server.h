/// HTTP/1.1 server of the stand-ins.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <map>
#include <string>

namespace nutmegsill::standin {

using ServerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// One request and the connection for its response. The handler responds by
/// `respond` or `respondJson`, or sends the bytes of the response itself.
class ServerExchange {
public:
  ServerExchange(boost::beast::tcp_stream &stream, ServerRequest request,
                 std::string &note)
      : Request(std::move(request)), ConnectionNote(note), Stream(stream) {}

  const ServerRequest Request;
  /// Kept for the handler while the connection lasts; empty at first.
  std::string &ConnectionNote;

  /// Sets a field of the responses by `respond` and `respondJson`.
  void setResponseField(const std::string &name, const std::string &value) {
    ResponseFields[name] = value;
  }

  boost::asio::awaitable<void> respond(unsigned status, std::string contentType,
                                       std::string body);
  /// Responds with status 200 and a JSON body.
  boost::asio::awaitable<void> respondJson(std::string body);
  /// Sends one chunk of a body with "Transfer-Encoding: chunked". False when
  /// the connection is closed.
  boost::asio::awaitable<bool> writeChunk(std::string data);
  /// Sends the last, empty chunk.
  boost::asio::awaitable<void> finishChunked();
  /// Sends bytes unchanged. False when the connection is closed.
  boost::asio::awaitable<bool> sendBytes(std::string bytes);
  boost::asio::awaitable<void> sleep(std::chrono::milliseconds duration);
  /// Closes the connection with a TCP reset, without the rest of the response.
  void resetConnection();
  /// Ends the connection after all bytes sent.
  void closeConnection();
  /// True after a failed write, `closeConnection` or `resetConnection`.
  bool isClosed() const { return Closed; }
  boost::beast::tcp_stream &stream() { return Stream; }

private:
  boost::beast::tcp_stream &Stream;
  std::map<std::string, std::string> ResponseFields;
  bool Closed = false;
};

using ServerHandler =
    std::function<boost::asio::awaitable<void>(ServerExchange &)>;

/// Listens on `address` ("IP:port") and serves requests while `context` runs.
/// Exits the process with status 2 when `address` is malformed and with status
/// 1 when it cannot be bound.
void serveHttp(boost::asio::io_context &context, const std::string &address,
               ServerHandler handler);

} // namespace nutmegsill::standin
