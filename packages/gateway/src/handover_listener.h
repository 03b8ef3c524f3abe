/// The listening socket for connections that smaller hosts hand over.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>

namespace nutmegsill::gateway {

/// Not thread-safe.
class HandoverListener {
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// `takeOver` returns the revision of the configuration by which a connection
  /// is served, or nothing: it is closed at once then. Calls `onConnection`
  /// with the others.
  HandoverListener(boost::asio::io_context &io,
                   boost::asio::ip::tcp::endpoint endpoint,
                   std::function<std::optional<ConfigRevision>(Time)> takeOver,
                   std::function<void(Socket, ConfigRevision)> onConnection);

  /// Opens the socket; returns why it failed, or nothing.
  std::optional<std::string> start();
  void stop();

private:
  boost::asio::awaitable<void> accept();
  void take(Socket socket, Time now);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Endpoint;
  std::function<std::optional<ConfigRevision>(Time)> TakeOver;
  std::function<void(Socket, ConfigRevision)> OnConnection;
  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace nutmegsill::gateway
