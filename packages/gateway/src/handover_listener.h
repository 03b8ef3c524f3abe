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

  /// Calls `onConnection` with each connection that `mayTakeOver` allows and
  /// closes the others at once.
  HandoverListener(boost::asio::io_context &io,
                   boost::asio::ip::tcp::endpoint endpoint,
                   std::function<bool(Time)> mayTakeOver,
                   std::function<void(Socket)> onConnection);

  /// Opens the socket; returns why it failed, or nothing.
  std::optional<std::string> start();
  void stop();

private:
  boost::asio::awaitable<void> accept();
  void take(Socket socket, Time now);

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Endpoint;
  std::function<bool(Time)> MayTakeOver;
  std::function<void(Socket)> OnConnection;
  boost::asio::ip::tcp::acceptor Acceptor;
};

} // namespace nutmegsill::gateway
