/// The traffic thread: callers' connections and the choice of targets.
#pragma once

#include "caller_connections.h"
#include "control.h"
#include "metrics.h"
#include "nutmegsill/routing/dispatcher.h"
#include "settings.h"
#include "shared_state.h"
#include "upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <thread>

namespace nutmegsill::gateway {

/// What all sessions share; for the traffic thread only.
struct Traffic {
  const GatewaySettings &Own;
  SharedState &Shared;
  Metrics &Counters;
  routing::Dispatcher Decisions;
  UpstreamPool Targets;
  CallerConnections Callers;
  /// Requests that are being served.
  std::size_t Active = 0;
  /// Set when new requests are refused before the process ends.
  bool Closing = false;
  std::shared_ptr<const routing::FleetView> View;

  /// The newest view; nothing before the first.
  const std::shared_ptr<const routing::FleetView> &refresh(Time now);
};

class Front {
public:
  /// Binds the address for callers and starts the thread; nothing and a
  /// reason on failure.
  static std::unique_ptr<Front> start(const GatewaySettings &settings,
                                      SharedState &shared, Metrics &metrics,
                                      Control &control, std::string &reason);
  ~Front();

  /// Refuses new requests from now on; callable from any thread.
  void close();
  /// Calls `done` on the traffic thread when no request is open, or when
  /// `limit` has passed.
  void whenIdle(Duration limit, std::function<void()> done);

private:
  Front(const GatewaySettings &settings, SharedState &shared, Metrics &metrics,
        Control &control);
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> report();
  boost::asio::awaitable<void> waitIdle(Duration limit,
                                        std::function<void()> done);

  /// Outlives all sockets, also those that `Parts` keeps.
  boost::asio::io_context Io{1};
  Traffic Parts;
  Control &Peers;
  boost::asio::ip::tcp::acceptor Port{Io};
  std::thread Thread;
};

} // namespace nutmegsill::gateway
