/// Builds the view of the fleet from the items of the platform's store.
#pragma once

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/target_process.h"
#include "nutmegsill/routing/unreadable_reports.h"

#include <string>
#include <vector>

namespace nutmegsill::routing {

struct FleetStatePolicy {
  /// How long after the end of a store outage an entry whose lease expired is
  /// kept. Entries are written again within about two seconds (users' letter
  /// 2).
  Duration LeaseExpiryGrace = milliseconds(2'200);
  /// Time from the first failed call to the store, without a success since,
  /// after which the failure is treated as an outage. The lease of an entry
  /// lasts for more than two heartbeat intervals of its target.
  Duration OutageThreshold = milliseconds(1'000);
  /// Time after the store was restored from a copy for which the entry of a
  /// target that had been removed is not believed: the store removes it again
  /// after three heartbeat intervals of silence. Evacuations that the copy
  /// lacks hold as long.
  Duration RestoreGrace = milliseconds(5'000);
  /// Time for which removed targets are remembered: more than the age of a
  /// copy.
  Duration RemovalMemory = std::chrono::seconds(60);
};

/// This router's state of the fleet. Updates must be applied in the order of
/// the store's revisions.
class FleetState {
public:
  FleetState(HostId self, FleetStatePolicy policy)
      : Self(std::move(self)), Policy(policy) {}

  /// Replaces the whole state by a complete listing.
  void applyListing(const std::vector<StoreUpdate> &updates, Time now);
  /// Replaces the state by the first listing of a store that was restored from
  /// a copy. What the copy lacks is written again soon: until then it is still
  /// believed, and what is known to have ended since the copy stays so.
  void applyRestoredListing(const std::vector<StoreUpdate> &updates, Time now);
  void applyUpdate(const StoreUpdate &update, Time now);
  /// Records whether the store responded to a call.
  void recordStoreSuccess(Time now);
  void recordStoreFailure(Time now);
  /// Adopts the remaining grace period of a router that has just read the
  /// store; 0 if that router has seen no outage, so that only this one was cut
  /// off.
  void adoptOutageGrace(Duration remaining, Time now);
  /// Remaining time of the grace period after an outage; 0 if there is none.
  Duration outageGrace(Time now) const;
  /// Ends grace periods that are over; returns whether anything changed. Ends
  /// none while calls to the store fail.
  bool expire(Time now);

  /// Returns the current view. A view built after a change has a higher
  /// `Version`.
  std::shared_ptr<const FleetView> view();
  bool isComplete() const { return Config && HasListing; }
  std::vector<FleetChange> takeChanges();

private:
  bool isInOutageGrace(Time now) const;
  void removeMissing(const std::vector<StoreUpdate> &updates, Time now);
  void setTarget(const TargetEntry &entry, Time now);
  void eraseTarget(const TargetId &id, const char *reason, Time now);
  /// Whether an entry of a restored store is older than what is known.
  bool isSuperseded(const TargetEntry &entry) const;
  /// Whether the entry is unchanged since it was found superseded.
  bool isDoubted(const TargetEntry &entry) const;
  void setZoneEvacuated(const ZoneId &zone, bool evacuated, Time now);
  void recordChange(std::string event,
                    std::vector<std::pair<std::string, std::string>> fields);

  void apply(const ConfigUpdated &it, Time now);
  void apply(const ZoneEvacuated &it, Time now);
  void apply(const ZoneRestored &it, Time now);
  void apply(const TargetUpdated &it, Time now);
  void apply(const TargetRemoved &it, Time now);
  void apply(const RouterUpdated &it, Time now);
  void apply(const RouterRemoved &it, Time now);
  void apply(const RolloutOrderUpdated &it, Time now);
  void apply(const RolloutStatusUpdated &it, Time now);
  void apply(const UnreadableItem &it, Time now);
  void apply(const UnrelatedItem &it, Time now);

  HostId Self;
  FleetStatePolicy Policy;
  std::shared_ptr<const ServiceConfig> Config;
  std::map<TargetId, KnownTarget> Targets;
  std::map<HostId, RouterEntry> Routers;
  std::set<ZoneId> EvacuatedZones;
  /// Entries that disappeared around an outage, with the time of their removal.
  std::map<TargetId, Time> PendingTargetRemovals;
  std::map<HostId, Time> PendingRouterRemovals;
  /// When the evacuations end that a restored store lacks.
  std::map<ZoneId, Time> PendingZoneReturns;
  /// Processes of targets that were removed, with the time.
  std::map<TargetProcess, Time> RemovedProcesses;
  /// Entries of removed processes in a restored store, with the time from which
  /// they are believed if they are still there.
  std::map<TargetId, std::pair<TargetEntry, Time>> DoubtedEntries;
  KnownRollouts Rollouts;
  UnreadableReports Unreadable;
  bool HasListing = false;
  bool ViewOutdated = true;
  std::optional<Time> FailingSince;
  /// End of the period after an outage in which entries that disappear are kept
  /// for `LeaseExpiryGrace`.
  Time OutageGraceEnd{};
  std::uint64_t Version = 0;
  std::shared_ptr<const FleetView> LatestView;
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
