#include "json_server.h"

#include "log.h"
#include "nutmegsill/transfer_coding.h"
#include "nutmegsill/whole_head.h"
#include "spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <list>
#include <memory>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Limit of a request's header and of its body; a query fits in a small header.
constexpr std::uint32_t MaxRequestBytes = 8192;
/// Limit of what is read ahead of the parser.
constexpr std::size_t MaxBufferBytes = 16U << 10U;
/// Callers query again after some seconds; a kept-alive connection serves the
/// next query too.
constexpr std::chrono::seconds KeepAliveTimeout{15};
/// Delay after a failed accept, for example when no file descriptor is free.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

/// The open connections; the one that was served least recently is the first.
using Connections = std::list<beast::tcp_stream *>;

/// Entry of one connection in the list, while it is there.
class ListedConnection {
public:
  ListedConnection(std::shared_ptr<Connections> list, beast::tcp_stream &stream)
      : List(std::move(list)), Stream(stream) {
    List->push_back(&Stream);
  }
  ~ListedConnection() { List->remove(&Stream); }
  ListedConnection(const ListedConnection &) = delete;
  ListedConnection &operator=(const ListedConnection &) = delete;

  void recordServed() {
    const auto it = std::find(List->begin(), List->end(), &Stream);
    if (it != List->end()) {
      List->splice(List->end(), *List, it);
    }
  }

private:
  std::shared_ptr<Connections> List;
  beast::tcp_stream &Stream;
};

asio::awaitable<void> serveConnection(beast::tcp_stream stream,
                                      std::shared_ptr<Connections> list,
                                      JsonHandler handler) {
  ListedConnection listed(std::move(list), stream);
  beast::flat_buffer buf(MaxBufferBytes);
  for (bool keepAlive = true; keepAlive;) {
    boost::system::error_code ec;
    http::request_parser<http::string_body> parser;
    parser.body_limit(MaxRequestBytes);
    stream.expires_after(KeepAliveTimeout);
    ec = co_await readRequestHead(stream, buf, parser, MaxRequestBytes);
    if (!ec && !parser.is_done()) {
      co_await http::async_read(stream, buf, parser,
                                asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec || hasUnknownTransferCoding(parser.get())) {
      co_return;
    }
    keepAlive = parser.get().keep_alive();
    const boost::beast::string_view requestTarget = parser.get().target();
    JsonResponse result =
        handler(std::string_view(requestTarget.data(), requestTarget.size()));
    http::response<http::string_body> response{
        http::int_to_status(result.Status), 11};
    response.set(http::field::content_type, "application/json");
    response.keep_alive(keepAlive);
    response.body() = std::move(result.Body);
    response.prepare_payload();
    if (parser.get().method() == http::verb::head) {
      http::response_serializer<http::string_body> header{response};
      co_await http::async_write_header(
          stream, header, asio::redirect_error(asio::use_awaitable, ec));
    } else {
      co_await http::async_write(stream, response,
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) {
      co_return;
    }
    listed.recordServed();
  }
}

} // namespace

tcp::acceptor listenAt(asio::io_context &io, const tcp::endpoint &endpoint,
                       boost::system::error_code &ec) {
  tcp::acceptor acceptor(io);
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  return acceptor;
}

asio::awaitable<void> serveJson(tcp::acceptor &acceptor, JsonHandler handler,
                                std::size_t maxConnections,
                                std::function<void()> onClosed) {
  const asio::any_io_executor executor = acceptor.get_executor();
  const auto open = std::make_shared<Connections>();
  while (acceptor.is_open()) {
    boost::system::error_code ec;
    tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      while (open->size() >= maxConnections) {
        open->front()->close();
        open->pop_front();
        onClosed();
      }
      spawn(executor, serveConnection(beast::tcp_stream(std::move(socket)),
                                      open, handler));
    } else if (acceptor.is_open()) {
      logLine("process", "accept_failed", {{"reason", ec.message()}});
      asio::steady_timer timer(executor, AcceptRetryDelay);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
}

} // namespace nutmegsill::gateway
