/// Keeps this router's entry in the platform's store under a lease.
#pragma once

#include "store_watcher.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace nutmegsill::gateway {

/// For use from the control thread only.
class Registration {
public:
  /// `minLeaseTtl` is the shortest TTL of a lease that the store grants.
  Registration(boost::asio::io_context &io, StoreWatcher &watcher,
               routing::RouterEntry ownEntry, milliseconds minLeaseTtl);

  void start();
  /// Ends the lease, with which the store removes the entry, once the call in
  /// progress is answered.
  void stop();

private:
  boost::asio::awaitable<void> keepRegistered();
  boost::asio::awaitable<bool> holdLease();
  boost::asio::awaitable<bool> renewLease();
  boost::asio::awaitable<bool> writeEntry();
  boost::asio::awaitable<void> endLease();
  /// Sleeps until `stop` at most.
  boost::asio::awaitable<void> pause(Duration duration);
  /// `cause` is logged.
  void forgetLease(const char *cause);

  boost::asio::io_context &Io;
  StoreWatcher &Watcher;
  routing::RouterEntry OwnEntry;
  milliseconds LeaseTtl;
  boost::asio::steady_timer PauseTimer;
  /// Its TTL runs; an entry may be bound to it although no response arrived.
  std::optional<platform::Lease> HeldLease;
  bool EntryWritten = false;
  /// Revision of the entry in the store; 0 without an entry.
  routing::StoreRevision EntryRevision;
  bool Stopped = false;
};

} // namespace nutmegsill::gateway
