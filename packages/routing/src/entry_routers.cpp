#include "nutmegsill/routing/entry_routers.h"

#include <algorithm>
#include <array>

namespace nutmegsill::routing {

namespace {

/// Shares that differ by less are equal.
constexpr double ShareTolerance = 1e-6;

} // namespace

std::set<HostId> preferredRouters(const std::vector<RouterEntry> &routers,
                                  const EntryPolicy &policy) {
  std::vector<const RouterEntry *> bySize;
  bySize.reserve(routers.size());
  double total = 0;
  for (const RouterEntry &it : routers) {
    bySize.push_back(&it);
    total += it.ProcessorShare;
  }
  std::stable_sort(bySize.begin(), bySize.end(),
                   [](const RouterEntry *a, const RouterEntry *b) {
                     return a->ProcessorShare > b->ProcessorShare;
                   });
  std::set<HostId> out;
  double capacity = 0;
  double smallest = 0;
  for (const RouterEntry *it : bySize) {
    const bool enough = out.size() >= policy.MinAddresses &&
                        capacity >= policy.MinCapacityFraction * total;
    if (enough && it->ProcessorShare < smallest - ShareTolerance) {
      break;
    }
    out.insert(it->Host);
    capacity += it->ProcessorShare;
    smallest = it->ProcessorShare;
  }
  return out;
}

std::vector<std::string>
entryAddresses(const std::vector<RouterEntry> &routers, const ZoneId &zone,
               const std::function<RouterHealth(const RouterEntry &)> &health,
               const EntryPolicy &policy) {
  struct Group {
    std::vector<std::string> Addresses;
    std::size_t Overloaded = 0;

    void add(const RouterEntry &router, bool overloaded) {
      Addresses.push_back(router.CallerAddress);
      Overloaded += overloaded ? 1 : 0;
    }
    bool mostOverloaded() const { return 2 * Overloaded > Addresses.size(); }
  };
  const std::set<HostId> preferred = preferredRouters(routers, policy);
  std::array<Group, 4> groups;
  for (const RouterEntry &it : routers) {
    const RouterHealth state = health(it);
    if (!state.Responsive) {
      continue;
    }
    const bool inZone = it.Zone == zone;
    const bool isPreferred = preferred.count(it.Host) != 0;
    if (inZone && isPreferred) {
      groups[0].add(it, state.Overloaded);
    }
    if (isPreferred) {
      groups[1].add(it, state.Overloaded);
    }
    if (inZone) {
      groups[2].add(it, state.Overloaded);
    }
    groups[3].add(it, state.Overloaded);
  }
  const Group *fallback = nullptr;
  for (const Group &it : groups) {
    if (it.Addresses.size() < policy.MinAddresses) {
      continue;
    }
    if (!it.mostOverloaded()) {
      return it.Addresses;
    }
    fallback = fallback == nullptr ? &it : fallback;
  }
  if (fallback != nullptr) {
    return fallback->Addresses;
  }
  if (!groups.back().Addresses.empty()) {
    return groups.back().Addresses;
  }
  std::vector<std::string> all;
  all.reserve(routers.size());
  for (const RouterEntry &it : routers) {
    all.push_back(it.CallerAddress);
  }
  return all;
}

} // namespace nutmegsill::routing
