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

asio::awaitable<void> ServerExchange::answer(unsigned status, std::string type,
                                             std::string body) {
  boost::system::error_code ec;
  http::response<http::string_body> response;
  response.version(11);
  response.result(status);
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  response.prepare_payload();
  co_await http::async_write(Stream, response,
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
}

asio::awaitable<void> ServerExchange::json(std::string body) {
  co_await answer(200, "application/json", std::move(body));
}

asio::awaitable<bool> ServerExchange::chunk(std::string part) {
  boost::system::error_code ec;
  co_await asio::async_write(Stream, http::make_chunk(asio::buffer(part)),
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
  co_return !Closed;
}

asio::awaitable<void> ServerExchange::finish() {
  boost::system::error_code ec;
  co_await asio::async_write(Stream, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
}

asio::awaitable<bool> ServerExchange::raw(std::string bytes) {
  boost::system::error_code ec;
  co_await asio::async_write(Stream, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, ec));
  Closed = Closed || ec;
  co_return !Closed;
}

asio::awaitable<void> ServerExchange::sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(Stream.get_executor(), time);
  co_await timer.async_wait(asio::use_awaitable);
}

void ServerExchange::reset() {
  boost::system::error_code ec;
  Stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
  Stream.close();
  Closed = true;
}

namespace {

asio::awaitable<void> serveOne(tcp::socket socket,
                               std::shared_ptr<ServerHandler> handler) {
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buf;
  bool open = true;
  while (open) {
    ServerRequest request;
    co_await http::async_read(stream, buf, request,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    ServerExchange exchange(stream, std::move(request));
    co_await (*handler)(exchange);
    open = !exchange.closed() && exchange.Request.keep_alive();
  }
}

asio::awaitable<void> acceptAll(std::shared_ptr<tcp::acceptor> acceptor,
                                std::shared_ptr<ServerHandler> handler) {
  for (;;) {
    tcp::socket socket = co_await acceptor->async_accept(asio::use_awaitable);
    asio::co_spawn(acceptor->get_executor(),
                   serveOne(std::move(socket), handler), asio::detached);
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
        acceptAll(std::make_shared<tcp::acceptor>(context, *endpoint),
                  std::make_shared<ServerHandler>(std::move(handler))),
        asio::detached);
  } catch (const std::exception &error) {
    std::cerr << address << ": " << error.what() << "\n";
    std::exit(1);
  }
}

} // namespace nutmegsill::standin
