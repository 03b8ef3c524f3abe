/// The platform's store in virtual time: facts with revisions, leases, watches
/// and its faults.
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

enum class StoreMode { Serving, Silent, Refusing };

/// A revision and the facts up to it.
struct StoreUpdates {
  std::vector<routing::StoreUpdate> Updates;
  routing::StoreRevision Revision;
};

/// Why there is no answer; nothing was done.
enum class StoreFailure { Unavailable, HistoryGone };
using StoreReply = std::variant<StoreUpdates, StoreFailure>;
using ReplyHandler = std::function<void(StoreReply)>;

class VirtualStore {
public:
  explicit VirtualStore(VirtualClock &clock) : Clock(clock) {}

  // What operators, targets and the store itself do.

  /// Writes an item; `removal` is the fact of its removal. An item with a `ttl`
  /// is removed that long after its last write or `renewLease`.
  void put(const std::string &key, routing::StoreUpdate update,
           routing::StoreUpdate removal, std::optional<Duration> ttl = {});
  void erase(const std::string &key);
  bool has(const std::string &key) const { return Items.count(key) > 0; }
  /// Watches from before now find their history gone.
  void dropHistory();
  /// Sets how the store answers one host, or all without one, for some time.
  /// While it is away from all, leases end when `leasesExpire` is set, else
  /// pause.
  void setMode(std::optional<HostId> host, StoreMode mode, Duration duration,
               bool leasesExpire = false);

  // Calls of routers. Replies come a few milliseconds later.

  void list(const HostId &host, ReplyHandler reply);
  void readRevision(const HostId &host, ReplyHandler reply);
  void watch(const HostId &host, routing::StoreRevision after, Duration wait,
             ReplyHandler reply);
  /// Writes an item of a router.
  void write(const HostId &host, const std::string &key,
             routing::StoreUpdate update, routing::StoreUpdate removal,
             Duration ttl, ReplyHandler reply);
  /// Extends the life of an item; `HistoryGone` when it has ended.
  void renewLease(const HostId &host, const std::string &key,
                  ReplyHandler reply);

  /// Calls that a host made.
  std::uint64_t callCount(const HostId &host) const;

private:
  struct Item {
    routing::StoreUpdate CurrentUpdate;
    routing::StoreUpdate RemovalUpdate;
    std::uint64_t Revision = 0;
    std::optional<Duration> Ttl;
    /// Number of its last write, of all writes.
    std::uint64_t WriteSequence = 0;
  };
  struct PendingWatch {
    HostId Host;
    std::uint64_t AfterRevision = 0;
    ReplyHandler Reply;
  };
  StoreMode modeFor(const HostId &host) const;
  /// Runs `work` if the store answers `host`, else replies with the loss.
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
