/// Who may grant the slots of a target: owner records, promises, take-over and
/// hand-over.
#pragma once

#include "membership.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace nutmegsill::detail {

/// Calls out of the ownership into the other parts.
struct OwnershipHooks {
  /// The target is owned now; recover what runs on it.
  std::function<void(const TargetId &, Epoch)> Recover;
  /// The target is not owned any more.
  std::function<void(const TargetId &)> Lost;
};

class Ownership {
public:
  Ownership(Context &context, Membership &membership)
      : Ctx(context), Members(membership) {}
  void setHooks(OwnershipHooks hooks) { Hooks = std::move(hooks); }

  void onTick();
  /// Takes the reply when this part made the call.
  bool onReply(const PlatformReply &reply);
  /// Notes as successor that the owner lives; returns what it promises.
  std::vector<TargetEpoch> promise(const Instance &owner,
                                   const std::vector<TargetEpoch> &asked);
  void onPromises(const Instance &from, Time sentAt,
                  const std::vector<TargetEpoch> &promises);
  void onRows(const std::vector<OwnerRow> &rows);
  /// Ends the recovery of a target: grants may begin.
  void recovered(const TargetId &target);

  /// True while grants for the target are safe. Checked at each grant.
  bool mayGrant(const TargetId &target) const;
  Epoch epoch(const TargetId &target) const;
  const std::string &state(const TargetId &target) const;
  std::vector<TargetEpoch> owned() const;
  /// Targets whose promises `successor` is asked for.
  std::vector<TargetEpoch> askOf(const HostId &successor) const;
  std::set<HostId> successorHosts() const;
  /// Believed owners by target.
  const std::map<TargetId, OwnerRow> &rows() const { return Rows; }
  /// True when nothing is owned or being written.
  bool empty() const;

private:
  /// Why a record is read or written.
  enum class Purpose { Read, Claim, Reenlist, HandOver };
  struct Pending {
    TargetId Target;
    Purpose Why = Purpose::Read;
  };
  /// What this router holds of one target as owner or as one to be.
  struct Holding {
    std::string State;
    /// The record in force, or the one being written.
    OwnerRecord Record;
    /// Revision of the record in force, which a write expects.
    std::uint64_t ModRevision = 0;
    /// Send time of the last read or write that showed this ownership.
    std::optional<Time> ConfirmedAt;
    std::map<Instance, Time> PromisedAt;
    Time EligibleAt;
    std::optional<Time> NextCallAt;
    bool CallOpen = false;
    /// A change of successors that may or may not have taken effect.
    std::optional<OwnerRecord> OpenWrite;
  };
  /// What this router watches as a successor.
  struct Watch {
    Instance Owner;
    Epoch Number;
    Time HeardAt;
    /// True once this router has begun to take over; no promise after that.
    bool Refused = false;
  };

  void rebuildRankings();
  Holding &holding(const TargetId &id);
  void tickTarget(const TargetId &id, Holding &held);
  void tickOwner(const TargetId &id, Holding &held);
  void tickWatch(const TargetId &id, const Watch &watch);
  void read(const TargetId &id, Holding &held);
  void write(const TargetId &id, Holding &held, Purpose why,
             const OwnerRecord &record);
  void claim(const TargetId &id, Holding &held, Epoch after);
  void reenlist(const TargetId &id, Holding &held);
  void handOver(const TargetId &id, Holding &held, const Instance &to);
  void onRead(const TargetId &id, Holding &held, Time sentAt,
              const KvValue &value);
  void onReadWhileIdle(const TargetId &id, Holding &held,
                       const OwnerRecord &record);
  void onReadWhileSwapping(const TargetId &id, Holding &held, Time sentAt,
                           const OwnerRecord &record, std::uint64_t mod);
  void onReadWhileOwner(const TargetId &id, Holding &held, Time sentAt,
                        const OwnerRecord &record, std::uint64_t mod);
  void onWritten(const TargetId &id, Holding &held, Purpose why, Time sentAt,
                 const KvSwapped &result);
  void onFailed(const TargetId &id, Holding &held, Purpose why);
  /// Takes up the ownership of `held.Record`; waits out the previous owner's
  /// promises first, when `wait` is set.
  void enter(const TargetId &id, Holding &held, Time sentAt, bool wait);
  void beginRecovery(const TargetId &id, const Holding &held);
  void drop(const TargetId &id, Holding &held, const char *why);
  void announce(const TargetId &id, const OwnerRecord &record);
  bool takeOverAsSuccessor(const TargetId &id, const OwnerRecord &record);
  bool allDead(const OwnerRecord &record) const;
  bool needsNewSuccessors(const TargetId &id, const Holding &held) const;
  std::optional<Instance> betterOwner(const TargetId &id) const;
  std::vector<Instance> freshSuccessors(const TargetId &id,
                                        const HostId &owner) const;
  std::optional<Time> evidence(const Holding &held) const;
  bool isOwner(const Holding &held) const;
  bool callAllowed(const Holding &held) const;

  Context &Ctx;
  Membership &Members;
  OwnershipHooks Hooks;
  std::map<TargetId, Holding> Holdings;
  std::map<TargetId, Watch> Watches;
  std::map<TargetId, OwnerRow> Rows;
  std::map<CallId, Pending> Calls;
  /// First host of each target's ranking.
  std::map<TargetId, HostId> Best;
  std::uint64_t BestVersion = 0;
  Revision BestConfig;
  std::uint64_t Writes = 0;
};

} // namespace nutmegsill::detail
