// Real processes: callers, routers, platform and target stand-ins. No verdict
// depends on the machine's speed.
#include "answer_text.h"
#include "caller.h"
#include "local_fleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

using namespace nutmegsill::standin;
using nlohmann::json;

namespace {

struct FleetFixture {
  FleetFixture() : Fleet(makePlan()) { REQUIRE(Fleet.ready()); }

  static FleetPlan makePlan() {
    FleetPlan plan;
    plan.Programs = NUTMEGSILL_BUILD;
    plan.Folder = std::string(NUTMEGSILL_BUILD) + "/fleet-test";
    return plan;
  }

  const std::string &entry(std::size_t i) const {
    return Fleet.routers()[i].Entry;
  }

  /// Runs of each idempotency key, over all service targets.
  std::map<std::string, int> runs() const {
    std::map<std::string, int> all;
    for (const FleetTarget &it : Fleet.targets()) {
      const json counts = json::parse(
          LocalFleet::fetch(it.Address, "GET", "/standin/counts", ""));
      for (const auto &[key, n] : counts["runs"].items()) {
        all[key] += n.get<int>();
      }
    }
    return all;
  }

  LocalFleet Fleet;
};

} // namespace

TEST_CASE_METHOD(FleetFixture, "callers_published_interfaces_whole_answers") {
  SECTION("streams are whole, byte for byte") {
    for (int i = 0; i < 12; ++i) {
      const std::string prompt = "mango tree " + std::to_string(i);
      const CallerAnswer answer =
          callModel(entry(i % 3), "key-prints", "captions", prompt, 20, true);
      CHECK(answer.Status == 200);
      CHECK(answer.Whole);
      CHECK(answer.Text == answerText(prompt, 20));
    }
  }
  SECTION("bad input gets a problem that says not run") {
    const auto outcome = [](const CallerAnswer &it) {
      return std::to_string(it.Status) + " " + it.Outcome;
    };
    CHECK(outcome(callModel(entry(0), "key-none", "captions", "x", 1, true)) ==
          "401 not_run");
    CHECK(outcome(callModel(entry(0), "key-prints", "none", "x", 1, true)) ==
          "404 not_run");
    CHECK(outcome(callService(entry(0), "key-prints", "/licences", "", "x")) ==
          "400 not_run");
    CHECK(outcome(callService(entry(0), "key-prints", "/licences", "k",
                              std::string(5U << 20U, 'x'))) == "413 not_run");
    CHECK(sendRaw(entry(0), "NONSENSE\r\n\r\n").rfind("HTTP/1.1 400", 0) == 0);
    CHECK(callModel(entry(0), "key-prints", "captions", "x", 1, true).Whole);
  }
  SECTION("foreign bytes at the peer address change nothing") {
    const std::string noise(2000, '\x7f');
    CHECK(sendRaw(Fleet.routers()[0].Peer, noise).size() < noise.size());
    CHECK(callModel(entry(0), "key-prints", "captions", "x", 4, true).Whole);
  }
  SECTION("a repeated key gets the first answer at every router") {
    const CallerAnswer first =
        callService(entry(0), "key-prints", "/licences", "sale-1", "frame");
    CHECK(first.Status == 200);
    for (std::size_t i = 0; i < 3; ++i) {
      const CallerAnswer again =
          callService(entry(i), "key-prints", "/licences", "sale-1", "frame");
      CHECK(again.Status == 200);
      CHECK(again.Text == first.Text);
    }
    CHECK(runs()["sale-1"] == 1);
    CHECK(callService(entry(0), "key-prints", "/licences", "sale-1", "other")
              .Status == 422);
  }
}

TEST_CASE_METHOD(FleetFixture, "operators_changes_in_force_everywhere") {
  std::string output;
  CHECK(Fleet.ctl({"zone", "out", "suva-a"}, output) == 0);
  CHECK(Fleet.ctl({"zone", "in", "suva-a"}, output) == 0);
  CHECK(Fleet.ctl({"zone", "out", "nowhere"}, output) == 1);
  CHECK(Fleet.ctl({"diff", Fleet.configFolder()}, output) == 0);
  CHECK(Fleet.ctl({"apply", Fleet.configFolder(), "--base", "1"}, output) == 3);
  INFO(output);
  CHECK(output.find("zones in suva-a") != std::string::npos);
}

TEST_CASE_METHOD(FleetFixture, "planned_stop_during_streams_cuts_none") {
  constexpr int streams = 100;
  std::atomic<int> begun{0};
  std::atomic<int> whole{0};
  std::vector<std::thread> callers;
  callers.reserve(streams);
  for (int i = 0; i < streams; ++i) {
    callers.emplace_back([&, i] {
      const std::string prompt = "stream " + std::to_string(i);
      bool counted = false;
      const CallerAnswer answer =
          callModel(entry(0), i % 2 == 0 ? "key-prints" : "key-schools",
                    "captions", prompt, 40, true, [&] {
                      begun += counted ? 0 : 1;
                      counted = true;
                    });
      const bool right = answer.Whole && answer.Text == answerText(prompt, 40);
      whole += right ? 1 : 0;
    });
  }
  while (begun.load() == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  // All hundred are open by the time that the first is answered or queued.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  Fleet.routerProcess(0).signal(SIGTERM);
  for (std::thread &it : callers) {
    it.join();
  }
  CHECK(whole == streams);
  CHECK(Fleet.routerProcess(0).wait(std::chrono::seconds(60)) == 0);
}
