/// Writes what the routers decide on roll-outs of versions to the store.
#pragma once

#include "nutmegsill/routing/rollout.h"
#include "store_watcher.h"

#include <map>
#include <memory>
#include <vector>

namespace nutmegsill::gateway {

/// For use from the control thread only. Makes no call while the store holds
/// what is decided.
class RolloutWriter {
public:
  RolloutWriter(boost::asio::io_context &io, StoreWatcher &watcher, HostId self)
      : Io(io), Watcher(watcher), Self(std::move(self)) {}

  void setView(std::shared_ptr<const routing::FleetView> view);
  void setDecisions(std::vector<routing::RolloutDecision> decisions);

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> write(routing::RolloutDecision decision);
  /// Starts `run` if something is to be written.
  void wake();
  /// The decisions that the view lacks, with the times at which this router
  /// writes them.
  void updatePending();

  boost::asio::io_context &Io;
  StoreWatcher &Watcher;
  HostId Self;
  std::shared_ptr<const routing::FleetView> View;
  std::vector<routing::RolloutDecision> Decisions;
  struct Pending {
    routing::RolloutDecision Decision;
    Time WriteAt{};
  };
  std::map<PoolId, Pending> PendingWrites;
  bool Running = false;
};

} // namespace nutmegsill::gateway
