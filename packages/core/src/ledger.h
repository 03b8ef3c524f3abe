/// Service of each team: counters of this entry, totals of the teams whose
/// home is here, and the floor at which slots are granted.
#pragma once

#include "membership.h"

#include <map>
#include <optional>

namespace nutmegsill::detail {

using TeamInPool = std::pair<PoolId, TeamId>;

class Ledger {
public:
  Ledger(Context &context, Membership &membership)
      : Ctx(context), Members(membership) {}

  /// Adds service through this entry; negative to correct an estimate.
  void charge(const TeamInPool &team, VirtualService service);
  /// Marks whether requests of the team wait at this entry.
  void setBacklogged(const TeamInPool &team, bool backlogged);
  /// The fleet-wide service to send with a demand.
  VirtualService tag(const TeamInPool &team) const;

  /// The lowest service at which slots of the pool are granted, as known here.
  VirtualService floorOf(const PoolId &pool) const;
  /// The highest service at which an owner lately granted a slot of the pool.
  VirtualService ceilingOf(const PoolId &pool) const;

  /// Notes at which service a slot was granted by this owner.
  void noteGrant(const PoolId &pool, VirtualService tag);
  /// Notes the floor of a peer.
  void noteFloors(const HostId &from, const std::vector<PoolFloor> &floors);
  /// This owner's floors that are recent enough to tell peers.
  std::vector<PoolFloor> floors() const;

  void onUsage(const Instance &from, const Usage &usage);
  void onUsageReply(const UsageReply &reply);
  void onTick();

  /// Totals of the teams whose home is here.
  std::vector<TeamStatus> homeStatus() const;

private:
  /// Counter of this entry for one team.
  struct Counter {
    VirtualService Own;
    VirtualService Others;
    VirtualService Acknowledged;
    /// `Own` at the last report.
    VirtualService Reported;
    bool Backlogged = false;
    /// True from the start of a backlog until the home has answered.
    bool Unconfirmed = true;
    bool Changed = false;
    std::optional<Time> BackloggedSince;
    std::optional<Time> ReportedAt;
  };
  /// Last report of one entry.
  struct Report {
    Incarnation Life;
    Time SentAt;
    VirtualService Own;
    bool Backlogged = false;
    Time ReceivedAt;
  };
  /// Total of one team at its home.
  struct Home {
    std::map<HostId, Report> Entries;
    /// Service through ended lives, and lifts.
    VirtualService Base;
  };
  struct Floor {
    VirtualService Tag;
    Time At;
  };
  bool isRecent(const Floor &floor) const;

  void report(const TeamInPool &team, Counter &counter);
  /// Takes in the first report of an entry whose past other homes knew.
  void admit(Home &home, const Usage &usage);
  void dropMovedHomes();
  VirtualService totalOf(const Home &home) const;
  bool anyBacklogged(const Home &home) const;

  Context &Ctx;
  Membership &Members;
  std::map<TeamInPool, Counter> Counters;
  std::map<TeamInPool, Home> Homes;
  std::uint64_t HomesVersion = 0;
  std::map<PoolId, std::map<HostId, Floor>> Granted;
  mutable std::map<PoolId, VirtualService> Lowest;
};

} // namespace nutmegsill::detail
