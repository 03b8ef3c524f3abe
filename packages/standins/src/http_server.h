/// A small HTTP/1.1 server for the stand-ins.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>

namespace nutmegsill::standin {

using ServerRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// One exchange; the handler answers by one of its functions.
class ServerExchange {
public:
  ServerExchange(boost::beast::tcp_stream &stream, ServerRequest request)
      : Request(std::move(request)), Stream(stream) {}

  const ServerRequest Request;

  boost::asio::awaitable<void> respond(unsigned status, std::string contentType,
                                       std::string body);
  boost::asio::awaitable<void> respondJson(std::string body);
  /// A part of a chunked answer.
  boost::asio::awaitable<bool> writeChunk(std::string data);
  boost::asio::awaitable<void> finishChunked();
  /// Sends bytes as they are.
  boost::asio::awaitable<bool> sendBytes(std::string bytes);
  boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
  /// Closes the connection at once, without the rest of the answer.
  void resetConnection();
  bool isClosed() const { return Closed; }
  boost::beast::tcp_stream &stream() { return Stream; }

private:
  boost::beast::tcp_stream &Stream;
  bool Closed = false;
};

using ServerHandler =
    std::function<boost::asio::awaitable<void>(ServerExchange &)>;

/// Serves `address` ("IP:port") on `context` until the process ends. Exits
/// with an error when the address cannot be bound.
void serveHttp(boost::asio::io_context &context, const std::string &address,
               ServerHandler handler);

} // namespace nutmegsill::standin
