#include "nutmegsill/routing/target_statements.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Requests that a router may send at once.
constexpr double MaxCredit = 2;
/// Demand below which a limit is not reported, in requests per second.
constexpr double MinReportedDemand = 0.05;

void recordChange(std::vector<FleetChange> &changes, const char *event,
                  const TargetProcess &process, const std::string &rate,
                  const char *source) {
  changes.push_back({event,
                     {{"target", process.Target.Text},
                      {"started_at_ms", std::to_string(process.StartedAtMs)},
                      {"requests_per_s", rate},
                      {"source", source}}});
}

} // namespace

void TargetStatements::setFleet(const std::set<TargetProcess> &known,
                                std::size_t routers, Time now) {
  Routers = std::max<std::size_t>(1, routers);
  std::erase_if(Targets, [&](const auto &it) {
    const auto &[process, target] = it;
    const bool kept =
        target.Leaving && now - target.ChangedAt <= Policy.LeavingMemory;
    return known.count(process) == 0 && !kept;
  });
}

void TargetStatements::setRate(const TargetProcess &process,
                               std::optional<double> rate, Time heardAt,
                               const char *source, Time now) {
  Target &target = Targets[process];
  target.HeardAt = heardAt;
  if (target.Rate == rate) {
    return;
  }
  if (!target.Rate) {
    // Routers with few requests each do not send their first at the same time.
    const std::uint64_t hash = rendezvousWeight(Self, process.Target.Text);
    target.Credit = std::ldexp(static_cast<double>(hash), -64);
  }
  const double value = rate ? *rate : target.Rate.value_or(0);
  recordChange(Changes, rate ? "limit_stated" : "limit_ended", process,
               std::to_string(value), source);
  target.Rate = rate;
  target.ChangedAt = now;
}

void TargetStatements::setLeaving(const TargetProcess &process,
                                  const char *source, Time now) {
  Target &target = Targets[process];
  if (!target.Leaving) {
    target.Leaving = true;
    target.ChangedAt = now;
    recordChange(Changes, "target_leaving", process, "", source);
  }
}

void TargetStatements::setPause(Target &target, const TargetProcess &process,
                                Duration pause, Time now) {
  const Time until = now + std::min(pause, Policy.MaxPause);
  if (until > target.PausedUntil) {
    Changes.push_back({"target_paused",
                       {{"target", process.Target.Text},
                        {"started_at_ms", std::to_string(process.StartedAtMs)},
                        {"pause_ms", std::to_string(toMilliseconds(pause))}}});
    target.PausedUntil = until;
    target.TrialDue = true;
  }
}

bool TargetStatements::isOpen(const TargetProcess &process, Time now) const {
  const auto it = Targets.find(process);
  return it == Targets.end() ||
         (!it->second.Leaving && now >= it->second.PausedUntil &&
          now >= it->second.TrialUntil);
}

std::optional<Duration> TargetStatements::pauseOf(const TargetProcess &process,
                                                  Time now) const {
  const auto it = Targets.find(process);
  if (it == Targets.end() || it->second.Leaving) {
    return std::nullopt;
  }
  const Time until = std::max(it->second.PausedUntil, it->second.TrialUntil);
  return until > now ? std::optional(until - now) : std::nullopt;
}

void TargetStatements::hear(const TargetProcess &process,
                            const TargetStatement &statement, Time sentAt,
                            Time now) {
  if (statement.Leaving) {
    setLeaving(process, "response", now);
  }
  const auto paused = Targets.find(process);
  if (paused != Targets.end() && sentAt >= paused->second.PausedUntil) {
    paused->second.TrialUntil = Time{};
  }
  if (statement.Pause) {
    setPause(Targets[process], process, *statement.Pause, now);
  }
  if (!statement.InvalidPause.empty()) {
    Target &target = Targets[process];
    if (!target.InvalidLogged) {
      target.InvalidLogged = true;
      recordChange(Changes, "pause_invalid", process, statement.InvalidPause,
                   "response");
    }
  }
  if (!statement.InvalidRate.empty()) {
    Target &target = Targets[process];
    if (!target.InvalidLogged) {
      target.InvalidLogged = true;
      recordChange(Changes, "limit_invalid", process, statement.InvalidRate,
                   "response");
    }
  }
  if (statement.RequestRate) {
    setRate(process, statement.RequestRate, now, "response", now);
    return;
  }
  const auto known = Targets.find(process);
  // A response to an earlier request may be older than the statement.
  const bool ended = known != Targets.end() && known->second.Rate &&
                     statement.InvalidRate.empty() &&
                     sentAt > known->second.HeardAt;
  if (ended) {
    setRate(process, std::nullopt, now, "response", now);
  }
}

void TargetStatements::receive(const HostId &peer,
                               std::vector<StatementReport> report, Time now) {
  LastReportAt = now;
  const auto old = Peers.find(peer);
  if (old != Peers.end()) {
    subtract(old->second);
  } else if (report.empty()) {
    return;
  }
  for (const StatementReport &it : report) {
    if (it.Leaving) {
      setLeaving(it.Process, "peer", now);
    }
    const Time heardAt = now - it.Age;
    const auto known = Targets.find(it.Process);
    const bool isNews =
        known == Targets.end()
            ? it.Rate.has_value()
            : known->second.Rate != it.Rate &&
                  heardAt > known->second.HeardAt + Policy.MinNewer;
    if (isNews) {
      setRate(it.Process, it.Rate, heardAt, "peer", now);
    }
    const auto target = Targets.find(it.Process);
    if (target != Targets.end()) {
      target->second.PeerDemand += it.Demand;
      target->second.PeerSent += it.Sent;
    }
  }
  Peers[peer] = PeerReport{std::move(report), now};
}

void TargetStatements::subtract(const PeerReport &report) {
  for (const StatementReport &it : report.Statements) {
    const auto target = Targets.find(it.Process);
    if (target != Targets.end()) {
      target->second.PeerDemand =
          std::max(0.0, target->second.PeerDemand - it.Demand);
      target->second.PeerSent -= std::min(target->second.PeerSent, it.Sent);
    }
  }
}

void TargetStatements::expirePeers(Time now) {
  for (auto it = Peers.begin(); it != Peers.end();) {
    if (now - it->second.ReceivedAt <= Policy.PeerMemory) {
      ++it;
      continue;
    }
    subtract(it->second);
    it = Peers.erase(it);
  }
}

double TargetStatements::allowedFraction(Target &target, Time now) const {
  const double own = target.Demand.rate(now);
  const bool peersKnown = now - target.ChangedAt >= Policy.ReportDelay &&
                          now - LastReportAt < Policy.PeerMemory;
  const double assumed =
      peersKnown ? 0 : own * static_cast<double>(Routers - 1);
  const double all = own + std::max(assumed, target.PeerDemand);
  return std::max(Policy.MinRate, *target.Rate) / std::max(all, 1e-6);
}

std::uint32_t TargetStatements::countSent(Target &target, Time now) const {
  while (!target.SentAt.empty() &&
         target.SentAt.front() + Policy.Window <= now) {
    target.SentAt.pop_front();
  }
  return static_cast<std::uint32_t>(target.SentAt.size());
}

bool TargetStatements::hasRoom(Target &target, Time now) const {
  const double all = countSent(target, now) + target.PeerSent;
  const auto recent = std::upper_bound(
      target.SentAt.begin(), target.SentAt.end(), now - Policy.BurstWindow);
  const double ownRecent =
      static_cast<double>(std::distance(recent, target.SentAt.end()));
  return all <= *target.Rate * toSeconds(Policy.Window) &&
         ownRecent <= *target.Rate * toSeconds(Policy.BurstWindow);
}

bool TargetStatements::offer(const TargetProcess &process, Time now,
                             double weight) {
  Target &target = Targets[process];
  target.Demand.add(weight, now);
  if (target.Rate && !takeCredit(target, now, weight)) {
    return false;
  }
  if (target.TrialDue) {
    target.TrialDue = false;
    target.TrialUntil = now + Policy.MaxTrialTime;
  }
  return true;
}

bool TargetStatements::takeCredit(Target &target, Time now, double weight) {
  const double allowed = std::min(1.0, weight * allowedFraction(target, now));
  target.Credit = std::min(MaxCredit, target.Credit + allowed);
  if (target.Credit < 1 || !hasRoom(target, now)) {
    return false;
  }
  target.Credit -= 1;
  target.SentAt.push_back(now);
  return true;
}

std::optional<double> TargetStatements::ownRate(const TargetProcess &process,
                                                Time now) {
  const auto it = Targets.find(process);
  if (it == Targets.end() || !it->second.Rate) {
    return std::nullopt;
  }
  const double fraction = std::min(1.0, allowedFraction(it->second, now));
  return it->second.Demand.rate(now) * fraction;
}

std::optional<double>
TargetStatements::statedRate(const TargetProcess &process) const {
  const auto it = Targets.find(process);
  return it == Targets.end() ? std::nullopt : it->second.Rate;
}

std::vector<StatementReport> TargetStatements::ownReport(Time now) {
  expirePeers(now);
  std::vector<StatementReport> out;
  for (auto &[process, target] : Targets) {
    StatementReport entry;
    entry.Process = process;
    entry.Rate = target.Rate;
    entry.Age = now - target.HeardAt;
    entry.Demand = target.Demand.rate(now);
    entry.Sent = countSent(target, now);
    entry.Leaving = target.Leaving;
    const bool inUse =
        target.Rate && (entry.Demand >= MinReportedDemand || entry.Sent > 0);
    const bool isNew = target.ChangedAt != Time{} &&
                       now - target.ChangedAt < Policy.ChangeMemory;
    if (inUse || isNew) {
      out.push_back(std::move(entry));
    }
  }
  return out;
}

std::vector<StatementReport>
TargetStatements::groupReport(const std::vector<StatementReport> &own,
                              const std::vector<HostId> &peers,
                              Time now) const {
  std::map<TargetProcess, StatementReport> sums;
  for (const StatementReport &it : own) {
    sums[it.Process] = it;
  }
  for (const HostId &peer : peers) {
    const auto report = Peers.find(peer);
    if (report == Peers.end()) {
      continue;
    }
    for (const StatementReport &it : report->second.Statements) {
      const auto known = Targets.find(it.Process);
      if (known == Targets.end()) {
        continue;
      }
      StatementReport &sum = sums[it.Process];
      sum.Process = it.Process;
      sum.Rate = known->second.Rate;
      sum.Age = now - known->second.HeardAt;
      sum.Demand += it.Demand;
      sum.Sent += it.Sent;
      sum.Leaving = known->second.Leaving;
    }
  }
  std::vector<StatementReport> out;
  out.reserve(sums.size());
  for (auto &[process, sum] : sums) {
    out.push_back(std::move(sum));
  }
  return out;
}

std::vector<FleetChange> TargetStatements::takeChanges() {
  std::vector<FleetChange> out;
  out.swap(Changes);
  return out;
}

} // namespace nutmegsill::routing
