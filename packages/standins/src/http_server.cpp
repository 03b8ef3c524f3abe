#include "http_server.h"

#include "nutmegsill/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

asio::awaitable<void> ServerExchange::respond(unsigned status,
                                              std::string contentType,
                                              std::string body) {
  boost::system::error_code ec;
  http::response<http::string_body> response;
  response.version(11);
  response.result(status);
  response.set(http::field::content_type, contentType);
  for (const auto &[name, value] : ResponseFields) {
    response.set(name, value);
  }
  response.body() = std::move(body);
  response.prepare_payload();
  co_await http::async_write(Stream, response,
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
}

asio::awaitable<void> ServerExchange::respondJson(std::string body) {
  co_await respond(200, "application/json", std::move(body));
}

asio::awaitable<bool> ServerExchange::writeChunk(std::string data) {
  boost::system::error_code ec;
  co_await asio::async_write(Stream, http::make_chunk(asio::buffer(data)),
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
  co_return !Closed;
}

asio::awaitable<void> ServerExchange::finishChunked() {
  boost::system::error_code ec;
  co_await asio::async_write(Stream, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
}

asio::awaitable<bool> ServerExchange::sendBytes(std::string bytes) {
  boost::system::error_code ec;
  co_await asio::async_write(Stream, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
  co_return !Closed;
}

asio::awaitable<void>
ServerExchange::sleep(std::chrono::milliseconds duration) {
  asio::steady_timer timer(Stream.get_executor(), duration);
  co_await timer.async_wait(asio::use_awaitable);
}

void ServerExchange::resetConnection() {
  boost::system::error_code ec;
  Stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
  Stream.close();
  Closed = true;
}

void ServerExchange::closeConnection() {
  boost::system::error_code ec;
  Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  Closed = true;
}

namespace {

/// More than a router forwards: heads of callers within their limit, whose
/// fields it writes with an additional space.
constexpr std::uint32_t MaxHeaderBytes = 64U << 10U;

asio::awaitable<void> serveConnection(tcp::socket socket,
                                      std::shared_ptr<ServerHandler> handler) {
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  std::string note;
  bool keepAlive = true;
  while (keepAlive) {
    http::request_parser<ServerRequest::body_type> parser;
    parser.header_limit(MaxHeaderBytes);
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    ServerExchange exchange(stream, parser.release(), note);
    co_await (*handler)(exchange);
    keepAlive = !exchange.isClosed() && exchange.Request.keep_alive();
  }
}

asio::awaitable<void>
acceptConnections(std::shared_ptr<tcp::acceptor> acceptor,
                  std::shared_ptr<ServerHandler> handler) {
  for (;;) {
    tcp::socket socket = co_await acceptor->async_accept(asio::use_awaitable);
    asio::co_spawn(acceptor->get_executor(),
                   serveConnection(std::move(socket), handler), asio::detached);
  }
}

} // namespace

void serveHttp(asio::io_context &context, const std::string &address,
               ServerHandler handler) {
  const std::optional<Endpoint> endpoint = parseEndpoint(address);
  if (!endpoint) {
    std::cerr << address << ": expected \"IP:port\"\n";
    std::exit(2);
  }
  try {
    asio::co_spawn(
        context,
        acceptConnections(std::make_shared<tcp::acceptor>(context, *endpoint),
                          std::make_shared<ServerHandler>(std::move(handler))),
        asio::detached);
  } catch (const std::exception &error) {
    std::cerr << address << ": cannot listen: " << error.what() << "\n";
    std::exit(1);
  }
}

} // namespace nutmegsill::standin
