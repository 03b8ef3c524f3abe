/// The platform's store in virtual time: items with revisions, leases, watches
/// and faults of the store.
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

/// `Serving` answers calls, `Silent` leaves calls and watches without an
/// answer, `Refusing` fails calls and closes watches.
enum class StoreMode { Serving, Silent, Refusing };

/// All items, or the changes since some revision, up to `Revision`.
struct StoreUpdates {
  std::vector<routing::StoreUpdate> Updates;
  routing::StoreRevision Revision;
};

/// Why a call failed; it had no effect.
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
  /// Drops the changes up to now. Watches from an older revision fail with
  /// `HistoryGone`.
  void dropHistory();
  /// Sets how the store treats `host`, or all hosts if none is given, for
  /// `duration`. While it is unavailable to all, leases expire only if
  /// `leasesExpire` is set; otherwise one that is due gets its full TTL again.
  void setMode(std::optional<HostId> host, StoreMode mode, Duration duration,
               bool leasesExpire = false);

  // Calls of routers and targets. A serving store replies after a few
  // milliseconds.

  void list(const HostId &host, ReplyHandler reply);
  void readRevision(const HostId &host, ReplyHandler reply);
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
    /// Number of its last write or renewal among those of all items; a timer of
    /// an older one does nothing.
    std::uint64_t WriteSequence = 0;
  };
  struct PendingWatch {
    HostId Host;
    std::uint64_t AfterRevision = 0;
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
  std::optional<StoreUpdates> changesAfter(std::uint64_t after) const;
  bool isUnavailable() const;

  VirtualClock &Clock;
  std::map<std::string, Item> Items;
  std::vector<std::pair<std::uint64_t, routing::StoreUpdate>> History;
  std::uint64_t Revision = 10;
  std::uint64_t OldestRevision = 0;
  std::uint64_t LastWriteSequence = 0;
  std::list<PendingWatch> PendingWatches;
  std::map<HostId, std::pair<StoreMode, Time>> HostModes;
  std::pair<StoreMode, Time> CommonMode{StoreMode::Serving, Time{}};
  bool LeasesExpire = false;
  std::map<HostId, std::uint64_t> CallCounts;
};

} // namespace nutmegsill::simulation
