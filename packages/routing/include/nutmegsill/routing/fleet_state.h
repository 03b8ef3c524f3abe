/// Builds the picture of the fleet from the items of the platform's store.
#pragma once

#include "nutmegsill/routing/model.h"

#include <string>
#include <vector>

namespace nutmegsill::routing {

/// A change of what this router believes, for the log.
struct FleetChange {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};

struct FleetStatePolicy {
  /// How long after the store's return a lapsed entry is still believed.
  /// Users' letter 2: entries are back within about two seconds.
  Duration LeaseExpiryGrace = milliseconds(2'200);
  /// Silence of the store that counts as an outage. Two heartbeat intervals
  /// of a target are shorter than any lapse of its entry.
  Duration OutageThreshold = milliseconds(1'000);
};

/// Applies facts in the order of the store's revisions.
class FleetState {
public:
  FleetState(HostId self, FleetStatePolicy policy)
      : Self(std::move(self)), Policy(policy) {}

  /// Replaces everything by a complete listing.
  void applyListing(const std::vector<StoreUpdate> &facts, Time now);
  void applyUpdate(const StoreUpdate &fact, Time now);
  /// A call was answered, or was not.
  void recordStoreSuccess(Time now);
  void recordStoreFailure(Time now);
  /// Drops entries whose grace has ended; true when something changed.
  bool expire(Time now);

  /// The current picture. `Version` rises with every call after a change.
  std::shared_ptr<const FleetView> view();
  bool isComplete() const { return Config && HasListing; }
  std::vector<FleetChange> takeChanges();

private:
  bool isInOutageGrace(Time now) const;
  void setTarget(const TargetEntry &entry, Time now);
  void setZoneEvacuated(const ZoneId &zone, bool out, Time now);
  void recordChange(std::string what,
                    std::vector<std::pair<std::string, std::string>> facts);

  void apply(const ConfigUpdated &it, Time now);
  void apply(const ZoneEvacuated &it, Time now);
  void apply(const ZoneRestored &it, Time now);
  void apply(const TargetUpdated &it, Time now);
  void apply(const TargetRemoved &it, Time now);
  void apply(const RouterUpdated &it, Time now);
  void apply(const RouterRemoved &it, Time now);
  void apply(const UnreadableItem &it, Time now);
  void apply(const UnrelatedItem &it, Time now);

  HostId Self;
  FleetStatePolicy Policy;
  std::shared_ptr<const ServiceConfig> Config;
  std::map<TargetId, KnownTarget> Targets;
  std::map<HostId, RouterEntry> Routers;
  std::set<ZoneId> EvacuatedZones;
  /// Entries that vanished around an outage, and when they count as gone.
  std::map<TargetId, Time> PendingTargetRemovals;
  std::map<HostId, Time> PendingRouterRemovals;
  std::set<std::string> ReportedUnreadable;
  bool HasListing = false;
  bool ViewOutdated = true;
  std::optional<Time> FailingSince;
  /// End of the time in which lapses are doubtful.
  Time OutageGraceEnd{};
  std::uint64_t Version = 0;
  std::shared_ptr<const FleetView> LatestView;
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
