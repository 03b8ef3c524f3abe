/// Pool of idle connections to targets.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::gateway {

/// State of a connection on which no data is expected.
enum class SocketState { Open, Closed, HasData, SendingEnded };

/// Returns the state of a connection without consuming data. With `tellsEnd` a
/// peer that only ended its sending side is `SendingEnded`, not `Closed`.
SocketState peekSocket(boost::asio::ip::tcp::socket &socket,
                       bool tellsEnd = false);
SocketState peekSocket(int fd, bool tellsEnd = false);

/// Bytes that were sent and that the peer has not acknowledged.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

/// Sets socket options that detect a silent peer, and disables Nagle's
/// algorithm.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket);
/// The same for a listening socket's descriptor: accepted connections inherit
/// the options.
void enableDeadPeerDetection(int fd);

/// Not thread-safe.
class TargetConnectionPool {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Socket = boost::asio::ip::tcp::socket;

  struct IdleConnection {
    Socket Connection;
    Time IdleSince{};
    Time ExpiresAt{};
  };

  /// Returns an idle connection that is open and on which no data has arrived
  /// since its last response, or `std::nullopt`.
  std::optional<IdleConnection> take(const Endpoint &target, Time now);
  /// Keeps a connection from `now` until `expiresAt`; closes it at once when
  /// `maxIdle` connections to `target` are kept already.
  void put(const Endpoint &target, Socket socket, Time now, Time expiresAt,
           std::size_t maxIdle);
  /// Closes connections that have expired.
  void closeExpired(Time now);

private:
  std::map<Endpoint, std::vector<IdleConnection>> IdleConnections;
};

} // namespace nutmegsill::gateway
