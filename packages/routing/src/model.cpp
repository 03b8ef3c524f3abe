#include "nutmegsill/routing/model.h"

#include <algorithm>

namespace nutmegsill::routing {

const char *executionSemanticsName(ExecutionSemantics semantics) {
  switch (semantics) {
  case ExecutionSemantics::Idempotent:
    return "idempotent";
  case ExecutionSemantics::AtMostOnce:
    return "at_most_once";
  case ExecutionSemantics::Stream:
    return "stream";
  }
  return "unknown";
}

void ServiceConfig::buildIndex() {
  RoutesByHostName.clear();
  TeamsByApiKey.clear();
  for (std::size_t i = 0; i < Routes.size(); ++i) {
    RoutesByHostName[Routes[i].HostName].push_back(i);
  }
  for (auto &[host, list] : RoutesByHostName) {
    std::stable_sort(list.begin(), list.end(),
                     [this](std::size_t a, std::size_t b) {
                       return Routes[a].Prefix.size() > Routes[b].Prefix.size();
                     });
  }
  for (std::size_t i = 0; i < Teams.size(); ++i) {
    for (const std::string &key : Teams[i].ApiKeys) {
      TeamsByApiKey.emplace(key, i);
    }
  }
}

const RouteRule *ServiceConfig::findRoute(std::string_view hostName,
                                          std::string_view path) const {
  const auto it = RoutesByHostName.find(hostName);
  if (it == RoutesByHostName.end()) {
    return nullptr;
  }
  for (const std::size_t i : it->second) {
    if (path.substr(0, Routes[i].Prefix.size()) == Routes[i].Prefix) {
      return &Routes[i];
    }
  }
  return nullptr;
}

const TeamRule *ServiceConfig::findTeamByApiKey(std::string_view key) const {
  const auto it = TeamsByApiKey.find(key);
  return it == TeamsByApiKey.end() ? nullptr : &Teams[it->second];
}

const PoolRule *ServiceConfig::findPool(const PoolId &id) const {
  const auto it = Pools.find(id);
  return it == Pools.end() ? nullptr : &it->second;
}

} // namespace nutmegsill::routing
