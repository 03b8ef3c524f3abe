#include "handover_listener.h"

#include "clock.h"
#include "connection_relay.h"
#include "json_server.h"
#include "log.h"
#include "spawn.h"
#include "target_connection_pool.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/socket.h>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr milliseconds AcceptRetryDelay{50};
constexpr int MaxAcceptsAtOnce = 64;

} // namespace

HandoverListener::HandoverListener(
    asio::io_context &io, tcp::endpoint endpoint,
    std::function<std::optional<ConfigRevision>(Time)> takeOver,
    std::function<void(Socket, ConfigRevision)> onConnection)
    : Io(io), Endpoint(std::move(endpoint)), TakeOver(std::move(takeOver)),
      OnConnection(std::move(onConnection)), Acceptor(io) {}

std::optional<std::string> HandoverListener::start() {
  boost::system::error_code ec;
  Acceptor = listenAt(Io, Endpoint, ec);
  if (!ec) {
    Acceptor.non_blocking(true, ec);
  }
  if (ec) {
    return ec.message();
  }
  // Accepted connections inherit these options.
  enableDeadPeerDetection(Acceptor.native_handle());
  spawn(Io, accept());
  return std::nullopt;
}

void HandoverListener::stop() {
  boost::system::error_code ec;
  Acceptor.close(ec);
}

void HandoverListener::take(Socket socket, Time now) {
  const std::optional<ConfigRevision> revision = TakeOver(now);
  if (!revision) {
    return;
  }
  const TakeOverBytes bytes = encodeTakeOver(*revision);
  const ssize_t sent = ::send(socket.native_handle(), bytes.data(),
                              bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent == static_cast<ssize_t>(bytes.size())) {
    OnConnection(std::move(socket), *revision);
  }
}

asio::awaitable<void> HandoverListener::accept() {
  while (Acceptor.is_open()) {
    boost::system::error_code ec;
    Socket first = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!Acceptor.is_open()) {
      break;
    }
    if (ec) {
      logLine("callers", "accept_failed", {{"reason", ec.message()}});
      asio::steady_timer timer(Io, AcceptRetryDelay);
      co_await timer.async_wait(asio::use_awaitable);
      continue;
    }
    const Time now = bootTimeNow();
    take(std::move(first), now);
    for (int i = 1; i < MaxAcceptsAtOnce; ++i) {
      Socket next(Io);
      Acceptor.accept(next, ec);
      if (ec) {
        break;
      }
      take(std::move(next), now);
    }
  }
}

} // namespace nutmegsill::gateway
