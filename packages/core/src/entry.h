/// The entry's side: queues per team, demands, dispatches, retries and the
/// outcome of every request.
#pragma once

#include "claims.h"
#include "granter.h"
#include "ledger.h"
#include "ownership.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace nutmegsill::detail {

class Entry {
public:
  Entry(Context &context, Membership &membership, Ledger &ledger,
        Ownership &ownership, Claims &claims)
      : Ctx(context), Members(membership), Shares(ledger), Owners(ownership),
        Keys(claims) {}

  /// `state` is the router's own state; only "serving" takes new work.
  void onRequest(const CallerRequest &request, const std::string &state);
  void onCallerGone(RequestId id);
  void onProgress(const AnswerProgress &progress);
  void onEnded(const ExchangeEnded &ended, bool serving);
  /// Takes the results of claims.
  void takeClaims();
  void onGrant(const HostId &owner, const Grant &grant, bool serving);
  /// Answers an owner with free slots with the lowest waiting queue.
  void onOffer(const HostId &owner, const Offer &offer);
  void onInFlightQuery(const HostId &owner, const InFlightQuery &query);
  void onTick(bool serving);

  std::uint32_t openRequests() const {
    return static_cast<std::uint32_t>(Requests.size());
  }
  std::map<TeamInPool, std::uint32_t> queued() const;

private:
  /// A grant that this entry uses.
  struct HeldGrant {
    HostId Owner;
    Grant Used;
  };
  struct Request {
    CallerRequest Call;
    std::string State;
    Time ReceivedAt;
    std::optional<Time> ClaimSentAt;
    std::uint32_t Attempts = 0;
    /// True once a byte of the request may have reached a target.
    bool MayHaveRun = false;
    std::optional<HeldGrant> Held;
    /// Cost charged to the team for the running attempt.
    Cost Charged;
    std::uint32_t Weight = 1;
  };
  /// Requests of one team that wait for a grant.
  struct Queue {
    std::deque<RequestId> Waiting;
    std::set<HostId> Contacted;
    std::uint32_t Width = 0;
    /// Owners that the demand is repeated to.
    std::uint32_t RefreshWidth = 0;
    std::optional<Time> SentAt;
    std::optional<Time> WidenedAt;
    std::optional<Time> AdaptedAt;
    /// `Count` of the last demand, less the requests served since.
    std::int64_t KnownToOwners = 0;
  };
  /// Free slots that an owner last reported for a pool.
  struct FreeHint {
    std::uint32_t Free = 0;
    Time At;
  };

  void onClaim(const ClaimResult &result);
  bool fire(Request &request, const std::string &event);
  void enqueue(RequestId id, Request &request, bool atFront);
  void leaveQueue(RequestId id, const Request &request);
  void dispatch(RequestId id, Request &request, const HostId &owner,
                const Grant &grant);
  bool usable(const Grant &grant) const;
  /// Notes a grant; false when it has come before.
  bool isNew(const Grant &grant);
  std::optional<RequestId> nextFor(const TeamInPool &team);
  void giveBack(const HostId &owner, const Grant &grant, SettleOutcome outcome);
  void settle(Request &request, SettleOutcome outcome);
  /// Puts the next request of this entry into the slot of a complete one, if
  /// no other team is behind it; false when the slot must go back.
  bool reuse(const HeldGrant &held);
  /// The waiting queue of the pool with the lowest tag.
  std::optional<TeamInPool> lowestQueue(const PoolId &pool) const;
  void retryOrEnd(RequestId id, Request &request, ExchangeEnd end);
  void refuse(RequestId id, Request &request, Refusal why);
  void endUnknown(RequestId id, Request &request);
  /// Refuses as not run, or as unknown when an attempt may have run.
  void refuseTruly(RequestId id, Request &request, Refusal why);
  void forget(RequestId id);
  bool spendRetry();
  void charge(Request &request, Cost total);
  Cost estimate(const TeamInPool &team) const;
  void learn(const TeamInPool &team, Cost total);

  void tickQueue(const TeamInPool &team, Queue &queue, bool serving);
  void expire(const TeamInPool &team, Queue &queue);
  void widen(const TeamInPool &team, Queue &queue);
  /// Repeats the demand to more owners while the team falls behind.
  void adaptWidth(const TeamInPool &team, Queue &queue);
  /// Repeats the demand to the first `width` owners.
  void sendDemand(const TeamInPool &team, Queue &queue, std::uint32_t width);
  void sendDemandTo(const TeamInPool &team, Queue &queue,
                    const std::vector<HostId> &owners);
  void cancelDemand(const TeamInPool &team, Queue &queue);
  std::vector<HostId> ownersOf(const PoolId &pool, const TeamId &team) const;

  Context &Ctx;
  Membership &Members;
  Ledger &Shares;
  Ownership &Owners;
  Claims &Keys;
  std::map<RequestId, Request> Requests;
  std::map<TeamInPool, Queue> Queues;
  std::map<TeamInPool, Cost> Estimates;
  std::map<std::pair<PoolId, HostId>, FreeHint> Hints;
  /// Grants that came lately; older ones are too late to be used.
  std::map<std::pair<TargetId, GrantRef>, Time> SeenGrants;
  /// Hundredths of a retry that this entry may still spend.
  std::uint32_t RetryCredit = 1000;
};

} // namespace nutmegsill::detail
