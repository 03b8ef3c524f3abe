/// Selects the routers that callers are sent to.
///
/// Answers two loads. Callers of a team may send all its requests to one
/// address, so the router there must bear a team at many times its usual rate;
/// a small host does not. And where hundreds of routers each see a few requests
/// a second, each knows the loads of the targets late and keeps connections to
/// all of them; the same requests at a few large routers need neither.
#pragma once

#include "nutmegsill/routing/model.h"

#include <functional>
#include <set>
#include <vector>

namespace nutmegsill::routing {

struct EntryPolicy {
  /// The preferred routers together have at least this fraction of the fleet's
  /// processor time: the largest ones, and all that equal the smallest of them.
  double MinCapacityFraction = 0.15;
  /// Minimum number of addresses in a response, so that callers have another if
  /// one fails them.
  std::size_t MinAddresses = 2;
};

/// The routers that callers are sent to while they are alive and not
/// overloaded; all routers if their processor shares are equal.
std::set<HostId> preferredRouters(const std::vector<RouterEntry> &routers,
                                  const EntryPolicy &policy = {});

/// What a router knows of another one, for the directory.
struct RouterHealth {
  /// Heard of lately, or not expected to report.
  bool Responsive = true;
  /// Serves its requests late for lack of processor time.
  bool Overloaded = false;
};

/// Returns the caller addresses for callers of `zone`, best group first:
/// preferred routers of the zone, preferred routers of all zones, routers of
/// the zone, all routers. A group counts its responsive routers; it is skipped
/// while it has fewer than `EntryPolicy::MinAddresses`, or while most of them
/// are overloaded and a later group has others. Without any responsive router
/// all are listed.
std::vector<std::string>
entryAddresses(const std::vector<RouterEntry> &routers, const ZoneId &zone,
               const std::function<RouterHealth(const RouterEntry &)> &health,
               const EntryPolicy &policy = {});

} // namespace nutmegsill::routing
