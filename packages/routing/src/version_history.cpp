#include "nutmegsill/routing/version_history.h"

#include <algorithm>

namespace nutmegsill::routing {

void VersionHistory::setView(const FleetView &view, Time now) {
  HasView = true;
  recordVersions(view, now);
  if (view.Config) {
    recordRoutes(*view.Config, now);
  }
}

void VersionHistory::recordVersions(const FleetView &view, Time now) {
  std::map<PoolId, std::set<std::string>> present;
  for (const KnownTarget &it : view.Targets) {
    present[it.Entry.Pool].insert(it.Entry.Version);
  }
  for (auto &[id, pool] : Pools) {
    for (auto &[version, seen] : pool.Versions) {
      if (seen.Present) {
        seen = {now, false};
      }
    }
  }
  for (const auto &[id, versions] : present) {
    PoolVersions &pool = Pools[id];
    for (const std::string &it : versions) {
      pool.Versions[it] = {now, true};
    }
  }
  for (auto it = Pools.begin(); it != Pools.end();) {
    forget(it->second, now);
    const bool empty =
        it->second.Versions.empty() &&
        now - it->second.ForgottenAt.value_or(Time{}) > Policy.Memory;
    it = empty ? Pools.erase(it) : std::next(it);
  }
}

void VersionHistory::forget(PoolVersions &pool, Time now) const {
  std::erase_if(pool.Versions, [this, now](const auto &it) {
    return !it.second.Present && now - it.second.LastAt > Policy.Memory;
  });
  while (pool.Versions.size() > Policy.MaxVersions) {
    const auto oldest =
        std::min_element(pool.Versions.begin(), pool.Versions.end(),
                         [](const auto &a, const auto &b) {
                           return std::tie(a.second.Present, a.second.LastAt) <
                                  std::tie(b.second.Present, b.second.LastAt);
                         });
    pool.ForgottenAt =
        std::max(pool.ForgottenAt.value_or(Time{}), oldest->second.LastAt);
    pool.Versions.erase(oldest);
  }
}

void VersionHistory::recordRoutes(const ServiceConfig &config, Time now) {
  std::map<std::string, RouteTable> fresh;
  for (const RouteRule &route : config.Routes) {
    RouteTable &table = fresh[route.HostName];
    table.Since = now;
    RouteFacts &facts = table.Routes[{route.Prefix, route.Name}];
    facts.Timeout = route.Timeout;
    for (const PoolWeight &it : route.Pools) {
      facts.Pools.insert(it.Pool);
    }
  }
  for (auto &[hostName, table] : fresh) {
    const auto before = Routes.find(hostName);
    if (before != Routes.end() && before->second.Routes == table.Routes) {
      table.Since = before->second.Since;
    }
  }
  Routes = std::move(fresh);
}

void VersionHistory::setViewAge(Duration age, Time now) {
  if (!HasView || age > Policy.MaxViewAge) {
    Since.reset();
    return;
  }
  const Time asOf = now - age;
  const bool gap = AsOf && asOf - *AsOf > Policy.MaxViewAge;
  AsOf = std::max(AsOf.value_or(asOf), asOf);
  if (!Since || gap) {
    Since = now;
  }
}

SoleVersionDecision VersionHistory::soleVersion(const RouteRule &route,
                                                const PoolId &pool,
                                                Duration span, Time now) const {
  if (!Since || now - *Since < span || span > Policy.Memory) {
    return NoSoleVersion{"starting"};
  }
  if (now - *AsOf > Policy.MaxViewAge) {
    return NoSoleVersion{"not_current"};
  }
  const auto table = Routes.find(route.HostName);
  if (table == Routes.end() || now - table->second.Since < span) {
    return NoSoleVersion{"rerouted"};
  }
  const auto facts = table->second.Routes.find({route.Prefix, route.Name});
  if (facts == table->second.Routes.end() ||
      facts->second.Pools != std::set<PoolId>{pool}) {
    return NoSoleVersion{"rerouted"};
  }
  const auto known = Pools.find(pool);
  if (known == Pools.end()) {
    return NoSoleVersion{"several_versions"};
  }
  for (const auto &[version, seen] : known->second.Versions) {
    if (seen.Present || now - seen.LastAt <= span) {
      if (hasOtherVersion(pool, version, span, now)) {
        break;
      }
      return SoleVersion{version, *AsOf};
    }
  }
  return NoSoleVersion{"several_versions"};
}

bool VersionHistory::hasOtherVersion(const PoolId &pool,
                                     const std::string &version, Duration span,
                                     Time now) const {
  const auto known = Pools.find(pool);
  if (known == Pools.end()) {
    return false;
  }
  const std::optional<Time> forgotten = known->second.ForgottenAt;
  if (forgotten && now - *forgotten <= span) {
    return true;
  }
  return std::any_of(known->second.Versions.begin(),
                     known->second.Versions.end(), [&](const auto &it) {
                       return it.first != version &&
                              (it.second.Present ||
                               now - it.second.LastAt <= span);
                     });
}

} // namespace nutmegsill::routing
