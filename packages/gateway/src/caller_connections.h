/// The callers' connections and their idle timeouts.
#pragma once

#include "nutmegsill/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

namespace nutmegsill::gateway {

/// A caller's connection.
class CallerConnection {
public:
  /// Ends the request that targets serve at present: it gets a response of the
  /// router, or its stream ends incomplete. With `readsFirst` not while bytes
  /// of its response wait to be read.
  virtual void endRequest(bool readsFirst) = 0;
  /// Closes the connection unless a request is being served or has begun to
  /// arrive.
  virtual void closeIfIdle() = 0;
  /// Rejects an unfinished request, as the router lacks memory.
  virtual void refuse() = 0;
  /// Closes the connection unless a request is being served.
  virtual void close() = 0;
  /// Since when bytes of the caller are awaited; nothing while a request is
  /// being served.
  virtual std::optional<Time> waitsSince() const = 0;
  /// Number of the caller in the callers' budget.
  virtual std::uint64_t budgetId() const = 0;
  /// Gives a request up that its target does not acknowledge.
  virtual void checkTarget(Time now) = 0;

protected:
  ~CallerConnection() = default;
};

/// The callers' connections; shortens their idle timeout as they use up the
/// process's file descriptors. Not thread-safe.
class CallerConnections {
public:
  /// Allots half of `descriptors` to callers; the rest is for targets, peers
  /// and the store.
  explicit CallerConnections(std::size_t descriptors)
      : KeepAliveLimit(descriptors / 2),
        MaxOpen(descriptors / 2 + descriptors / 16) {}

  void add(CallerConnection &connection) { Open.insert(&connection); }
  void remove(CallerConnection &connection);
  void endRequests(bool readFirst) const;
  void closeIdle() const;
  void checkTargets(Time now) const;
  /// Rejects the unfinished request of one caller.
  void refuse(std::uint64_t budgetId) const;
  /// Makes room for a new connection: at the limit, closes the one on which
  /// bytes of the caller have been awaited longest. Returns false if a request
  /// is being served on each.
  bool makeRoom();
  std::size_t size() const { return Open.size(); }
  /// Whether a connection may stay open after its response.
  bool mayKeepAlive() const { return Open.size() < KeepAliveLimit; }
  /// Time to wait for the next request on a connection: `configured`, reduced
  /// in proportion to the connections that are open.
  Duration idleTimeout(Duration configured) const;

private:
  std::size_t KeepAliveLimit;
  /// A sixteenth above the limit up to which connections are kept open, for
  /// those of which one request is served.
  std::size_t MaxOpen;
  std::set<CallerConnection *> Open;
  /// Those of `Open` that `makeRoom` has closed, until their sessions end.
  std::set<CallerConnection *> Closed;
};

} // namespace nutmegsill::gateway
