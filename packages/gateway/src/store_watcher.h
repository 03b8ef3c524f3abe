/// Keeps this router's picture of the fleet equal to the platform's store.
#pragma once

#include "clock.h"
#include "metrics.h"
#include "nutmegsill/platform/store_client.h"
#include "nutmegsill/routing/fleet_state.h"
#include "shared_state.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace nutmegsill::gateway {

/// Waits on the control thread.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io,
                                      Duration duration);

/// Follows the store on the control thread.
class StoreWatcher {
public:
  /// Called with every new picture.
  using ViewHandler =
      std::function<void(std::shared_ptr<const routing::FleetView>)>;

  /// Nothing and a reason when the built-in state chart is malformed.
  static std::unique_ptr<StoreWatcher>
  create(boost::asio::io_context &io, const HostId &self, Endpoint store,
         Metrics &metrics, SharedState &shared, std::string &reason);

  void start(ViewHandler onChange);
  /// Calls of other parts, which share the connection.
  platform::StoreClient &store() { return Store; }
  /// Counts and logs a call, and notes whether the store answers.
  template <class Result>
  void recordCall(const char *call, const Result &result);
  /// Waits while the watcher finds the store away, so that other parts do
  /// not call in vain.
  boost::asio::awaitable<void> waitUntilReachable();
  /// The configuration and the targets are known.
  bool isComplete() const { return State.isComplete(); }

private:
  StoreWatcher(boost::asio::io_context &io, const HostId &self, Endpoint store,
               Metrics &metrics, SharedState &shared, routing::StoreLink link);
  boost::asio::awaitable<void> runWatchLoop();
  boost::asio::awaitable<void> listItems();
  boost::asio::awaitable<void> watchChanges(routing::WatchCall call);
  boost::asio::awaitable<void> runCheckLoop();
  boost::asio::awaitable<void> checkForMissedChanges();
  boost::asio::awaitable<void> runExpiryLoop();
  void recordOutcome(const char *call,
                     const std::optional<platform::StoreFailure> &failure,
                     const std::string &reason);
  void publishView();
  Duration watchDelay() const;

  boost::asio::io_context &Io;
  Metrics &Counters;
  SharedState &Shared;
  platform::StoreClient Store;
  routing::StoreLink Link;
  routing::FleetState State;
  std::shared_ptr<const routing::FleetView> View;
  ViewHandler OnViewChanged;
};

template <class Result>
void StoreWatcher::recordCall(const char *call, const Result &result) {
  recordOutcome(call, result.Ok ? std::nullopt : std::optional(result.Failure),
                result.Reason);
}

} // namespace nutmegsill::gateway
