/// Traffic thread of the gateway: serves callers' connections and dispatches
/// their requests to targets.
#pragma once

#include "buffer_budget.h"
#include "caller_connections.h"
#include "caller_listener.h"
#include "control_server.h"
#include "metrics.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/host_overload.h"
#include "settings.h"
#include "shared_state.h"
#include "target_connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <thread>

namespace nutmegsill::gateway {

/// State that all sessions share; for the traffic thread only.
struct SessionContext {
  const GatewaySettings &Settings;
  SharedState &Shared;
  Metrics &Counters;
  routing::Dispatcher Dispatcher;
  TargetConnectionPool TargetConnections;
  BufferBudget ResponseBuffers;
  CallerConnections Callers;
  routing::HostOverload Overload;
  std::size_t RequestsInFlight = 0;
  /// Set when the process is about to stop.
  bool RejectsNewRequests = false;
  std::shared_ptr<const routing::FleetView> View;

  /// Adopts the newest view and returns it; null before the first.
  const std::shared_ptr<const routing::FleetView> &refreshView(Time now);
};

class TrafficServer {
public:
  /// Binds the address for callers and starts the thread; returns null and sets
  /// `reason` on failure.
  static std::unique_ptr<TrafficServer>
  start(const GatewaySettings &settings, SharedState &shared, Metrics &metrics,
        ControlServer &control, std::string &reason);
  ~TrafficServer();

  /// Callable from any thread.
  void rejectNewRequests();
  /// Stops accepting connections and calls `onIdle` on the traffic thread when
  /// no request is in flight or `maxWait` has passed. Callable from any thread.
  void callWhenIdle(Duration maxWait, std::function<void()> onIdle);

private:
  TrafficServer(const GatewaySettings &settings, SharedState &shared,
                Metrics &metrics, ControlServer &control);
  boost::asio::awaitable<void> reportLoad();
  void recordLag(Duration lag, Time now);
  boost::asio::awaitable<void> waitUntilIdle(Duration maxWait,
                                             std::function<void()> onIdle);

  /// Declared first, to outlive all sockets, also those in `Context`.
  boost::asio::io_context Io{1};
  SessionContext Context;
  ControlServer &Control;
  CallerListener Listener;
  /// Times that `Listener` refused connections since the last log line.
  std::size_t ListeningPauses = 0;
  Time NextOverloadLogAt{};
  std::thread Thread;
};

} // namespace nutmegsill::gateway
