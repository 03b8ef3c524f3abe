#include "nutmegsill/routing/peer_loads.h"

#include <algorithm>
#include <set>

namespace nutmegsill::routing {

namespace {

/// Routers report at least every 0.72 s (`reportIntervals`).
constexpr Duration MaxReportSilence = std::chrono::seconds(1);

} // namespace

void PeerLoads::receiveReport(const HostId &peer, LoadReport report, Time now) {
  report.PromptsSent.clear();
  report.Quarantine = {};
  report.Statements.clear();
  report.TargetStates.clear();
  const auto old = Reports.find(peer);
  if (old != Reports.end()) {
    subtract(old->second.Report);
  }
  // The reports in use have no router in common; that changes only with the
  // routers that one of them includes.
  if (old == Reports.end() ||
      old->second.Report.IncludedHosts != report.IncludedHosts) {
    dropOverlapping(peer, report);
  }
  for (const TargetLoad &it : report.Targets) {
    TotalLoad &sum = TargetTotals[it.Target];
    sum.PrefillTokens += it.PrefillTokens;
    sum.RunningRequests += it.RunningRequests;
  }
  Reports[peer] = ReceivedReport{std::move(report), now};
}

void PeerLoads::dropOverlapping(const HostId &peer, const LoadReport &report) {
  std::set<HostId> included(report.IncludedHosts.begin(),
                            report.IncludedHosts.end());
  included.insert(peer);
  for (auto it = Reports.begin(); it != Reports.end();) {
    const auto &[host, received] = *it;
    const std::vector<HostId> &others = received.Report.IncludedHosts;
    const bool overlaps =
        host != peer &&
        (included.count(host) != 0 ||
         std::any_of(others.begin(), others.end(), [&](const HostId &other) {
           return included.count(other) != 0;
         }));
    if (!overlaps) {
      ++it;
      continue;
    }
    subtract(received.Report);
    it = Reports.erase(it);
  }
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
    if (isCurrent(it->second, now)) {
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

PoolServiceSums PeerLoads::poolServices(Time now) const {
  PoolServiceSums out;
  for (const auto &[peer, received] : Reports) {
    if (isCurrent(received, now)) {
      out.add(received.Report.PoolServices, now - received.ReceivedAt);
    }
  }
  return out;
}

bool PeerLoads::hasReports(Time now) const {
  return std::any_of(Reports.begin(), Reports.end(), [now](const auto &it) {
    return now - it.second.ReceivedAt <= MaxReportSilence;
  });
}

Duration PeerLoads::oldestReportAge(Time now) const {
  Duration out{0};
  for (const auto &[peer, received] : Reports) {
    out = std::max<Duration>(out, now - received.ReceivedAt);
  }
  return out;
}

LoadReport PeerLoads::aggregateWith(LoadReport own,
                                    const std::vector<HostId> &peers,
                                    Time now) const {
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
  PoolServiceSums services;
  services.add(own.PoolServices, Duration{0});
  for (const HostId &peer : peers) {
    const auto it = Reports.find(peer);
    if (it != Reports.end()) {
      add(it->second.Report);
      services.add(it->second.Report.PoolServices, now - it->second.ReceivedAt);
      own.IncludedHosts.push_back(peer);
      own.OverloadedHosts.insert(own.OverloadedHosts.end(),
                                 it->second.Report.OverloadedHosts.begin(),
                                 it->second.Report.OverloadedHosts.end());
      own.Spare.insert(own.Spare.end(), it->second.Report.Spare.begin(),
                       it->second.Report.Spare.end());
    }
  }
  own.PoolServices = services.list();
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
