/// Keeps shared prompt parts in the engines of each availability zone.
///
/// Answers the load of prompts whose bodies mostly cross zones: with one engine
/// per shared part in the fleet, of n zones n - 1 in n requests leave theirs.
///
/// The engines of each zone become the homes of the parts that the zone's
/// callers use. A part is read again once in each zone, so a router does not
/// copy it for a single request: while only another zone has it, a fraction of
/// the requests is kept in the zone and the rest crosses, so that the expected
/// cost of crossing before the copy equals that of the copy (ski rental).
#pragma once

#include "nutmegsill/types.h"

#include <map>
#include <random>

namespace nutmegsill::routing {

struct ZoneHomePolicy {
  /// Engines in each zone from which on shared parts are kept by zone; 0:
  /// never. Fewer engines lack the memory for the parts of their zone's
  /// callers, and too few of them have room at a time.
  std::size_t MinEngines = 0;
  /// Cost of an engine in another zone, as a fraction of the request's value:
  /// about a third of what it costs to read the shared parts of a long prompt
  /// again, so that a part that is used three times in its zone is copied.
  double CrossZoneCost = 0.12;
  /// Fraction of the requests that are kept in the zone even though its engines
  /// have to read their parts: the ratio of the two costs.
  double CopyFraction = 0.35;
  /// Cost of an engine in another zone for these requests: above that of
  /// reading the parts, below that of a late response.
  double CopyCrossZoneCost = 0.45;
};

/// Not thread-safe.
class ZoneHomes {
public:
  explicit ZoneHomes(ZoneHomePolicy policy) : Policy(policy) {}

  /// Sets the engines that a view has in each zone.
  void setEngines(const std::map<ZoneId, std::size_t> &engines);
  /// Whether shared parts are kept by zone. Engines that leave for a while
  /// change nothing: their zone is sized for their return.
  bool isActive() const { return Active; }
  /// Cost of sending the next request to another zone.
  double crossZoneCost(std::minstd_rand &random) const;

private:
  ZoneHomePolicy Policy;
  /// Most engines seen at a time.
  std::map<ZoneId, std::size_t> MaxEngines;
  bool Active = false;
};

} // namespace nutmegsill::routing
