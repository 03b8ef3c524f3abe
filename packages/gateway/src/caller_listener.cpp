#include "caller_listener.h"

#include "clock.h"
#include "json_server.h"
#include "log.h"
#include "spawn.h"
#include "target_connection_pool.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Delay after a failed accept, for example when no file descriptor is free.
constexpr milliseconds AcceptRetryDelay{50};
/// Connections accepted at once: callers that wait in the listen queue while
/// one at a time is accepted have left when their turn comes.
constexpr int MaxAcceptsAtOnce = 64;

/// While connections are relayed, more lag is usual: a small host pauses when
/// its quota for a tenth of a second is used up. Relaying costs a fraction of
/// serving, so that the limit rises faster.
constexpr routing::ConnectionAdmissionPolicy RelayPolicy{
    .CalmLag = milliseconds(60),
    .MaxLag = milliseconds(120),
    .LimitIncrease = 4,
    .SevereLag = milliseconds(250)};

} // namespace

CallerListener::CallerListener(asio::io_context &io, tcp::endpoint endpoint,
                               ConnectionHandler onConnection)
    : Io(io), Endpoint(std::move(endpoint)),
      OnConnection(std::move(onConnection)), Acceptor(io),
      RelayAdmission(RelayPolicy) {}

boost::system::error_code CallerListener::listen() {
  boost::system::error_code ec;
  Acceptor = listenAt(Io, Endpoint, ec);
  if (!ec) {
    Acceptor.non_blocking(true, ec);
  }
  return ec;
}

std::optional<std::string> CallerListener::start() {
  const boost::system::error_code ec = listen();
  if (ec) {
    return ec.message();
  }
  Accepting = true;
  spawn(Io, accept());
  return std::nullopt;
}

void CallerListener::stop() {
  Stopped = true;
  if (Acceptor.is_open()) {
    acceptPending(bootTimeNow());
  }
  boost::system::error_code ec;
  Acceptor.close(ec);
}

std::size_t CallerListener::takePauses() { return std::exchange(Pauses, 0); }

void CallerListener::take(int fd, Time now) {
  admission(now).recordAdmission(now);
  // A caller that has left costs no more than this.
  if (peekSocket(fd) == SocketState::Closed) {
    ::close(fd);
    return;
  }
  if (Relay && Relay(fd, now)) {
    return;
  }
  boost::system::error_code ec;
  Socket socket(Io);
  socket.assign(Endpoint.protocol(), fd, ec);
  if (ec) {
    ::close(fd);
  } else {
    OnConnection(std::move(socket));
  }
}

routing::ConnectionAdmission &CallerListener::admission(Time now) {
  return IsRelaying && IsRelaying(now) ? RelayAdmission : Admission;
}

boost::system::error_code CallerListener::acceptPending(Time now) {
  for (int i = 0; i < MaxAcceptsAtOnce && admission(now).mayAdmit(now); ++i) {
    // The event loop's own accept costs a relayed connection four more system
    // calls.
    const int fd = ::accept4(Acceptor.native_handle(), nullptr, nullptr,
                             SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      take(fd, now);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      break;
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return {errno, boost::system::system_category()};
    }
  }
  return {};
}

asio::awaitable<void> CallerListener::accept() {
  for (;;) {
    boost::system::error_code ec;
    co_await Acceptor.async_wait(tcp::acceptor::wait_read,
                                 asio::redirect_error(asio::use_awaitable, ec));
    const Time now = bootTimeNow();
    if (!Acceptor.is_open()) {
      break;
    }
    if (!ec) {
      ec = acceptPending(now);
    }
    if (ec) {
      logLine("callers", "accept_failed", {{"reason", ec.message()}});
      asio::steady_timer timer(Io, AcceptRetryDelay);
      co_await timer.async_wait(asio::use_awaitable);
      if (!Acceptor.is_open()) {
        break;
      }
      continue;
    }
    if (!admission(now).mayAdmit(now)) {
      break;
    }
  }
  Accepting = false;
  holdBack(bootTimeNow());
}

void CallerListener::holdBack(Time now) {
  routing::ConnectionAdmission &bound = admission(now);
  bound.recordExhaustion();
  if (Acceptor.is_open() && bound.refuses()) {
    ++Pauses;
    boost::system::error_code ec;
    Acceptor.close(ec);
  }
}

void CallerListener::recordLag(Duration lag, Time now) {
  admission(now).recordLag(lag);
  if (Accepting || Stopped) {
    return;
  }
  if (!admission(now).mayAdmit(now)) {
    holdBack(now);
    return;
  }
  if (!Acceptor.is_open()) {
    const boost::system::error_code ec = listen();
    if (ec) {
      logLine("callers", "listen_failed", {{"reason", ec.message()}});
      return;
    }
  }
  Accepting = true;
  spawn(Io, accept());
}

} // namespace nutmegsill::gateway
