/// Traffic thread of the gateway: serves callers' connections and dispatches
/// their requests to targets.
#pragma once

#include "buffer_budget.h"
#include "caller_connections.h"
#include "caller_listener.h"
#include "caller_refusals.h"
#include "connection_relay.h"
#include "control_server.h"
#include "handover_listener.h"
#include "metrics.h"
#include "nutmegsill/platform/headers.h"
#include "nutmegsill/routing/caller_budget.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/handover.h"
#include "nutmegsill/routing/hedging.h"
#include "nutmegsill/routing/host_overload.h"
#include "nutmegsill/routing/stop_schedule.h"
#include "origin_inquiries.h"
#include "place_waiters.h"
#include "settings.h"
#include "shared_state.h"
#include "target_connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
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
  routing::CallerBudget CallerMemory;
  CallerRefusals Refusals;
  routing::HostOverload Overload;
  routing::Handover Handover;
  routing::RouteDurations Durations;
  std::size_t RequestsInFlight = 0;
  std::shared_ptr<const routing::FleetView> View;
  PlaceWaiters Waiters = {};
  OriginInquiries Inquiries = {};
  routing::Hedging Hedges = routing::Hedging(Settings.Hedging);

  /// Lets the most urgent request that waits for a place in the pool look for
  /// one.
  void wakeWaiting(const PoolId &pool);
  /// Records what a response states of its target. Of a late response to an
  /// earlier request only that the target leaves is still true.
  void recordResponseHead(const routing::Assignment &assignment,
                          const platform::ResponseHead &head, bool isLate);
  /// Adopts the newest view and returns it; null before the first.
  const std::shared_ptr<const routing::FleetView> &refreshView(Time now);
  /// Set once the process has been asked to stop.
  std::optional<routing::StopSchedule> stopSchedule() const;
};

class TrafficServer {
public:
  /// Binds the address for callers and starts the thread; returns null and sets
  /// `reason` on failure.
  static std::unique_ptr<TrafficServer>
  start(const GatewaySettings &settings, SharedState &shared, Metrics &metrics,
        ControlServer &control, std::string &reason);
  ~TrafficServer();

  /// Ends all work by the times of `schedule` and calls `onStopped` on the
  /// traffic thread. Callable from any thread.
  void stop(const routing::StopSchedule &schedule,
            std::function<void()> onStopped);

private:
  TrafficServer(const GatewaySettings &settings, SharedState &shared,
                Metrics &metrics, ControlServer &control);
  boost::asio::awaitable<void> reportLoad();
  /// Exchanges questions and answers about streams with other routers.
  void connectInquiries();
  void receive(const HostId &peer, const routing::OriginQuestion &question);
  void receive(const HostId &peer, const routing::OriginAnswer &answer) {
    Context.Inquiries.receive(peer, answer);
  }
  /// Opens the address for hand-over, if it is set; returns why it failed.
  std::optional<std::string> startHandover();
  /// Tells the relays of a change of the configuration.
  void setRelayRevision(Time now);
  void recordLag(Duration lag, Time now);
  /// Hands on what was decided on roll-outs.
  void publishRollouts();
  boost::asio::awaitable<void> runStop(routing::StopSchedule schedule,
                                       std::function<void()> onStopped);

  /// Declared first, to outlive all sockets, also those in `Context`.
  boost::asio::io_context Io{1};
  SessionContext Context;
  ControlServer &Control;
  ConnectionRelays Relays;
  CallerListener Listener;
  /// Set if this host takes connections over.
  std::optional<HandoverListener> TakenOver;
  /// Times that `Listener` refused connections since the last log line.
  std::size_t ListeningPauses = 0;
  Time NextOverloadLogAt{};
  Time NextTargetCheckAt{};
  /// As last handed on.
  std::vector<routing::RolloutDecision> RolloutDecisions;
  std::thread Thread;
};

} // namespace nutmegsill::gateway
