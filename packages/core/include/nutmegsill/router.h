/// The decisions of one router: events in, effects out. No I/O, no clock, no
/// threads, no random source; equal events give equal effects.
#pragma once

#include "nutmegsill/chart.h"
#include "nutmegsill/event.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill {

/// Intervals and limits of the fleet; equal at every router.
struct Timing {
  /// Between heartbeats to successors, which must promise.
  Duration Heartbeat = milliseconds(400);
  /// Heartbeats to other peers are sent once in this many.
  std::uint32_t SparseHeartbeat = 3;
  /// Life of a promise or of a read of the owner record.
  Duration PromiseLife = milliseconds(2000);
  /// Bound on the drift between two clocks over `PromiseLife`.
  Duration DriftMargin = milliseconds(100);
  /// Silence of an owner after which a successor takes over.
  Duration SuspectAfter = milliseconds(1000);
  /// A grant is used only this long after its demand was sent.
  Duration GrantLife = milliseconds(2000);
  /// An unserved demand goes to twice as many owners after this time.
  Duration WidenAfter = milliseconds(30);
  Duration DemandRefresh = milliseconds(1000);
  Duration DemandLife = milliseconds(2000);
  /// Shortest time between two demands of one queue.
  Duration DemandGap = milliseconds(20);
  Duration UsageInterval = milliseconds(1000);
  Duration LoadPoll = milliseconds(500);
  Duration ConfigPoll = milliseconds(1000);
  /// Without a newer sign of the configuration a router stops taking work.
  Duration IsolatedAfter = milliseconds(4000);
  Duration ReconcileInterval = milliseconds(2000);
  /// A claim may be used for a dispatch only this long after it was sent.
  Duration ClaimWindow = std::chrono::seconds(60);
  std::chrono::seconds ClaimLife = std::chrono::hours(24);
  /// How long finished attempts are remembered for repeats of their key.
  Duration AttemptMemory = std::chrono::minutes(10);
  Duration RecordRetry = milliseconds(500);
  Duration RebalanceAfter = milliseconds(3000);
  /// Owners that a new demand goes to.
  std::uint32_t FirstWidth = 1;
  /// Owners that a demand is spread to at the most when it is not served.
  std::uint32_t MaxWidth = 64;
  /// Owners that a waiting demand is repeated to.
  std::uint32_t RefreshWidth = 3;
  /// An owner whose slots stay free this long offers them to entries.
  Duration OfferAfter = milliseconds(50);
  /// Longest pause between two offers.
  Duration OfferPause = milliseconds(800);
  /// Entries that an offer goes to.
  std::uint32_t OfferFan = 3;
  /// Peers that a router sends heartbeats to beside successors.
  std::uint32_t HeartbeatPeers = 12;
  /// Dispatches of one request at the most.
  std::uint32_t MaxAttempts = 3;
};

/// Share of a team in one pool, as its home sees it.
struct TeamStatus {
  PoolId Pool;
  TeamId Team;
  VirtualService Total;
  bool Backlogged = false;
  std::uint32_t QueuedHere = 0;
};

/// A target as its owner sees it.
struct TargetStatus {
  TargetId Target;
  std::string Ownership;
  std::string State;
  Epoch Number;
  std::uint32_t Limit = 0;
  std::uint32_t InUse = 0;
  bool MayGrant = false;
};

/// What one router knows, for operators.
struct Status {
  std::string State;
  Revision Config;
  std::vector<Member> Members;
  std::vector<TargetStatus> Owned;
  /// Teams whose home is this router, and teams queued here.
  std::vector<TeamStatus> Teams;
  std::uint32_t RequestsOpen = 0;
};

namespace detail {
class Core;
} // namespace detail

/// The decisions of one router process.
class Router {
public:
  ~Router();
  Router(Router &&) noexcept;
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;
  Router &operator=(Router &&) noexcept;

  /// Takes one event; returns its effects in order.
  std::vector<Effect> handle(const Event &event);
  Status status() const;

private:
  friend class RouterBuilder;
  explicit Router(std::unique_ptr<detail::Core> core);
  std::unique_ptr<detail::Core> Impl;
};

/// Builds a `Router`; `build` returns nothing and sets `reason` when a part is
/// missing.
class RouterBuilder {
public:
  RouterBuilder &self(Member member, Incarnation life);
  RouterBuilder &charts(std::shared_ptr<const Charts> charts);
  RouterBuilder &timing(const Timing &timing);
  std::optional<Router> build(std::string &reason) const;

private:
  std::optional<Member> Self;
  Incarnation Life;
  std::shared_ptr<const Charts> ChartSet;
  Timing Limits;
};

} // namespace nutmegsill
