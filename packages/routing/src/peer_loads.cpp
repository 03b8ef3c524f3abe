#include "nutmegsill/routing/peer_loads.h"

#include <algorithm>

namespace nutmegsill::routing {

void PeerLoads::receiveReport(const HostId &peer, LoadReport report, Time now) {
  report.PromptsSent.clear();
  report.Quarantine = {};
  report.Statements.clear();
  report.TargetStates.clear();
  const auto old = Reports.find(peer);
  if (old != Reports.end()) {
    subtract(old->second.Report);
  }
  for (const TargetLoad &it : report.Targets) {
    TotalLoad &sum = TargetTotals[it.Target];
    sum.PrefillTokens += it.PrefillTokens;
    sum.RunningRequests += it.RunningRequests;
  }
  Reports[peer] = ReceivedReport{std::move(report), now};
}

void PeerLoads::subtract(const LoadReport &report) {
  for (const TargetLoad &it : report.Targets) {
    const auto sum = TargetTotals.find(it.Target);
    if (sum == TargetTotals.end()) {
      continue;
    }
    sum->second.PrefillTokens -= it.PrefillTokens;
    sum->second.RunningRequests -= it.RunningRequests;
    if (sum->second.PrefillTokens == 0 && sum->second.RunningRequests == 0) {
      TargetTotals.erase(sum);
    }
  }
}

void PeerLoads::expire(Time now) {
  for (auto it = Reports.begin(); it != Reports.end();) {
    if (now - it->second.ReceivedAt <= MaxReportAge) {
      ++it;
      continue;
    }
    subtract(it->second.Report);
    it = Reports.erase(it);
  }
}

PeerLoads::TotalLoad PeerLoads::loadOf(const TargetId &target) const {
  const auto it = TargetTotals.find(target);
  return it == TargetTotals.end() ? TotalLoad{} : it->second;
}

std::map<TeamId, TeamRate> PeerLoads::teamRates() const {
  std::map<TeamId, TeamRate> out;
  for (const auto &[peer, received] : Reports) {
    for (const TeamTraffic &it : received.Report.Teams) {
      out[it.Team].Requested += it.Rate.Requested;
      out[it.Team].Served += it.Rate.Served;
    }
  }
  return out;
}

Duration PeerLoads::oldestReportAge(Time now) const {
  Duration out{0};
  for (const auto &[peer, received] : Reports) {
    out = std::max<Duration>(out, now - received.ReceivedAt);
  }
  return out;
}

LoadReport PeerLoads::aggregateWith(LoadReport own,
                                    const std::vector<HostId> &peers) const {
  std::map<TargetId, TargetLoad> targets;
  std::map<TeamId, TeamRate> teams;
  const auto add = [&targets, &teams](const LoadReport &report) {
    for (const TargetLoad &it : report.Targets) {
      TargetLoad &sum = targets[it.Target];
      sum.PrefillTokens += it.PrefillTokens;
      sum.RunningRequests += it.RunningRequests;
    }
    for (const TeamTraffic &it : report.Teams) {
      teams[it.Team].Requested += it.Rate.Requested;
      teams[it.Team].Served += it.Rate.Served;
    }
  };
  add(own);
  for (const HostId &peer : peers) {
    const auto it = Reports.find(peer);
    if (it != Reports.end()) {
      add(it->second.Report);
      own.IncludedHosts.push_back(peer);
      own.OverloadedHosts.insert(own.OverloadedHosts.end(),
                                 it->second.Report.OverloadedHosts.begin(),
                                 it->second.Report.OverloadedHosts.end());
      own.Spare.insert(own.Spare.end(), it->second.Report.Spare.begin(),
                       it->second.Report.Spare.end());
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
