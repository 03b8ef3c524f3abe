// Real processes under kill, SIGSTOP and outages of the platform. What callers
// and targets saw is judged by the checks of the virtual histories.
#include "answer_text.h"
#include "caller.h"
#include "history.h"
#include "local_fleet.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace nutmegsill;
using namespace nutmegsill::standin;
using harness::CallEnd;
using nlohmann::json;

namespace {

constexpr int Callers = 6;
constexpr int CallsEach = 15;
constexpr int Tries = 5;

CallEnd endOf(const CallerAnswer &answer) {
  if (answer.Status == 200 && answer.Whole) {
    return CallEnd::Complete;
  }
  if (answer.Outcome == "not_run") {
    return CallEnd::NotRun;
  }
  return answer.Status == 0 ? CallEnd::Cut : CallEnd::Unknown;
}

struct FaultFixture {
  FaultFixture() : Fleet(makePlan()) { REQUIRE(Fleet.ready()); }

  static FleetPlan makePlan() {
    FleetPlan plan;
    plan.Programs = NUTMEGSILL_BUILD;
    plan.Folder = std::string(NUTMEGSILL_BUILD) + "/faults-test";
    plan.ServiceTargets = 2;
    return plan;
  }

  void record(const harness::CallRecord &call) {
    const std::lock_guard<std::mutex> lock(Guard);
    Seen.Calls.push_back(call);
  }

  /// Tries a purchase at one router after the other until it is complete.
  void purchase(const std::string &key) {
    for (int i = 0; i < Tries; ++i) {
      const std::size_t router = Next++ % Fleet.routers().size();
      const CallerAnswer answer =
          callService(Fleet.routers()[router].Entry, "key-prints", "/licences",
                      key, "frame " + key);
      harness::CallRecord call;
      call.Team = TeamId{"prints"};
      call.Idempotent = false;
      call.Key = key;
      call.End = endOf(answer);
      call.Expected = "frame " + key;
      if (call.End == CallEnd::Complete) {
        call.Answer = json::parse(answer.Text)["body"].get<std::string>();
      }
      record(call);
      if (call.End == CallEnd::Complete) {
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }

  void caption(int number) {
    const std::string prompt = "caption " + std::to_string(number);
    const std::size_t router = Next++ % Fleet.routers().size();
    const CallerAnswer answer =
        callModel(Fleet.routers()[router].Entry, "key-schools", "captions",
                  prompt, 10, true);
    harness::CallRecord call;
    call.Team = TeamId{"schools"};
    call.End = endOf(answer);
    call.Expected = answerText(prompt, 10);
    call.Answer = answer.Text;
    record(call);
  }

  /// Runs callers while `disturb` runs; then adds what the targets ran.
  void run(const std::function<void()> &disturb) {
    std::vector<std::thread> threads;
    threads.reserve(Callers);
    for (int i = 0; i < Callers; ++i) {
      threads.emplace_back([this, i] {
        for (int n = 0; n < CallsEach; ++n) {
          const int number = i * CallsEach + n;
          if (n % 2 == 0) {
            purchase("sale-" + std::to_string(number));
          } else {
            caption(number);
          }
        }
      });
    }
    disturb();
    for (std::thread &it : threads) {
      it.join();
    }
    collectRuns();
  }

  void collectRuns() {
    for (const FleetTarget &target : Fleet.targets()) {
      const json counts = json::parse(
          LocalFleet::fetch(target.Address, "GET", "/standin/counts", ""));
      for (const auto &[key, n] : counts["runs"].items()) {
        for (int i = 0; i < n.get<int>(); ++i) {
          Seen.Runs.push_back(
              harness::RunRecord{callOf(key), TargetId{target.Name}, Time()});
        }
      }
    }
  }

  /// The try that a run of the key belongs to: one that was not refused, if
  /// there is any.
  std::size_t callOf(const std::string &key) const {
    std::size_t found = 0;
    bool ran = false;
    for (std::size_t i = 0; i < Seen.Calls.size(); ++i) {
      if (Seen.Calls[i].Key == key && !ran) {
        found = i;
        ran = Seen.Calls[i].End != CallEnd::NotRun;
      }
    }
    return found;
  }

  std::size_t complete() const {
    return static_cast<std::size_t>(
        std::count_if(Seen.Calls.begin(), Seen.Calls.end(), [](const auto &it) {
          return it.End == CallEnd::Complete;
        }));
  }

  void judge() const {
    for (const std::string &it : harness::checkAlways(Seen)) {
      FAIL_CHECK(it);
    }
    CHECK(complete() > 0);
  }

  LocalFleet Fleet;
  std::mutex Guard;
  std::atomic<std::size_t> Next{0};
  harness::History Seen;
};

void pauseFor(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

TEST_CASE_METHOD(FaultFixture, "faults_router_killed_promises_hold") {
  run([this] {
    pauseFor(300);
    Fleet.restartRouter(1);
    pauseFor(1000);
    Fleet.restartRouter(2);
  });
  judge();
}

TEST_CASE_METHOD(FaultFixture, "faults_router_paused_promises_hold") {
  run([this] {
    pauseFor(300);
    Fleet.routerProcess(0).signal(SIGSTOP);
    pauseFor(4000);
    Fleet.routerProcess(0).signal(SIGCONT);
  });
  judge();
}

TEST_CASE_METHOD(FaultFixture, "faults_platform_down_promises_hold") {
  run([this] {
    Fleet.platformFault("lose_answers");
    pauseFor(1500);
    Fleet.platformFault("down");
    pauseFor(3000);
    Fleet.platformFault("ok");
  });
  judge();
}

TEST_CASE_METHOD(FaultFixture, "faults_target_resets_promises_hold") {
  run([this] {
    Fleet.targetFault(0, "reset_mid");
    Fleet.targetFault(2, "reset_mid");
    pauseFor(700);
    Fleet.targetFault(0, "ok");
    Fleet.targetFault(2, "ok");
    Fleet.targetFault(1, "cold");
  });
  judge();
}
