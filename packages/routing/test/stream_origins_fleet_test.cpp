#include "nutmegsill/routing/report_recipients.h"
#include "nutmegsill/routing/stream_origins.h"

#include "fleet_fixture.h"

#include <iostream>
#include <malloc.h>
#include <random>

namespace nutmegsill::routing {

/// Routers whose views lag behind the fleet's state. They serve streams of one
/// route to one pool.
class StreamOriginFleet : protected FleetFixture {
protected:
  struct Host {
    StreamOrigins Origins = StreamOrigins();
    Duration Lag = milliseconds(200);
    bool Up = true;
    bool SeesStore = true;
    std::size_t State = 0;
  };
  struct State {
    Time At{};
    std::shared_ptr<const FleetView> View;
  };

  void startFleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      Entries.push_back(router("host-" + std::to_string(1'000 + i)));
      Hosts.emplace_back();
    }
    for (const RouterEntry &it : Entries) {
      Recipients.push_back(reportRecipients(Entries, it.Host));
    }
    Cut.assign(count, false);
  }
  /// Targets, named by their version and a number, serve.
  void serve(const std::vector<std::string> &targets) {
    auto view = std::make_shared<FleetView>();
    view->Config = Config;
    for (const std::string &it : targets) {
      view->Targets.push_back({target(it, "engines")});
      view->Targets.back().Entry.Version = versionOf(it);
    }
    States.push_back({Now, view});
  }
  static std::string versionOf(const std::string &target) {
    return target.substr(0, 2);
  }
  void kill(std::size_t i) {
    Hosts[i] = Host{};
    Hosts[i].Up = false;
  }
  void start(std::size_t i) { Hosts[i].Up = true; }
  bool reach(std::size_t a, std::size_t b) const {
    return Hosts[a].Up && Hosts[b].Up && Cut[a] == Cut[b];
  }

  void step() {
    for (Host &it : Hosts) {
      look(it);
    }
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      if (!Hosts[i].Up) {
        continue;
      }
      const std::vector<StreamOriginReport> report =
          Hosts[i].Origins.takeReport(Now);
      for (const StreamOriginReport &it : report) {
        Reported += it.Streams.size();
      }
      for (const HostId &it : Recipients[i].GroupPeers) {
        if (reach(i, indexOf(it)) && Random() % 100 >= LossPercent) {
          Hosts[indexOf(it)].Origins.receive(report, Now);
        }
      }
    }
    Now += milliseconds(100);
  }
  void run(Duration span) {
    for (const Time end = Now + span; Now < end;) {
      step();
    }
  }
  void look(Host &host) {
    if (!host.Up || !host.SeesStore) {
      return;
    }
    std::size_t state = 0;
    for (std::size_t i = 0; i < States.size(); ++i) {
      state = States[i].At <= Now - host.Lag ? i + 1 : state;
    }
    if (state != host.State && state > 0) {
      host.State = state;
      host.Origins.setView(States[state - 1].View, Now);
    }
    host.Origins.setViewAge(host.Lag, Now);
  }

  void begin(std::size_t host, std::uint64_t id, const std::string &target) {
    Hosts[host].Origins.record(
        {id}, {PoolId{"engines"}, {TargetId{target}, 1}, versionOf(target)},
        std::nullopt, Config->Routes[0].Timeout, Now);
  }
  /// The version at which the stream goes on; a reason in brackets if it does
  /// not.
  std::string takeUp(std::size_t host, std::uint64_t id) {
    const RouteRule &route = Config->Routes[0];
    const PoolId pool{"engines"};
    StreamOrigins &own = Hosts[host].Origins;
    OriginDecision decision = own.find(StreamKey{id}, route, pool, Now);
    const auto *unknown = std::get_if<UnknownOrigin>(&decision);
    if (unknown != nullptr && unknown->MayAsk && own.mayAsk(Now)) {
      const ReportRecipients &peers = Recipients[host];
      for (const std::vector<HostId> &group :
           {peers.GroupPeers, peers.AskedPeers}) {
        for (const HostId &it : group) {
          if (reach(host, indexOf(it))) {
            const OriginAnswer answer = Hosts[indexOf(it)].Origins.answer(
                {1, {id}, route.Name, pool}, Now);
            const OriginDecision told =
                own.adopt(answer, {id}, route, pool, Now);
            if (told != OriginDecision{UnknownOrigin{}}) {
              decision = told;
            }
          }
        }
      }
    }
    const auto *known = std::get_if<KnownOrigin>(&decision);
    return known != nullptr
               ? known->Version
               : "(" + std::string(std::get<UnknownOrigin>(decision).Reason) +
                     ")";
  }
  std::size_t indexOf(const HostId &host) const {
    return static_cast<std::size_t>(std::stoi(host.Text.substr(5)) - 1'000);
  }

  std::shared_ptr<ServiceConfig> Config = config();
  std::vector<RouterEntry> Entries;
  std::vector<ReportRecipients> Recipients;
  std::vector<Host> Hosts;
  std::vector<State> States;
  /// Hosts of two sides that do not reach each other.
  std::vector<bool> Cut;
  /// Streams in all reports.
  std::size_t Reported = 0;
  unsigned LossPercent = 0;
  std::mt19937 Random{1};
  Time Now = at(1'000'000);
};

class TwoHostsOfTwoVersions : public StreamOriginFleet {
protected:
  TwoHostsOfTwoVersions() {
    startFleet(2);
    serve({"v1-1", "v2-1"});
    run(std::chrono::seconds(60));
    begin(0, 1, "v1-1");
    begin(0, 2, "v2-1");
  }
};

TEST_CASE_METHOD(TwoHostsOfTwoVersions,
                 "stream_origin_fleet_either_host_killed_other_one_knows") {
  const bool reported = GENERATE(true, false);
  if (reported) {
    step();
  }
  CHECK(takeUp(1, 1) == "v1");
  if (reported) {
    const std::size_t killed = GENERATE(0, 1);
    kill(killed);
    CHECK(takeUp(1 - killed, 1) == "v1");
    CHECK(takeUp(1 - killed, 2) == "v2");
    start(killed);
    run(std::chrono::seconds(1));
    CHECK(takeUp(killed, 2) == "v2");
  } else {
    kill(0);
    CHECK(takeUp(1, 2) == "(several_versions)");
  }
}

TEST_CASE_METHOD(TwoHostsOfTwoVersions,
                 "stream_origin_fleet_lost_report_is_repeated") {
  LossPercent = 100;
  step();
  LossPercent = 0;
  step();
  kill(0);
  CHECK(takeUp(1, 1) == "v1");
}

TEST_CASE_METHOD(TwoHostsOfTwoVersions,
                 "stream_origin_fleet_cut_hosts_do_not_guess") {
  Cut[1] = true;
  run(std::chrono::seconds(2));
  CHECK(takeUp(1, 1) == "(several_versions)");
  CHECK(takeUp(0, 1) == "v1");
  Cut[1] = false;
  CHECK(takeUp(1, 1) == "v1");
}

// The kill of all routers while the old version leaves joined two versions.
TEST_CASE_METHOD(
    TwoHostsOfTwoVersions,
    "stream_origin_fleet_all_killed_does_not_go_on_at_new_version") {
  step();
  const bool leftBeforeStart = GENERATE(true, false);
  kill(0);
  kill(1);
  if (leftBeforeStart) {
    serve({"v2-1"});
    run(std::chrono::seconds(1));
  }
  start(0);
  start(1);
  run(std::chrono::seconds(1));
  CHECK(takeUp(0, 1) == "(starting)");
  serve({"v2-1"});
  for (int i = 0; i < 14; ++i) {
    run(std::chrono::seconds(1));
    CHECK(takeUp(1, 1) == "(starting)");
    CHECK(takeUp(1, 2) == "(starting)");
  }
  // A stream that began since is known, and at last the version is the only
  // one.
  begin(0, 3, "v2-1");
  step();
  CHECK(takeUp(1, 3) == "v2");
  run(std::chrono::seconds(56));
  takeUp(1, 4);
  run(std::chrono::seconds(1));
  CHECK(takeUp(1, 4) == "v2");
}

TEST_CASE_METHOD(
    StreamOriginFleet,
    "stream_origin_fleet_restarted_host_is_told_the_only_version") {
  startFleet(2);
  serve({"v1-1"});
  run(std::chrono::seconds(60));
  kill(1);
  start(1);
  run(std::chrono::seconds(1));
  takeUp(1, 5);
  run(std::chrono::seconds(1));
  CHECK(takeUp(1, 5) == "v1");
  // The one that started sees a version that its peer does not see yet.
  Hosts[0].Lag = milliseconds(2'000);
  takeUp(1, 6);
  run(std::chrono::seconds(3));
  serve({"v1-1", "v2-1"});
  run(milliseconds(400));
  CHECK(takeUp(1, 6) == "(several_versions)");
}

TEST_CASE_METHOD(StreamOriginFleet,
                 "stream_origin_fleet_version_unseen_in_a_gap_is_not_denied") {
  startFleet(2);
  serve({"v1-1"});
  run(std::chrono::seconds(60));
  Hosts[1].SeesStore = false;
  run(std::chrono::seconds(1));
  serve({"v1-1", "v2-1"});
  run(std::chrono::seconds(1));
  begin(0, 1, "v2-1");
  serve({"v1-1"});
  run(std::chrono::seconds(2));
  kill(0);
  Hosts[1].Origins.expire(Now + std::chrono::seconds(9));
  Hosts[1].SeesStore = true;
  run(std::chrono::seconds(1));
  CHECK(takeUp(1, 1) == "(starting)");
}

TEST_CASE_METHOD(
    StreamOriginFleet,
    "stream_origin_fleet_version_newer_than_the_view_is_not_denied") {
  startFleet(2);
  Hosts[1].Lag = milliseconds(2'400);
  serve({"v1-1"});
  run(std::chrono::seconds(60));
  serve({"v1-1", "v2-1"});
  run(milliseconds(500));
  begin(0, 1, "v2-1");
  kill(0);
  run(milliseconds(300));
  CHECK(takeUp(1, 1) == "(not_current)");
  run(std::chrono::seconds(3));
  CHECK(takeUp(1, 1) == "(several_versions)");
}

/// Versions come and go, routers are killed, cut off and see the store late,
/// and callers take their streams up twice at any router.
class RandomStreams : public StreamOriginFleet {
protected:
  struct Stream {
    std::uint64_t Id = 0;
    std::string Version;
    Time NextAt{};
    int TakeUps = 0;
  };
  std::size_t pick(std::size_t count) { return Random() % count; }

  void play(unsigned seed, std::size_t count, bool disturbed) {
    Random.seed(seed);
    startFleet(count);
    LossPercent = disturbed ? 10 : 0;
    for (Host &it : Hosts) {
      it.Lag = milliseconds(100 + Random() % 600);
    }
    std::vector<std::string> targets{"v1-0", "v1-1"};
    serve(targets);
    run(std::chrono::seconds(50));
    for (const Time end = Now + std::chrono::seconds(150); Now < end; step()) {
      if (pick(60) == 0) {
        release(targets);
      }
      if (disturbed && pick(50) == 0) {
        disturb();
      }
      for (int i = 0; i < 3; ++i) {
        beginAny();
      }
      for (Stream &it : Open) {
        if (it.NextAt <= Now) {
          takeUpAny(it);
        }
      }
      std::erase_if(Open, [](const Stream &it) { return it.TakeUps == 2; });
    }
  }
  void release(std::vector<std::string> &targets) {
    if (pick(2) == 0 || targets.size() < 2) {
      targets.push_back("v" + std::to_string(1 + pick(3)) + "-" +
                        std::to_string(++LastTarget));
    } else {
      targets.erase(targets.begin() + static_cast<long>(pick(targets.size())));
    }
    serve(targets);
  }
  void disturb() {
    const std::size_t i = pick(Hosts.size());
    switch (pick(5)) {
    case 0:
      kill(i);
      start(i);
      break;
    case 1:
      Hosts[i].SeesStore = !Hosts[i].SeesStore;
      break;
    case 2:
      Cut[i] = !Cut[i];
      break;
    case 3:
      Hosts[i].Lag = milliseconds(100 + Random() % 2'300);
      break;
    default:
      for (std::size_t j = 0; j < Hosts.size() && pick(5) == 0; ++j) {
        kill(j);
        start(j);
      }
    }
  }
  void beginAny() {
    const std::size_t host = pick(Hosts.size());
    const std::size_t seen = Hosts[host].State;
    // A target that has left serves for 25 s.
    if (seen == 0 || (seen < States.size() &&
                      Now - States[seen].At > std::chrono::seconds(25))) {
      return;
    }
    const std::vector<KnownTarget> &targets = States[seen - 1].View->Targets;
    const std::string target = targets[pick(targets.size())].Entry.Target.Text;
    begin(host, ++LastId, target);
    Open.push_back({LastId, versionOf(target),
                    Now + milliseconds(200 + Random() % 5'800), 0});
  }
  void takeUpAny(Stream &stream) {
    const std::size_t host = pick(Hosts.size());
    const std::string version = takeUp(host, stream.Id);
    ++TakeUps;
    if (version[0] == 'v') {
      ++GoneOn;
      Wrong += version != stream.Version ? 1 : 0;
      begin(host, stream.Id, version + "-again");
    }
    ++stream.TakeUps;
    stream.NextAt = Now + milliseconds(200 + Random() % 5'800);
  }

  std::vector<Stream> Open;
  std::uint64_t LastId = 0;
  std::size_t LastTarget = 1;
  std::size_t TakeUps = 0;
  std::size_t GoneOn = 0;
  std::size_t Wrong = 0;
};

TEST_CASE_METHOD(RandomStreams,
                 "stream_origin_fleet_disturbed_never_goes_on_elsewhere") {
  const unsigned seed = GENERATE(range(1U, 13U));
  CAPTURE(seed);
  play(seed, seed % 4 == 0 ? 30 : 2 + seed % 4, true);
  CAPTURE(TakeUps, GoneOn);
  CHECK(Wrong == 0);
  CHECK(GoneOn > 0);
}

TEST_CASE_METHOD(StreamOriginFleet,
                 "stream_origin_fleet_question_reaches_all_groups") {
  const std::size_t count = GENERATE(9, 17, 75, 300);
  const std::size_t large = GENERATE(0, 25);
  startFleet(count);
  for (std::size_t i = 0; i < std::min(large, count); ++i) {
    Entries[i].ProcessorShare = 2;
  }
  for (const RouterEntry &self : Entries) {
    const ReportRecipients own = reportRecipients(Entries, self.Host);
    std::set<HostId> reached(own.GroupPeers.begin(), own.GroupPeers.end());
    reached.insert(self.Host);
    for (const HostId &it : own.AskedPeers) {
      const ReportRecipients asked = reportRecipients(Entries, it);
      reached.insert(asked.GroupPeers.begin(), asked.GroupPeers.end());
      reached.insert(it);
    }
    REQUIRE(reached.size() == count);
  }
}

TEST_CASE_METHOD(RandomStreams,
                 "stream_origin_fleet_in_touch_goes_on_almost_always") {
  play(1, GENERATE(2, 9, 75), false);
  CAPTURE(TakeUps, GoneOn);
  CHECK(Wrong == 0);
  CHECK(GoneOn * 100 >= TakeUps * 99);
}

// Prints what docs/CAPACITY.md states.
TEST_CASE_METHOD(StreamOriginFleet, "stream_origin_fleet_cost", "[.]") {
  const auto [hosts, perSecond] = GENERATE(table<std::size_t, double>(
      {{9, 400}, {75, 1'700}, {300, 4'100}, {340, 4'100}}));
  startFleet(hosts);
  serve({"v1-1", "v1-2", "v2-1", "v2-2"});
  const std::size_t before = mallinfo2().uordblks;
  double due = 0;
  for (std::uint64_t id = 0; Now < at(1'020'000); step()) {
    for (due += perSecond / 10; due >= 1; due -= 1) {
      ++id;
      begin(Random() % hosts, id, "v" + std::to_string(1 + id % 2) + "-1");
    }
  }
  std::size_t kept = 0;
  for (const Host &it : Hosts) {
    kept += it.Origins.size();
  }
  const double each = static_cast<double>(Reported) /
                      static_cast<double>(hosts) / 20 *
                      toSeconds(reportIntervals(Recipients[0]).ToGroup);
  std::cout << hosts << " hosts: " << kept / hosts << " streams and "
            << (mallinfo2().uordblks - before) / hosts << " bytes a host, "
            << each << " streams a report to "
            << Recipients[0].GroupPeers.size() << " routers, a question to "
            << Recipients[0].GroupPeers.size() + Recipients[0].AskedPeers.size()
            << "\n";
}

} // namespace nutmegsill::routing
