/// The platform's store in virtual time: items with revisions, leases, watches
/// and injected faults.
#pragma once

#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/store_link.h"
#include "virtual_clock.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::simulation {

/// `Serving` responds to calls. `Silent` does not respond: a call ends as
/// `Unavailable` at the caller's time-out, and so does a pending watch if the
/// store is still silent at the end of its wait. `Refusing` fails calls and
/// closes watches as `Unavailable`.
enum class StoreMode { Serving, Silent, Refusing };

/// Result of a call: all items, the changes after a revision, or no updates,
/// depending on the call. `Revision` is the store's revision at that time.
struct StoreUpdates {
  std::vector<routing::StoreUpdate> Updates;
  routing::StoreRevision Revision;
};

/// Reason for the failure of a call. A failed call has no effect.
enum class StoreFailure { Unavailable, HistoryGone };
using StoreReply = std::variant<StoreUpdates, StoreFailure>;
using ReplyHandler = std::function<void(StoreReply)>;

class VirtualStore {
public:
  explicit VirtualStore(VirtualClock &clock) : Clock(clock) {}

  // Writes of operators and targets, and faults of the store.

  /// Writes an item; `removal` is the update that reports its removal. An item
  /// with a `ttl` is removed that long after its last write or renewal.
  void put(const std::string &key, routing::StoreUpdate update,
           routing::StoreUpdate removal, std::optional<Duration> ttl = {});
  void erase(const std::string &key);
  bool has(const std::string &key) const { return Items.count(key) > 0; }
  /// Drops the changes up to now. Watches after an older revision fail with
  /// `HistoryGone`. Pending watches get their reply only at the end of their
  /// wait.
  void dropHistory();
  /// Keeps a copy of all items for `restoreCopy`.
  void keepCopy();
  /// Replaces all items and the revision by the copy, as another history.
  void restoreCopy();
  /// Sets how the store treats `host`, or all hosts if none is given, for
  /// `duration`. While the store is unavailable to all hosts, leases expire
  /// only if `leasesExpire` is set; otherwise a lease that falls due is
  /// extended by its full TTL. `leasesExpire` is ignored if `host` is given.
  void setMode(std::optional<HostId> host, StoreMode mode, Duration duration,
               bool leasesExpire = false);

  // Calls by routers and targets; `host` identifies the caller and holds the
  // target's id for a target. A serving store replies after a few milliseconds.

  void list(const HostId &host, ReplyHandler reply);
  void readRevision(const HostId &host, ReplyHandler reply);
  /// Replies with the changes after revision `after` as soon as there are any,
  /// or without changes after `wait`; fails with `HistoryGone` if the store has
  /// dropped those changes.
  void watch(const HostId &host, routing::StoreRevision after, Duration wait,
             ReplyHandler reply);
  /// Writes an item under a lease of `ttl`.
  void write(const HostId &host, const std::string &key,
             routing::StoreUpdate update, routing::StoreUpdate removal,
             Duration ttl, ReplyHandler reply);
  /// Renews the lease of an item; fails with `HistoryGone` if the item is gone.
  void renewLease(const HostId &host, const std::string &key,
                  ReplyHandler reply);

  std::uint64_t callCount(const HostId &host) const;

private:
  struct Item {
    routing::StoreUpdate CurrentUpdate;
    routing::StoreUpdate RemovalUpdate;
    std::uint64_t Revision = 0;
    std::optional<Duration> Ttl;
    /// Sequence number, across all items, of this item's last write or renewal.
    /// An expiry timer with an older number does nothing.
    std::uint64_t WriteSequence = 0;
  };
  struct PendingWatch {
    HostId Host;
    routing::StoreRevision AfterRevision;
    ReplyHandler Reply;
  };
  StoreMode modeFor(const HostId &host) const;
  /// Runs `work` if the store serves `host`; otherwise replies with
  /// `Unavailable`.
  void serve(const HostId &host, const ReplyHandler &reply,
             std::function<void()> work);
  void scheduleLeaseExpiry(const std::string &key);
  void expireLease(const std::string &key, std::uint64_t writeSequence);
  void recordChange(const routing::StoreUpdate &update);
  std::optional<StoreUpdates> changesAfter(routing::StoreRevision after) const;
  routing::StoreRevision currentRevision() const { return {Revision, Era}; }
  bool isUnavailable() const;

  VirtualClock &Clock;
  std::map<std::string, Item> Items;
  std::vector<std::pair<std::uint64_t, routing::StoreUpdate>> History;
  std::uint64_t Revision = 10;
  routing::StoreEra Era{1};
  std::map<std::string, Item> CopiedItems;
  std::uint64_t CopiedRevision = 0;
  std::uint64_t OldestRevision = 0;
  std::uint64_t LastWriteSequence = 0;
  std::list<PendingWatch> PendingWatches;
  std::map<HostId, std::pair<StoreMode, Time>> HostModes;
  std::pair<StoreMode, Time> CommonMode{StoreMode::Serving, Time{}};
  bool LeasesExpire = false;
  std::map<HostId, std::uint64_t> CallCounts;
};

} // namespace nutmegsill::simulation
