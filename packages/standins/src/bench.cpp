/// Compares a router with a direct connection to a target, side by side.
#include "answer_text.h"
#include "caller.h"
#include "local_fleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <numeric>
#include <thread>
#include <unistd.h>

namespace {

using namespace nutmegsill::standin;
using Clock = std::chrono::steady_clock;

constexpr int Rounds = 400;
constexpr int StreamTokens = 400;
constexpr std::size_t TargetStreams = 300;

double millisSince(Clock::time_point begin) {
  return std::chrono::duration<double, std::milli>(Clock::now() - begin)
      .count();
}

/// Milliseconds of one call of one token.
double callOnce(const std::string &address, int i) {
  const Clock::time_point begin = Clock::now();
  callModel(address, "key-prints", "captions", "b" + std::to_string(i), 1,
            true);
  return millisSince(begin);
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Resident memory of a process in KB.
long residentKb(int id) {
  std::ifstream status("/proc/" + std::to_string(id) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      long kb = 0;
      status >> kb;
      return kb;
    }
  }
  return 0;
}

/// Processor time of a process so far, in seconds.
double processorSeconds(int id) {
  constexpr int wordsBefore = 13;
  std::ifstream stat("/proc/" + std::to_string(id) + "/stat");
  std::string word;
  for (int i = 0; i < wordsBefore; ++i) {
    stat >> word;
  }
  long user = 0;
  long system = 0;
  stat >> user >> system;
  return static_cast<double>(user + system) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

void measureIdle(LocalFleet &fleet) {
  constexpr int seconds = 10;
  const int id = fleet.routerProcess(0).id();
  const double before = processorSeconds(id);
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  std::cout << "a router without requests uses "
            << (processorSeconds(id) - before) / seconds * 100
            << "% of a core, resident KB " << residentKb(id) << "\n";
}

void compareCalls(const LocalFleet &fleet) {
  std::vector<double> direct;
  std::vector<double> routed;
  for (int i = 0; i < Rounds; ++i) {
    direct.push_back(callOnce(fleet.targets()[0].Address, i));
    routed.push_back(callOnce(fleet.routers()[0].Entry, i));
  }
  std::cout << "call of one token, median ms: direct " << median(direct)
            << ", through a router " << median(routed) << ", ratio "
            << median(routed) / median(direct) << "\n";
}

void measureStreams(LocalFleet &fleet) {
  const int id = fleet.routerProcess(0).id();
  const long before = residentKb(id);
  std::vector<std::thread> threads;
  threads.reserve(TargetStreams);
  std::atomic<std::size_t> whole{0};
  for (std::size_t i = 0; i < TargetStreams; ++i) {
    threads.emplace_back([&fleet, &whole, i] {
      const std::string prompt = "s" + std::to_string(i);
      const CallerAnswer answer =
          callModel(fleet.routers()[0].Entry, "key-prints", "captions", prompt,
                    StreamTokens, true);
      whole += answer.Text == answerText(prompt, StreamTokens) ? 1 : 0;
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const long during = residentKb(id);
  for (std::thread &it : threads) {
    it.join();
  }
  std::cout << TargetStreams << " streams through one router: " << whole
            << " whole, resident KB " << before << " before, " << during
            << " during, "
            << static_cast<double>(during - before) /
                   static_cast<double>(TargetStreams)
            << " a stream\n";
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3) {
    std::cerr << "usage: nutmegsill-bench BUILD_FOLDER RUN_FOLDER\n";
    return 2;
  }
  FleetPlan plan;
  plan.Programs = argv[1];
  plan.Folder = argv[2];
  plan.Slots = 200;
  plan.ColdSlots = 200;
  plan.WarmUpMs = 0;
  plan.TokenMs = 10;
  LocalFleet fleet(plan);
  if (!fleet.ready()) {
    std::cerr << "the fleet did not start\n";
    return 1;
  }
  measureIdle(fleet);
  compareCalls(fleet);
  measureStreams(fleet);
  return 0;
}
