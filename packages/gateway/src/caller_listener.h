/// The listening socket for callers.
#pragma once

#include "nutmegsill/routing/connection_admission.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string>

namespace nutmegsill::gateway {

/// Accepts as many connections as `ConnectionAdmission` allows. Where it
/// refuses more, the socket is closed until the next probe, so that the system
/// resets new connections at no cost for the router. Not thread-safe.
class CallerListener {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using ConnectionHandler = std::function<void(Socket)>;

  /// Calls `onConnection` with each accepted connection.
  CallerListener(boost::asio::io_context &io,
                 boost::asio::ip::tcp::endpoint endpoint,
                 ConnectionHandler onConnection);

  /// Offers the descriptor of each connection to `relay` first while
  /// `isRelaying`, and then takes as many as the lag of relaying allows.
  void setRelay(std::function<bool(Time)> isRelaying,
                std::function<bool(int, Time)> relay) {
    IsRelaying = std::move(isRelaying);
    Relay = std::move(relay);
  }
  /// Opens the socket; returns why it failed, or nothing.
  std::optional<std::string> start();
  /// Takes connections that are waiting, as admission allows, and closes the
  /// socket for good.
  void stop();
  /// Adapts the number of connections to the event loop's lag; call in regular
  /// intervals.
  void recordLag(Duration lag, Time now);
  /// Times that the socket was closed for lack of processor time since the last
  /// call.
  std::size_t takePauses();

private:
  boost::asio::awaitable<void> accept();
  /// Takes the connections that wait, as admission allows; returns the error of
  /// an accept that failed.
  boost::system::error_code acceptPending(Time now);
  /// Serves or relays an accepted connection.
  void take(int fd, Time now);
  /// Leaves connections waiting until the next probe, or refuses them.
  void holdBack(Time now);
  /// The bound of connections that are served, or of those that are relayed.
  routing::ConnectionAdmission &admission(Time now);
  boost::system::error_code listen();

  boost::asio::io_context &Io;
  boost::asio::ip::tcp::endpoint Endpoint;
  ConnectionHandler OnConnection;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::function<bool(Time)> IsRelaying;
  std::function<bool(int, Time)> Relay;
  routing::ConnectionAdmission Admission{{}};
  routing::ConnectionAdmission RelayAdmission;
  /// `accept` is running.
  bool Accepting = false;
  bool Stopped = false;
  std::size_t Pauses = 0;
};

} // namespace nutmegsill::gateway
