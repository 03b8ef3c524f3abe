/// Orders the requests that wait at a router for a place at a plain target.
///
/// Answers callers that compete for targets without capacity for all of them: a
/// burst, or a time in which the targets are slow.
#pragma once

#include "nutmegsill/routing/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::routing {

/// Urgency of a request among those of its pool; the lowest goes first.
struct PlaceUrgency {
  /// Requests that run at most once precede those that may be repeated, which
  /// have other ways to be served.
  int Kind = 0;
  /// Time at which the request becomes late.
  Time Due{};
  auto operator<=>(const PlaceUrgency &) const = default;

  static PlaceUrgency of(const RouteRule &route, Duration elapsed, Time now);
};

/// Identifies a waiting request.
using PlaceTicket = std::uint64_t;

/// Not thread-safe.
class PlaceQueue {
public:
  /// A waiting request holds its body and its caller's connection; a router of
  /// a large fleet has less than one request per pool in a wait's time, and all
  /// callers of a team may use one router.
  static constexpr std::size_t MaxWaiting = 16;

  /// Adds a request. If the pool's queue is full, the team with the most
  /// waiting requests gives up its least urgent one; nothing is returned if
  /// that is the new one.
  std::optional<PlaceTicket> enter(const PoolId &pool, const TeamId &team,
                                   const PlaceUrgency &urgency);
  void leave(const PoolId &pool, PlaceTicket ticket);
  /// Whether the request has not given up its place in the queue.
  bool isWaiting(const PoolId &pool, PlaceTicket ticket) const;
  /// Whether a request other than `ticket` is more urgent.
  bool isPreceded(const PoolId &pool, std::optional<PlaceTicket> ticket,
                  const PlaceUrgency &urgency) const;
  /// The most urgent request; nothing if none waits.
  std::optional<PlaceTicket> first(const PoolId &pool) const;

private:
  struct Entry {
    PlaceTicket Ticket = 0;
    TeamId Team;
    PlaceUrgency Urgency;
  };
  /// By urgency; equal ones in the order of their arrival.
  std::map<PoolId, std::vector<Entry>> Pools;
  PlaceTicket LastTicket = 0;
};

} // namespace nutmegsill::routing
