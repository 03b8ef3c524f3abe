#include "nutmegsill/routing/peer_loads.h"

#include <algorithm>

namespace nutmegsill::routing {

void PeerLoads::hear(const HostId &peer, LoadReport report, Time now) {
  report.Sent.clear();
  const auto old = Peers.find(peer);
  if (old != Peers.end()) {
    subtract(old->second.Load);
  }
  for (const TargetLoad &it : report.Targets) {
    Sum &sum = Sums[it.Target];
    sum.PrefillTokens += it.PrefillTokens;
    sum.Running += it.Running;
  }
  Peers[peer] = Heard{std::move(report), now};
  ++Version;
}

void PeerLoads::subtract(const LoadReport &report) {
  for (const TargetLoad &it : report.Targets) {
    const auto sum = Sums.find(it.Target);
    if (sum == Sums.end()) {
      continue;
    }
    sum->second.PrefillTokens -= it.PrefillTokens;
    sum->second.Running -= it.Running;
    if (sum->second.PrefillTokens == 0 && sum->second.Running == 0) {
      Sums.erase(sum);
    }
  }
}

void PeerLoads::expire(Time now) {
  for (auto it = Peers.begin(); it != Peers.end();) {
    if (now - it->second.At <= Life) {
      ++it;
      continue;
    }
    subtract(it->second.Load);
    it = Peers.erase(it);
    ++Version;
  }
}

PeerLoads::Sum PeerLoads::at(const TargetId &target) const {
  const auto it = Sums.find(target);
  return it == Sums.end() ? Sum{} : it->second;
}

std::map<TeamId, TeamRate> PeerLoads::teams() const {
  std::map<TeamId, TeamRate> out;
  for (const auto &[peer, heard] : Peers) {
    for (const TeamTraffic &it : heard.Load.Teams) {
      out[it.Team].Asked += it.Rate.Asked;
      out[it.Team].Served += it.Rate.Served;
    }
  }
  return out;
}

Duration PeerLoads::oldest(Time now) const {
  Duration out{0};
  for (const auto &[peer, heard] : Peers) {
    out = std::max<Duration>(out, now - heard.At);
  }
  return out;
}

LoadReport PeerLoads::sumWith(LoadReport own,
                              const std::vector<HostId> &peers) const {
  std::map<TargetId, TargetLoad> targets;
  std::map<TeamId, TeamRate> teams;
  const auto add = [&targets, &teams](const LoadReport &report) {
    for (const TargetLoad &it : report.Targets) {
      TargetLoad &sum = targets[it.Target];
      sum.PrefillTokens += it.PrefillTokens;
      sum.Running += it.Running;
    }
    for (const TeamTraffic &it : report.Teams) {
      teams[it.Team].Asked += it.Rate.Asked;
      teams[it.Team].Served += it.Rate.Served;
    }
  };
  add(own);
  for (const HostId &peer : peers) {
    const auto it = Peers.find(peer);
    if (it != Peers.end()) {
      add(it->second.Load);
      own.Hosts.push_back(peer);
    }
  }
  own.Targets.clear();
  for (auto &[id, load] : targets) {
    load.Target = id;
    own.Targets.push_back(load);
  }
  own.Teams.clear();
  for (const auto &[id, rate] : teams) {
    own.Teams.push_back({id, rate});
  }
  return own;
}

} // namespace nutmegsill::routing
