/// Keeps this router's entry in the platform's store, under a lease.
#pragma once

#include "store_follower.h"

#include <optional>

namespace nutmegsill::gateway {

/// Runs on the control thread.
class Registration {
public:
  /// `shortestLease` is the shortest life of a lease that the store grants.
  Registration(boost::asio::io_context &io, StoreFollower &follower,
               routing::RouterEntry self, milliseconds shortestLease);

  void start();
  /// Removes the entry.
  void end();

private:
  boost::asio::awaitable<void> stay();
  boost::asio::awaitable<bool> write();
  boost::asio::awaitable<bool> renew();
  boost::asio::awaitable<void> remove();

  boost::asio::io_context &Io;
  StoreFollower &Follower;
  routing::RouterEntry Self;
  milliseconds LeaseLife;
  std::optional<platform::Lease> Held;
  /// Revision of the entry; 0 without one.
  routing::StoreRevision Entry;
  bool Ended = false;
};

} // namespace nutmegsill::gateway
