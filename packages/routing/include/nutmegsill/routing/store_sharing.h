/// Selects the routers of a group that read the store, and lets the others
/// prove by them that they know all changes.
///
/// Answers the load of a large fleet on the store: if every router watches and
/// checks by itself, each change and each interval costs one call per router.
#pragma once

#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/store_link.h"
#include "nutmegsill/types.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::routing {

/// Returns the other routers of the group of `self`; none if `self` is not in
/// `routers`, which must be sorted by host. A group has about `groupSize`
/// routers.
std::vector<HostId> storeSharingGroup(const std::vector<RouterEntry> &routers,
                                      const HostId &self,
                                      std::size_t groupSize = 32);

/// A time on the clock of the router that sent it. Only that router compares
/// it with other times.
struct StampEcho {
  Instance Router;
  Time Stamp{};
};

/// Statement of a reader: when it knew all changes up to `Revision`, the store
/// had no later ones, as a read showed that it sent after it had received the
/// stamps. Each owner of a stamp thus knows, without comparing clocks, that
/// `Revision` was current at the time of its stamp.
struct StoreProof {
  StoreRevision Revision;
  /// How long the sender still believes entries that lapsed in an outage.
  Duration OutageGrace{0};
  std::vector<StampEcho> Stamps;
};

/// An item of the store as it was written; without a value if it was deleted.
struct StoredItem {
  std::string Key;
  std::optional<std::string> Value;
};

/// All changes of the store after `After`, up to `Revision`.
struct RelayedChanges {
  StoreRevision After;
  StoreRevision Revision;
  /// How long the sender still believes entries that lapsed in an outage.
  Duration OutageGrace{0};
  std::vector<StoredItem> Items;
};

struct StoreSharingPolicy {
  /// Number of routers of a group that read the store at the same time.
  std::size_t ReaderCount = 2;
  /// Time without a proof after which a reader is replaced: two intervals of
  /// its checks.
  Duration ProofTimeout = milliseconds(1'700);
  /// Age of the own knowledge at which a router reads by itself, whatever it
  /// hears: late enough for two proofs, early enough for a read before
  /// `AdmissionPolicy::MaxConfigAgeFraction` of the revocation bound.
  Duration MaxProofAge = milliseconds(2'400);
};

/// Not thread-safe.
class StoreSharing {
public:
  StoreSharing(Instance self, StoreSharingPolicy policy)
      : Self(std::move(self)), Policy(policy) {}

  /// Sets the other routers of the group.
  void setGroup(const std::vector<HostId> &peers);

  /// Whether this router reads the store: fewer than
  /// `StoreSharingPolicy::ReaderCount` routers that rank before it have given a
  /// proof lately, or `currentAsOf`, the time up to which all changes are
  /// known, is too old.
  bool readsStore(std::optional<Time> currentAsOf, Time now) const;
  /// Whether this router also watches the store: no reader ranks before it. The
  /// other readers only check the revision, and get changes by relay.
  bool watchesStore(std::optional<Time> currentAsOf, Time now) const;
  /// Whether this router ranks among the first readers of its group. The others
  /// read only in place of these, and less often while the store is away.
  bool isPrimaryReader() const;

  /// Stores the stamp of a peer for the next proofs.
  void recordStamp(const Instance &from, Time stamp);
  /// The stamps received so far; take them before sending the read on which a
  /// proof is based.
  std::vector<StampEcho> stamps() const;

  /// Records a proof of a peer. Returns this process's own stamp in it; nothing
  /// if the peer is not in the group or has no stamp of this process.
  std::optional<Time> recordProof(const HostId &from, const StoreProof &proof,
                                  Time now);

private:
  struct Peer {
    std::uint64_t Rank = 0;
    std::optional<Time> LastProofAt;
    std::optional<StampEcho> Stamp;
  };
  std::uint64_t rankOf(const HostId &host) const;
  bool isOutdated(std::optional<Time> currentAsOf, Time now) const;
  /// Number of routers that rank before this one and read the store.
  std::size_t readersAhead(Time now) const;

  Instance Self;
  StoreSharingPolicy Policy;
  std::map<HostId, Peer> Peers;
};

} // namespace nutmegsill::routing
