#include "target_connection_pool.h"

#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace nutmegsill::gateway {

namespace {

/// Time without an acknowledgement after which a connection is closed; one lost
/// segment is retransmitted within about a second.
constexpr int TcpUserTimeoutMs = 3'000;
/// Keep-alive probes detect a silent peer within about three seconds.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setOption(int fd, int level, int name, int value) {
  // Errors are ignored: without the option a silent peer is only detected
  // later.
  (void)::setsockopt(fd, level, name, &value, sizeof(value));
}

} // namespace

SocketState peekSocket(boost::asio::ip::tcp::socket &socket, bool tellsEnd) {
  return peekSocket(socket.native_handle(), tellsEnd);
}

SocketState peekSocket(int fd, bool tellsEnd) {
  char byte = 0;
  const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0) {
    return SocketState::HasData;
  }
  if (n == 0 && tellsEnd) {
    return SocketState::SendingEnded;
  }
  const bool waiting = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return waiting ? SocketState::Open : SocketState::Closed;
}

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket) {
  int bytes = 0;
  const bool known = ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket) {
  enableDeadPeerDetection(socket.native_handle());
}

void enableDeadPeerDetection(int fd) {
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

std::optional<TargetConnectionPool::IdleConnection>
TargetConnectionPool::take(const Endpoint &target, Time now) {
  const auto it = IdleConnections.find(target);
  if (it == IdleConnections.end()) {
    return std::nullopt;
  }
  std::vector<IdleConnection> &idle = it->second;
  while (!idle.empty()) {
    IdleConnection last = std::move(idle.back());
    idle.pop_back();
    if (last.ExpiresAt > now &&
        peekSocket(last.Connection) == SocketState::Open) {
      return last;
    }
  }
  return std::nullopt;
}

void TargetConnectionPool::put(const Endpoint &target, Socket socket, Time now,
                               Time expiresAt, std::size_t maxIdle) {
  std::vector<IdleConnection> &idle = IdleConnections[target];
  if (idle.size() < maxIdle) {
    idle.push_back(IdleConnection{std::move(socket), now, expiresAt});
  }
}

void TargetConnectionPool::closeExpired(Time now) {
  for (auto it = IdleConnections.begin(); it != IdleConnections.end();) {
    std::erase_if(it->second, [now](const IdleConnection &idle) {
      return idle.ExpiresAt <= now;
    });
    it = it->second.empty() ? IdleConnections.erase(it) : std::next(it);
  }
}

} // namespace nutmegsill::gateway
