/// Keeps this router's entry in the platform's store under a lease.
#pragma once

#include "store_watcher.h"

#include <optional>

namespace nutmegsill::gateway {

/// For use from the control thread only.
class Registration {
public:
  /// `minLeaseTtl` is the shortest TTL of a lease that the store grants.
  Registration(boost::asio::io_context &io, StoreWatcher &watcher,
               routing::RouterEntry ownEntry, milliseconds minLeaseTtl);

  void start();
  /// Stops renewals and ends the lease, with which the store removes the
  /// entry.
  void stop();

private:
  boost::asio::awaitable<void> keepRegistered();
  boost::asio::awaitable<bool> registerRouter();
  boost::asio::awaitable<bool> renewLease();
  boost::asio::awaitable<void> endLease();
  /// `cause` is logged.
  void forgetLease(const char *cause);

  boost::asio::io_context &Io;
  StoreWatcher &Watcher;
  routing::RouterEntry OwnEntry;
  milliseconds LeaseTtl;
  std::optional<platform::Lease> HeldLease;
  /// Revision of the entry in the store; 0 without an entry.
  routing::StoreRevision EntryRevision;
  bool Stopped = false;
};

} // namespace nutmegsill::gateway
