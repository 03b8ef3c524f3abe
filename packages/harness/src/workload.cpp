#include "workload.h"

#include <algorithm>

namespace nutmegsill::harness {

namespace {

constexpr double MicrosPerMilli = 1000.0;

} // namespace

Workload::Workload(VirtualFleet &fleet, PoolId pool,
                   std::vector<TeamLoad> loads, std::uint64_t seed, Time from,
                   Time until)
    : Fleet(fleet), Pool(std::move(pool)), Loads(std::move(loads)),
      Random(seed), Until(until), NextEntry(Loads.size(), 0) {
  Fleet.OnCallEnd = [this](std::size_t call) {
    const auto it = LoadOfCall.find(call);
    if (it == LoadOfCall.end() || Fleet.now() >= Until) {
      return;
    }
    const std::size_t load = it->second;
    LoadOfCall.erase(it);
    // After a pause, so that a refusal does not repeat without end.
    Fleet.at(Fleet.now() + milliseconds(1), [this, load] { send(load); });
  };
  for (std::size_t i = 0; i < Loads.size(); ++i) {
    for (std::uint32_t n = 0; n < Loads[i].Outstanding; ++n) {
      Fleet.at(from, [this, i] { send(i); });
    }
    if (Loads[i].Rate > 0) {
      Fleet.at(from, [this, i] { sendAtRate(i); });
    }
  }
}

void Workload::send(std::size_t index) {
  const TeamLoad &load = Loads[index];
  const std::size_t entry = NextEntry[index]++ % load.Entries.size();
  const std::uint64_t span =
      static_cast<std::uint64_t>(load.Most.Units - load.Least.Units + 1);
  CallPlan call;
  call.Entry = load.Entries[entry];
  call.Team = load.Team;
  call.Pool = Pool;
  call.Work =
      Cost{load.Least.Units + static_cast<std::int64_t>(Random() % span)};
  const std::size_t id = Fleet.submit(call);
  const bool open = Fleet.history().Calls[id].End == CallEnd::Open;
  if (load.Outstanding > 0 && open) {
    LoadOfCall[id] = index;
  } else if (load.Outstanding > 0) {
    Fleet.at(Fleet.now() + milliseconds(50), [this, index] {
      if (Fleet.now() < Until) {
        send(index);
      }
    });
  }
}

void Workload::sendAtRate(std::size_t index) {
  if (Fleet.now() >= Until) {
    return;
  }
  const std::uint32_t outstanding = Loads[index].Outstanding;
  Loads[index].Outstanding = 0;
  send(index);
  Loads[index].Outstanding = outstanding;
  // Even draws from half to one and a half of the mean interval.
  const double mean = 1e6 / Loads[index].Rate;
  const double part = 0.5 + static_cast<double>(Random() % 1000) / 1000.0;
  Fleet.at(Fleet.now() + Duration(static_cast<std::int64_t>(mean * part)),
           [this, index] { sendAtRate(index); });
}

Percentiles percentilesOf(std::vector<double> values) {
  if (values.empty()) {
    return {};
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](std::size_t percent) {
    return values[std::min(values.size() - 1, values.size() * percent / 100)];
  };
  return {at(50), at(95), at(99)};
}

Report makeReport(VirtualFleet &fleet, const PoolId &pool,
                  const std::vector<TeamLoad> &loads, std::uint32_t slots,
                  Time from, Time until) {
  Report report;
  const History &history = fleet.history();
  std::map<std::size_t, Time> started;
  for (const RunRecord &run : history.Runs) {
    started.emplace(run.Call, run.StartedAt);
    report.Runs += from <= run.StartedAt && run.StartedAt < until ? 1 : 0;
  }
  std::map<TeamId, std::vector<double>> waits;
  for (std::size_t i = 0; i < history.Calls.size(); ++i) {
    const CallRecord &call = history.Calls[i];
    if (call.Pool != pool || call.SubmittedAt < from ||
        until <= call.SubmittedAt) {
      continue;
    }
    TeamReport &team = report.Teams[call.Team];
    team.Complete += call.End == CallEnd::Complete ? 1 : 0;
    team.NotRun += call.End == CallEnd::NotRun ? 1 : 0;
    team.Unknown += call.End == CallEnd::Unknown ? 1 : 0;
    team.Cut += call.End == CallEnd::Cut ? 1 : 0;
    const auto start = started.find(i);
    if (start != started.end()) {
      const Duration wait = start->second - call.SubmittedAt;
      waits[call.Team].push_back(static_cast<double>(wait.count()) /
                                 MicrosPerMilli);
    }
  }
  for (const ServiceRecord &it : history.Services) {
    if (it.Pool == pool && from <= it.At && it.At < until) {
      report.Teams[it.Team].Service.Units += it.Work.Units;
    }
  }
  std::map<TeamId, std::uint32_t> weights;
  for (const TeamLoad &load : loads) {
    if (load.Outstanding > 0) {
      weights[load.Team] = load.Weight;
    }
  }
  for (auto &[id, team] : report.Teams) {
    team.Wait = percentilesOf(waits[id]);
  }
  report.Gap = largestGap(history, pool, weights, from, until);
  const Duration all = (until - from) * slots;
  report.Idle =
      static_cast<double>(fleet.idleWhileWaiting(pool, from, until).count()) /
      static_cast<double>(all.count());
  report.Messages = fleet.messages();
  std::uint64_t bytes = 0;
  for (const auto &[type, traffic] : report.Messages) {
    bytes += traffic.Bytes;
  }
  report.BytesPerRun = report.Runs == 0 ? 0
                                        : static_cast<double>(bytes) /
                                              static_cast<double>(report.Runs);
  return report;
}

VirtualService gapBound(const GapSettings &settings, std::uint32_t weightI,
                        std::uint32_t weightJ) {
  const Duration age = settings.Limits.UsageInterval +
                       settings.Limits.DemandRefresh + 4 * settings.MostDelay;
  const std::int64_t slots = settings.Slots;
  const std::int64_t inFlight = slots * settings.LargestRequest.Units;
  const std::int64_t unseen = slots * age.count() / settings.UnitTime.count();
  const Cost cost{inFlight + unseen};
  return perWeight(cost, weightI) + perWeight(cost, weightJ);
}

VirtualPlan todaysFleet(unsigned routers, unsigned targets, unsigned slots,
                        std::uint64_t seed) {
  VirtualPlan plan;
  plan.Seed = seed;
  const std::vector<ZoneId> zones{ZoneId{"suva-a"}, ZoneId{"nadi-b"},
                                  ZoneId{"lautoka-c"}};
  for (unsigned i = 0; i < routers; ++i) {
    plan.Hosts.emplace_back(HostId{"entry-" + std::to_string(i + 1)},
                            zones[i % zones.size()]);
  }
  const PoolId pool{"captions"};
  plan.Pools[pool] =
      PoolConfig{PoolKindOf::Model, "", Cost{30}, milliseconds(120'000)};
  for (unsigned i = 0; i < targets; ++i) {
    plan.Targets.push_back({TargetId{"captions-" + std::to_string(i + 1)}, pool,
                            zones[i % zones.size()], slots, 1,
                            milliseconds(1000), false});
  }
  return plan;
}

} // namespace nutmegsill::harness
