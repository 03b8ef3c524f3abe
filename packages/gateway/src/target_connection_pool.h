/// Connections to targets.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::gateway {

/// State of a connection on which nothing is expected.
enum class SocketState { Open, Closed, HasData };

/// Looks at a connection without reading from it.
SocketState peekSocket(boost::asio::ip::tcp::socket &socket);

/// Sets the options of a connection that must not hang unnoticed.
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket);

/// Idle connections to targets; for one thread.
class TargetConnectionPool {
public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Socket = boost::asio::ip::tcp::socket;

  /// A kept connection on which nothing has arrived since its last answer.
  std::optional<Socket> take(const Endpoint &target, Time now);
  /// Keeps at most `maxIdle` connections to `target`.
  void put(const Endpoint &target, Socket socket, Time expiresAt,
           std::size_t maxIdle);
  /// Closes connections whose time has passed.
  void closeExpired(Time now);

private:
  struct IdleConnection {
    Socket Connection;
    Time ExpiresAt{};
  };
  std::map<Endpoint, std::vector<IdleConnection>> IdleConnections;
};

} // namespace nutmegsill::gateway
