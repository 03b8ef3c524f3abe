/// The owner's side of sharing: waiting demands, and grants to the lowest tag.
#pragma once

#include "ledger.h"
#include "ownership.h"
#include "slots.h"

#include <map>

namespace nutmegsill::detail {

class Granter {
public:
  Granter(Context &context, Membership &membership, Ledger &ledger,
          Ownership &ownership)
      : Ctx(context), Members(membership), Shares(ledger), Owners(ownership) {}

  void onDemand(const Instance &from, const Demand &demand);
  void onSettle(const Instance &from, const Settle &settle);
  void onLoadReport(const LoadReport &report);
  void onInFlight(const Instance &from, const InFlightReply &reply);
  /// Begins to find out what runs on a target that was just taken over.
  void recover(const TargetId &target, Epoch number);
  void forget(const TargetId &target);
  void onTick();

  /// Slots of a target as operators see them.
  void fillStatus(TargetStatus &status) const;

private:
  /// A demand that waits at this owner.
  struct Waiting {
    Incarnation EntryLife;
    Demand Last;
    Time ReceivedAt;
    /// Service granted since `Last`.
    VirtualService Granted;
    std::uint32_t Left = 0;
  };
  using WaitingKey = std::pair<TeamId, HostId>;

  /// Slots of a pool that nothing waits for.
  struct Surplus {
    Time FreeSince;
    Time NextOffer;
    Duration Pause;
    std::size_t NextEntry = 0;
  };

  /// A target under this owner.
  struct Owned {
    Slots Load;
    Epoch Number;
    std::optional<Time> RecoveringSince;
    std::set<HostId> Unanswered;
    std::optional<Time> PolledAt;
    std::optional<Time> AskedAt;
  };

  void tickTarget(const TargetId &id, Owned &owned);
  void finishRecovery(const TargetId &id, Owned &owned);
  void reconcile(const TargetId &id, Owned &owned);
  /// True when nothing was heard of the entry for so long that no grant to it
  /// can be used any more and the target's reports show what it still runs.
  bool isSilent(const HostId &entry) const;
  /// Counts a request that an entry put into its freed slot as served.
  void noteReuse(const PoolId &pool, const WaitingKey &key);
  void expireDemands();
  void offerSurplus();
  void offer(const PoolId &pool, Surplus &surplus, std::uint32_t free);
  bool anyWaiting(const PoolId &pool) const;
  /// Grants while a slot of the pool is free and a demand waits.
  void pump(const PoolId &pool);
  std::map<WaitingKey, Waiting>::iterator
  lowest(std::map<WaitingKey, Waiting> &waiting, VirtualService &tag);
  std::optional<TargetId> freest(const PoolId &pool, std::uint32_t &free) const;
  void grant(const PoolId &pool, const TargetId &target, const WaitingKey &key,
             Waiting &waiting, VirtualService tag, std::uint32_t free);

  Context &Ctx;
  Membership &Members;
  Ledger &Shares;
  Ownership &Owners;
  std::map<TargetId, Owned> Targets;
  std::map<PoolId, std::map<WaitingKey, Waiting>> Pools;
  std::map<PoolId, Surplus> Surpluses;
  std::uint64_t LastGrant = 0;
};

} // namespace nutmegsill::detail
