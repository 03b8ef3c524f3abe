/// Keeps this router's view of the fleet in sync with the platform's store.
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

/// Suspends the calling coroutine for `duration`.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io,
                                      Duration duration);

/// Watches the store on the control thread.
class StoreWatcher {
public:
  /// Called with every new view of the fleet.
  using ViewHandler =
      std::function<void(std::shared_ptr<const routing::FleetView>)>;

  /// Returns null and sets `reason` when the built-in state chart is malformed.
  static std::unique_ptr<StoreWatcher>
  create(boost::asio::io_context &io, const HostId &self, Endpoint store,
         Metrics &metrics, SharedState &shared, std::string &reason);

  void start(ViewHandler onChange);
  /// The store client, whose connections other components share.
  platform::StoreClient &store() { return Store; }
  /// Counts a call, logs its failure, and records whether the store responds.
  template <class Result>
  void recordCall(const char *call, const Result &result);
  /// Waits for a limited time while the watcher's calls fail, so that other
  /// components do not call an unavailable store.
  boost::asio::awaitable<void> waitUntilReachable();
  /// Whether the configuration and the targets are known.
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
