#include "experiment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmegsill::harness {

using nlohmann::json;

namespace {

Duration secondsFrom(const json &value) {
  return Duration(static_cast<std::int64_t>(value.get<double>() * 1e6));
}

TeamLoad readLoad(const json &value, const VirtualPlan &plan) {
  TeamLoad load;
  load.Team = TeamId{value.at("name").get<std::string>()};
  load.Weight = value.value("weight", 1U);
  load.Outstanding = value.value("outstanding", 0U);
  load.Rate = value.value("rate", 0.0);
  const json cost = value.value("cost", json::array({5, 60}));
  load.Least = Cost{cost.at(0).get<std::int64_t>()};
  load.Most = Cost{cost.at(1).get<std::int64_t>()};
  const json entries = value.value("entries", json::array());
  for (const json &it : entries) {
    load.Entries.push_back(plan.Hosts.at(it.get<std::size_t>()).first);
  }
  if (load.Entries.empty()) {
    for (const auto &[host, zone] : plan.Hosts) {
      load.Entries.push_back(host);
    }
  }
  return load;
}

void readTiming(const json &value, Timing &out) {
  const auto read = [&value](const char *name, Duration &time) {
    if (value.contains(name)) {
      time = milliseconds(value[name].get<std::int64_t>());
    }
  };
  read("heartbeat_ms", out.Heartbeat);
  read("promise_life_ms", out.PromiseLife);
  read("suspect_after_ms", out.SuspectAfter);
  read("widen_after_ms", out.WidenAfter);
  read("demand_refresh_ms", out.DemandRefresh);
  read("usage_interval_ms", out.UsageInterval);
  out.FirstWidth = value.value("first_width", out.FirstWidth);
  out.MaxWidth = value.value("max_width", out.MaxWidth);
}

Experiment readExperiment(const json &root) {
  Experiment result;
  const unsigned targets = root.value("targets", 12U);
  const unsigned slots = root.value("slots", 4U);
  result.Plan = todaysFleet(root.value("routers", 9U), targets, slots,
                            root.value("seed", 1U));
  result.Slots = targets * slots;
  result.Plan.UnitTime = Duration(root.value("unit_time_us", 2000));
  result.Plan.LeastDelay = Duration(root.value("least_delay_us", 1000));
  result.Plan.MostDelay = Duration(root.value("most_delay_us", 5000));
  result.Plan.TickInterval = milliseconds(root.value("tick_ms", 20));
  readTiming(root.value("timing", json::object()), result.Plan.Limits);
  result.From = secondsFrom(root.value("from_s", json(20)));
  result.Until = secondsFrom(root.value("until_s", json(60)));
  for (const json &it : root.at("teams")) {
    TeamLoad load = readLoad(it, result.Plan);
    const unsigned copies = it.value("copies", 1U);
    const std::string name = load.Team.Text;
    for (unsigned i = 0; i < copies; ++i) {
      load.Team = TeamId{copies == 1 ? name : name + "-" + std::to_string(i)};
      result.Plan.Teams[load.Team].Weight = load.Weight;
      result.Plan.Teams[load.Team].QueueLimit = it.value("queue_limit", 1000U);
      result.Loads.push_back(load);
    }
  }
  for (const json &it : root.value("disturbances", json::array())) {
    result.Disturbances.push_back(
        {secondsFrom(it.at("at_s")), secondsFrom(it.value("for_s", json(0))),
         it.at("kind").get<std::string>(), it.value("name", std::string())});
  }
  return result;
}

/// All routers of the zone stop at once, and its targets with them.
void darken(VirtualFleet &fleet, const VirtualPlan &plan,
            const Disturbance &it) {
  for (const auto &[host, zone] : plan.Hosts) {
    if (zone.Text != it.Name) {
      continue;
    }
    const HostId id = host;
    fleet.kill(id);
    fleet.listHost(id, false);
    fleet.at(fleet.now() + it.For, [&fleet, id] {
      fleet.start(id);
      fleet.listHost(id, true);
    });
  }
  for (const TargetPlan &target : plan.Targets) {
    if (target.Zone.Text == it.Name) {
      fleet.makeCold(target.Id);
      fleet.refuseWork(target.Id, it.For);
    }
  }
}

void disturb(VirtualFleet &fleet, const VirtualPlan &plan,
             const Disturbance &it) {
  const HostId host{it.Name};
  if (it.Kind == "zone_out") {
    fleet.configure({ZoneId{it.Name}}, {});
    fleet.at(fleet.now() + it.For, [&fleet] { fleet.configure({}, {}); });
  } else if (it.Kind == "zone_dark") {
    darken(fleet, plan, it);
  } else if (it.Kind == "kill") {
    fleet.kill(host);
    fleet.listHost(host, false);
    fleet.at(fleet.now() + it.For, [&fleet, host] {
      fleet.start(host);
      fleet.listHost(host, true);
    });
  } else if (it.Kind == "stop") {
    fleet.stop(host);
  } else if (it.Kind == "pause") {
    fleet.pause(host, it.For);
  } else if (it.Kind == "service_down") {
    fleet.setPlatform(PlatformFault::Down, it.For);
  } else if (it.Kind == "cold") {
    fleet.makeCold(TargetId{it.Name});
  }
}

std::vector<Interval> makeSeries(const History &history,
                                 const Experiment &experiment) {
  std::map<TeamId, std::uint32_t> weights;
  for (const TeamLoad &load : experiment.Loads) {
    if (load.Outstanding > 0) {
      weights[load.Team] = load.Weight;
    }
  }
  const std::size_t rows = static_cast<std::size_t>(
      (experiment.Until - experiment.From) / std::chrono::seconds(1));
  std::vector<Interval> series(rows);
  std::vector<std::vector<double>> waits(rows);
  const auto rowOf = [&](Time at) {
    return static_cast<std::size_t>((at - Time(experiment.From)) /
                                    std::chrono::seconds(1));
  };
  for (const ServiceRecord &it : history.Services) {
    if (Time(experiment.From) <= it.At && it.At < Time(experiment.Until)) {
      series[rowOf(it.At)].ServicePerSecond +=
          static_cast<double>(it.Work.Units);
    }
  }
  for (const RunRecord &run : history.Runs) {
    if (Time(experiment.From) <= run.StartedAt &&
        run.StartedAt < Time(experiment.Until)) {
      const Duration wait = run.StartedAt - history.Calls[run.Call].SubmittedAt;
      waits[rowOf(run.StartedAt)].push_back(static_cast<double>(wait.count()) /
                                            1000.0);
    }
  }
  for (std::size_t i = 0; i < rows; ++i) {
    const Time end = Time(experiment.From) + std::chrono::seconds(i + 1);
    series[i].AtSecond = static_cast<double>(i + 1);
    series[i].Gap =
        static_cast<double>(largestGap(history, experiment.Pool, weights,
                                       Time(experiment.From), end)
                                .Milli) /
        1000.0;
    series[i].WaitP95 = percentilesOf(waits[i]).P95;
  }
  return series;
}

} // namespace

std::optional<Experiment> parseExperiment(const std::string &text,
                                          std::string &reason) {
  try {
    return readExperiment(json::parse(text));
  } catch (const std::exception &error) {
    reason = error.what();
    return std::nullopt;
  }
}

Report runExperiment(const Experiment &experiment,
                     std::vector<Interval> &series) {
  VirtualFleet fleet(experiment.Plan);
  constexpr Duration warmUp = std::chrono::seconds(10);
  const Workload load(fleet, experiment.Pool, experiment.Loads, 7,
                      Time(experiment.From - warmUp), Time(experiment.Until));
  for (const Disturbance &it : experiment.Disturbances) {
    fleet.at(Time(it.At), [&fleet, &experiment, &it] {
      disturb(fleet, experiment.Plan, it);
    });
  }
  fleet.runUntil(Time(experiment.Until));
  series = makeSeries(fleet.history(), experiment);
  return makeReport(fleet, experiment.Pool, experiment.Loads, experiment.Slots,
                    Time(experiment.From), Time(experiment.Until));
}

} // namespace nutmegsill::harness
