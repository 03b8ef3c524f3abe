#include "nutmegsill/routing/model.h"

#include <algorithm>

namespace nutmegsill::routing {

const char *repeatabilityName(Repeatability kind) {
  switch (kind) {
  case Repeatability::Idempotent:
    return "idempotent";
  case Repeatability::AtMostOnce:
    return "at_most_once";
  case Repeatability::Stream:
    return "stream";
  }
  return "unknown";
}

void ServiceConfig::index() {
  ByHost.clear();
  ByKey.clear();
  for (std::size_t i = 0; i < Routes.size(); ++i) {
    ByHost[Routes[i].HostName].push_back(i);
  }
  for (auto &[host, list] : ByHost) {
    std::stable_sort(list.begin(), list.end(),
                     [this](std::size_t a, std::size_t b) {
                       return Routes[a].Prefix.size() > Routes[b].Prefix.size();
                     });
  }
  for (std::size_t i = 0; i < Teams.size(); ++i) {
    for (const std::string &key : Teams[i].Keys) {
      ByKey.emplace(key, i);
    }
  }
}

const RouteRule *ServiceConfig::routeFor(std::string_view hostName,
                                         std::string_view path) const {
  const auto it = ByHost.find(hostName);
  if (it == ByHost.end()) {
    return nullptr;
  }
  for (const std::size_t i : it->second) {
    if (path.substr(0, Routes[i].Prefix.size()) == Routes[i].Prefix) {
      return &Routes[i];
    }
  }
  return nullptr;
}

const TeamRule *ServiceConfig::teamOfKey(std::string_view key) const {
  const auto it = ByKey.find(key);
  return it == ByKey.end() ? nullptr : &Teams[it->second];
}

const PoolRule *ServiceConfig::pool(const PoolId &id) const {
  const auto it = Pools.find(id);
  return it == Pools.end() ? nullptr : &it->second;
}

} // namespace nutmegsill::routing
