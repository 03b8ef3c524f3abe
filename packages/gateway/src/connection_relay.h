/// Relays callers' connections to larger hosts without parsing them.
#pragma once

#include "metrics.h"
#include "nutmegsill/routing/handover.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace nutmegsill::gateway {

/// With these bytes a host takes a connection over. They name the revision of
/// the configuration that it serves the connection by: to callers both hosts
/// are one, whose configuration must not go back. Nothing of the caller is sent
/// before them, so that a host that refuses has run nothing.
using TakeOverBytes = std::array<char, 8>;
TakeOverBytes encodeTakeOver(ConfigRevision revision);
ConfigRevision decodeTakeOver(const TakeOverBytes &bytes);

/// The connections that this host relays. Their sockets are in an epoll set of
/// their own, since the event loop's needs more system calls for each of them.
/// For the traffic thread only.
class ConnectionRelays {
public:
  using Socket = boost::asio::ip::tcp::socket;
  using ServeHandler = std::function<void(Socket)>;

  /// Calls `serveHere` with a connection that a peer refused.
  ConnectionRelays(boost::asio::io_context &io, routing::Handover &handover,
                   Metrics &metrics, std::size_t maxRelays,
                   ServeHandler serveHere);
  ~ConnectionRelays();

  /// Whether new connections are relayed at present.
  bool isRelaying(Time now);
  /// Hands a connection over if this host should, and then owns the descriptor,
  /// which does not block.
  bool take(int caller, Time now);
  /// Time after which a connection is ended whose caller takes no bytes.
  void setStallTimeout(Duration timeout) { StallTimeout = timeout; }
  /// Sets the revision of this host's configuration. Connections that peers
  /// serve by an earlier one take no further request.
  void setRevision(ConfigRevision revision);
  /// Tells the peers that no further request follows.
  void endSending();
  /// Answers requests for which no peer has begun to respond with 504.
  void endRequests();
  /// Resets all connections.
  void reset();
  std::size_t size() const { return Relays.size(); }

private:
  class Relay;

  void awaitEvents();
  void handleEvents();
  void runTick();
  void flushCounters();

  boost::asio::io_context &Io;
  routing::Handover &Handover;
  Metrics &Counters;
  const std::size_t MaxRelays;
  ServeHandler ServeHere;
  boost::asio::steady_timer Tick;
  bool Ticking = false;
  /// Time of the last tick or connection: reading the clock costs a system call
  /// on some hosts.
  Time Now{};
  Duration StallTimeout;
  ConfigRevision Revision;
  boost::asio::posix::stream_descriptor Events;
  std::set<std::shared_ptr<Relay>> Relays;
  /// Relays that have ended, until the events that may name them are handled.
  std::vector<std::shared_ptr<Relay>> Ended;
  std::size_t NewRelays = 0;
  std::size_t NewBytes = 0;
  Time NextFlushAt{};
};

} // namespace nutmegsill::gateway
