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
boost::asio::awaitable<void> pauseFor(boost::asio::io_context &io,
                                      Duration span);

/// Follows the store on the control thread.
class StoreFollower {
public:
  /// Called with every new picture.
  using ViewChanged =
      std::function<void(std::shared_ptr<const routing::FleetView>)>;

  /// Nothing and a reason when the built-in state chart is malformed.
  static std::unique_ptr<StoreFollower>
  create(boost::asio::io_context &io, const HostId &self, Endpoint store,
         Metrics &metrics, SharedState &shared, std::string &reason);

  void start(ViewChanged changed);
  /// Calls of other parts, which share the connection.
  platform::StoreClient &store() { return Store; }
  /// Counts and logs a call, and notes whether the store answers.
  template <class Result> void noteCall(const char *call, const Result &result);
  /// Waits while the follower finds the store away, so that other parts do
  /// not call in vain.
  boost::asio::awaitable<void> untilReachable();
  /// The configuration and the targets are known.
  bool complete() const { return State.isComplete(); }

private:
  StoreFollower(boost::asio::io_context &io, const HostId &self, Endpoint store,
                Metrics &metrics, SharedState &shared, routing::StoreLink link);
  boost::asio::awaitable<void> follow();
  boost::asio::awaitable<void> list();
  boost::asio::awaitable<void> watch(routing::WatchCall call);
  boost::asio::awaitable<void> check();
  boost::asio::awaitable<void> checkOnce();
  boost::asio::awaitable<void> expire();
  void noteOutcome(const char *call,
                   const std::optional<platform::StoreFailure> &failure,
                   const std::string &reason);
  void publish();
  Duration watchPause() const;

  boost::asio::io_context &Io;
  Metrics &Counters;
  SharedState &Shared;
  platform::StoreClient Store;
  routing::StoreLink Link;
  routing::FleetState State;
  std::shared_ptr<const routing::FleetView> View;
  ViewChanged OnChange;
};

template <class Result>
void StoreFollower::noteCall(const char *call, const Result &result) {
  noteOutcome(call, result.Ok ? std::nullopt : std::optional(result.Failure),
              result.Reason);
}

} // namespace nutmegsill::gateway
