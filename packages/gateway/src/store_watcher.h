/// Keeps this router's view of the fleet in sync with the platform's store,
/// directly or by way of the routers of its group that read the store.
#pragma once

#include "clock.h"
#include "metrics.h"
#include "nutmegsill/platform/store_client.h"
#include "nutmegsill/routing/fleet_state.h"
#include "nutmegsill/routing/store_sharing.h"
#include "peer_codec.h"
#include "shared_state.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>

namespace nutmegsill::gateway {

/// Suspends the calling coroutine for `duration`.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &io,
                                      Duration duration);

/// Called on the control thread.
struct StoreWatcherHandlers {
  /// Takes every new view of the fleet.
  std::function<void(std::shared_ptr<const routing::FleetView>)> OnView;
  std::function<void(const PeerMessage &)> SendToGroup;
  std::function<void(const HostId &, const PeerMessage &)> SendToPeer;
};

/// Watches the store on the control thread.
class StoreWatcher {
public:
  /// Returns null and sets `reason` when the built-in state chart is malformed.
  static std::unique_ptr<StoreWatcher>
  create(boost::asio::io_context &io, const Instance &self, Endpoint store,
         Metrics &metrics, SharedState &shared, std::string &reason);

  void start(StoreWatcherHandlers handlers);
  /// Sets the routers that share the reading of the store with this one.
  void setGroup(const std::vector<HostId> &peers) { Sharing.setGroup(peers); }
  void receive(const Instance &from, const routing::RelayedChanges &changes);
  void receive(const Instance &from, const routing::StoreProof &proof);
  void receive(const Instance &from, const ClockStamp &stamp);
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
  StoreWatcher(boost::asio::io_context &io, const Instance &self,
               Endpoint store, Metrics &metrics, SharedState &shared,
               routing::StoreLink link);
  boost::asio::awaitable<void> runWatchLoop();
  boost::asio::awaitable<void> listItems();
  boost::asio::awaitable<bool> watchChanges(routing::WatchCall call);
  boost::asio::awaitable<void> runCheckLoop();
  boost::asio::awaitable<void> checkForMissedChanges();
  boost::asio::awaitable<void> catchUp(routing::StoreRevision revision,
                                       Time knownAsOf);
  boost::asio::awaitable<void> runExpiryLoop();
  bool readsStore() const {
    return Sharing.readsStore(Link.currentAsOf(), bootTimeNow());
  }
  bool watchesStore() const {
    return Sharing.watchesStore(Link.currentAsOf(), bootTimeNow());
  }
  void applyItems(const std::vector<routing::StoredItem> &items);
  void relay(routing::RelayedChanges changes) const;
  void recordOutcome(const char *call,
                     const std::optional<platform::StoreFailure> &failure,
                     const std::string &reason);
  void publishView();
  Duration watchDelay() const;
  /// Delay after a failed call; `backoff` for the readers of the group.
  Duration failureDelay(Duration backoff);

  boost::asio::io_context &Io;
  Metrics &Counters;
  SharedState &Shared;
  platform::StoreClient Store;
  routing::StoreLink Link;
  routing::FleetState State;
  routing::StoreSharing Sharing;
  std::shared_ptr<const routing::FleetView> View;
  StoreWatcherHandlers Handlers;
  /// A call for changes that were proved but not relayed is in progress.
  bool CatchingUp = false;
  std::minstd_rand Random;
};

template <class Result>
void StoreWatcher::recordCall(const char *call, const Result &result) {
  recordOutcome(call, result.Ok ? std::nullopt : std::optional(result.Failure),
                result.Reason);
}

} // namespace nutmegsill::gateway
