#include "scenario.h"

#include <algorithm>

namespace nutmegsill::harness {

namespace {

using std::chrono::seconds;

constexpr Duration CallInterval = milliseconds(40);
constexpr Duration WorkBegins = seconds(3);
constexpr Duration WorkEnds = seconds(42);
constexpr Duration AllEnds = seconds(80);
constexpr int RepeatLimit = 3;
constexpr int FloodCalls = 300;
/// Largest number of slots of a target in this scenario.
constexpr std::size_t MostSlots = 4;

/// Drives one run of the scenario.
class Scenario {
public:
  Scenario(const Cell &cell, bool trace)
      : Fleet(makePlan(cell.Seed, trace)), Random(cell.Seed * 7919),
        Strikes(cell.Strikes) {
    Fleet.OnCallEnd = [this](std::size_t call) { onCallEnd(call); };
    Fleet.OnStep = [this](const HostId &host, const Step &step) {
      onStep(host, step);
    };
  }

  CellResult run();

private:
  static VirtualPlan makePlan(std::uint64_t seed, bool trace);
  void schedule();
  void callSome();
  void onCallEnd(std::size_t call);
  void onStep(const HostId &host, const Step &step);
  void strike(Fault fault, const HostId &host);
  void flood(const HostId &host);
  HostId someHost();
  Time in(Duration time) const { return Fleet.now() + time; }
  void restartLater(const HostId &host, Duration after) {
    Fleet.at(in(after), [this, host] { Fleet.start(host); });
  }

  VirtualFleet Fleet;
  std::mt19937_64 Random;
  std::vector<std::pair<std::string, Fault>> Strikes;
  std::map<std::string, int> Repeats;
  int LastKey = 0;
};

VirtualPlan Scenario::makePlan(std::uint64_t seed, bool trace) {
  VirtualPlan plan;
  plan.Seed = seed;
  plan.Trace = trace;
  plan.Hosts = {{HostId{"h1"}, ZoneId{"a"}},
                {HostId{"h2"}, ZoneId{"b"}},
                {HostId{"h3"}, ZoneId{"c"}},
                {HostId{"h4"}, ZoneId{"a"}},
                {HostId{"h5"}, ZoneId{"b"}}};
  plan.Pools[PoolId{"captions"}] =
      PoolConfig{PoolKindOf::Model, "", Cost{40}, milliseconds(20'000)};
  plan.Pools[PoolId{"licences"}] = PoolConfig{PoolKindOf::Service, "/licences",
                                              Cost{5}, milliseconds(3'000)};
  const PoolId captions{"captions"};
  const PoolId licences{"licences"};
  const milliseconds warmUp(1000);
  plan.Targets = {{TargetId{"m1"}, captions, ZoneId{"a"}, 4, 1, warmUp, false},
                  {TargetId{"m2"}, captions, ZoneId{"b"}, 4, 1, warmUp, false},
                  {TargetId{"m3"}, captions, ZoneId{"c"}, 4, 1, warmUp, false},
                  {TargetId{"s1"}, licences, ZoneId{"b"}, 3, 1, warmUp, true},
                  {TargetId{"s2"}, licences, ZoneId{"c"}, 3, 1, warmUp, false}};
  plan.Teams[TeamId{"prints"}].Weight = 1;
  plan.Teams[TeamId{"schools"}].Weight = 3;
  plan.Teams[TeamId{"shops"}].Weight = 10;
  return plan;
}

HostId Scenario::someHost() {
  const std::vector<HostId> all{HostId{"h1"}, HostId{"h2"}, HostId{"h3"},
                                HostId{"h4"}, HostId{"h5"}};
  return all[Random() % all.size()];
}

void Scenario::callSome() {
  const std::vector<TeamId> teams{TeamId{"prints"}, TeamId{"schools"},
                                  TeamId{"shops"}};
  CallPlan call;
  call.Entry = someHost();
  call.Team = teams[Random() % teams.size()];
  call.Pool = PoolId{"captions"};
  call.Work = Cost{static_cast<std::int64_t>(5 + Random() % 90)};
  if (Random() % 10 < 3) {
    call.Pool = PoolId{"licences"};
    call.Idempotent = false;
    call.Key = "k" + std::to_string(++LastKey);
    call.Work = Cost{5};
  }
  const std::size_t sent = Fleet.submit(call);
  if (Random() % 20 == 0) {
    Fleet.at(in(milliseconds(Random() % 60)),
             [this, sent] { Fleet.leave(sent); });
  }
  const bool twice = !call.Idempotent && Random() % 5 == 0;
  if (twice) {
    call.Entry = someHost();
    Fleet.submit(call);
  }
  if (Fleet.now() < Time(WorkEnds)) {
    Fleet.at(in(CallInterval), [this] { callSome(); });
  }
}

void Scenario::onCallEnd(std::size_t index) {
  const CallRecord &call = Fleet.history().Calls[index];
  const bool repeat = !call.Idempotent && call.End != CallEnd::Complete &&
                      Repeats[call.Key] < RepeatLimit;
  if (!repeat) {
    return;
  }
  ++Repeats[call.Key];
  const CallPlan again{someHost(), call.Team, call.Pool,
                       false,      call.Key,  call.Work};
  Fleet.at(in(milliseconds(200)), [this, again] { Fleet.submit(again); });
}

void Scenario::schedule() {
  const auto when = [this](int second, std::function<void()> action) {
    Fleet.at(Time(seconds(second)), std::move(action));
  };
  Fleet.at(Time(WorkBegins), [this] { callSome(); });
  when(4, [this] { Fleet.isolate(HostId{"h5"}, seconds(10), true); });
  when(6, [this] { Fleet.configure({ZoneId{"c"}}, {}); });
  when(7, [this] { Fleet.makeCold(TargetId{"m1"}); });
  when(10, [this] { Fleet.configure({}, {}); });
  when(11, [this] { Fleet.stop(HostId{"h5"}); });
  when(12, [this] {
    Fleet.kill(HostId{"h2"});
    Fleet.listHost(HostId{"h2"}, false);
  });
  when(13, [this] {
    Fleet.makeCold(TargetId{"m3"});
    Fleet.refuseWork(TargetId{"m1"}, seconds(1));
    Fleet.refuseWork(TargetId{"s1"}, seconds(5));
    Fleet.refuseWork(TargetId{"s2"}, seconds(5));
  });
  when(15, [this] {
    Fleet.start(HostId{"h2"});
    Fleet.listHost(HostId{"h2"}, true);
  });
  when(17, [this] { Fleet.stop(HostId{"h3"}); });
  when(20, [this] { Fleet.setPlatform(PlatformFault::Down, seconds(2)); });
  when(24, [this] {
    Fleet.start(HostId{"h3"});
    Fleet.start(HostId{"h5"});
    Fleet.stop(HostId{"h5"});
    Fleet.configure({}, {TargetId{"m2"}});
    Fleet.makeCold(TargetId{"m3"});
  });
  when(25, [this] { Fleet.configure({}, {}); });
  when(26, [this] {
    Fleet.makeCold(TargetId{"m2"});
    Fleet.makeCold(TargetId{"m3"});
  });
  when(26, [this] { Fleet.start(HostId{"h5"}); });
  when(27, [this] { Fleet.configure({}, {TargetId{"m2"}, TargetId{"m3"}}); });
  Fleet.at(Time(milliseconds(28'020)), [this] { Fleet.configure({}, {}); });
  when(30, [this] { Fleet.pause(HostId{"h4"}, seconds(4)); });
  when(32, [this] { Fleet.isolate(HostId{"h1"}, seconds(7), true); });
  // Whatever was killed last comes back, so that all work can end.
  when(44, [this] {
    for (const char *host : {"h1", "h2", "h3", "h4", "h5"}) {
      Fleet.start(HostId{host});
      Fleet.listHost(HostId{host}, true);
    }
  });
}

CellResult Scenario::run() {
  schedule();
  Fleet.runUntil(Time(AllEnds));
  CellResult result;
  result.Reached = Strikes.empty();
  result.Found = checkAlways(Fleet.history());
  const Violations overloads =
      checkColdTargets(Fleet.history(), Fleet.coldStarts() * MostSlots);
  result.Found.insert(result.Found.end(), overloads.begin(), overloads.end());
  result.Trace = Fleet.lines();
  return result;
}

void Scenario::onStep(const HostId &host, const Step &step) {
  if (Fleet.now() < Time(WorkBegins) || Fleet.now() > Time(WorkEnds)) {
    return;
  }
  const std::string name = stepName(step.Chart, step.From, step.Event);
  const auto it =
      std::find_if(Strikes.begin(), Strikes.end(),
                   [&](const auto &strike) { return strike.first == name; });
  if (it == Strikes.end()) {
    return;
  }
  const Fault fault = it->second;
  Strikes.erase(it);
  strike(fault, host);
}

void Scenario::flood(const HostId &host) {
  for (int i = 0; i < FloodCalls; ++i) {
    Fleet.submit(CallPlan{host, TeamId{"prints"}, PoolId{"captions"}, true, "",
                          Cost{20}});
  }
}

void Scenario::strike(Fault fault, const HostId &host) {
  const HostId other = host == HostId{"h1"} ? HostId{"h4"} : HostId{"h1"};
  switch (fault) {
  case Fault::Kill:
    Fleet.kill(host);
    restartLater(host, seconds(5));
    break;
  case Fault::Restart:
    Fleet.kill(host);
    Fleet.start(host);
    break;
  case Fault::Pause:
    Fleet.pause(host, seconds(5));
    break;
  case Fault::CutOut:
    for (const char *to : {"h1", "h2", "h3", "h4", "h5"}) {
      Fleet.cut(host, HostId{to}, seconds(4));
    }
    break;
  case Fault::CutIn:
    for (const char *from : {"h1", "h2", "h3", "h4", "h5"}) {
      Fleet.cut(HostId{from}, host, seconds(4));
    }
    break;
  case Fault::CutBoth:
    Fleet.isolate(host, seconds(4), false);
    break;
  case Fault::Isolate:
    Fleet.isolate(host, seconds(7), true);
    break;
  case Fault::Loss:
    Fleet.setNetwork(30, 0, milliseconds(5), seconds(4));
    break;
  case Fault::Duplication:
    Fleet.setNetwork(0, 50, milliseconds(5), seconds(4));
    break;
  case Fault::Reordering:
    Fleet.setNetwork(0, 0, milliseconds(300), seconds(4));
    break;
  case Fault::Delay:
    Fleet.setNetwork(0, 10, milliseconds(900), seconds(4));
    break;
  case Fault::ServiceDown:
    Fleet.setPlatform(PlatformFault::Down, seconds(6));
    break;
  case Fault::ServiceSlow:
    Fleet.setPlatform(PlatformFault::Slow, seconds(6));
    break;
  case Fault::AnswersLost:
    Fleet.setPlatform(PlatformFault::LoseAnswers, seconds(4));
    break;
  case Fault::LateEffect:
    Fleet.setPlatform(PlatformFault::LateEffect, seconds(4));
    break;
  case Fault::HostListLag:
    Fleet.listHost(other, false);
    Fleet.at(in(seconds(4)), [this, other] { Fleet.listHost(other, true); });
    break;
  case Fault::ColdTarget:
    for (const char *target : {"m1", "m2", "m3", "s1", "s2"}) {
      Fleet.makeCold(TargetId{target});
    }
    break;
  case Fault::Flood:
    flood(host);
    break;
  case Fault::RacingOperators:
    Fleet.configure({ZoneId{"a"}}, {});
    Fleet.configure({}, {TargetId{"m3"}});
    Fleet.at(in(milliseconds(300)), [this] { Fleet.configure({}, {}); });
    break;
  }
}

} // namespace

std::vector<Fault> allFaults() {
  std::vector<Fault> all;
  const int last = static_cast<int>(Fault::RacingOperators);
  all.reserve(static_cast<std::size_t>(last) + 1);
  for (int i = 0; i <= last; ++i) {
    all.push_back(static_cast<Fault>(i));
  }
  return all;
}

const char *faultName(Fault fault) {
  constexpr std::array<const char *, 19> names{
      "kill",         "restart",      "pause",           "cut_out",
      "cut_in",       "cut_both",     "isolate",         "loss",
      "duplication",  "reordering",   "delay",           "service_down",
      "service_slow", "answers_lost", "late_effect",     "host_list_lag",
      "cold_target",  "flood",        "racing_operators"};
  return names[static_cast<std::size_t>(fault)];
}

std::string stepName(const std::string &chart, const std::string &state,
                     const std::string &event) {
  return chart + "." + state + "." + event;
}

CellResult runCell(const Cell &cell, bool trace) {
  Scenario scenario(cell, trace);
  return scenario.run();
}

} // namespace nutmegsill::harness
