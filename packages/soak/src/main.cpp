/// Soak test: injects random faults into a fleet of router processes and checks
/// what callers and targets receive.
#include "soak_checks.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace nutmegsill::soak;
using std::chrono::milliseconds;

constexpr int ExitViolations = 1;
constexpr int ExitUsage = 2;
/// Time from the end of the faults until calls must be served again: leases and
/// hung watches are renewed within it.
constexpr milliseconds RecoveryTime{3'000};
constexpr milliseconds ObservationTime{2'000};

/// True when no invariant was violated.
bool runSeed(const std::string &program, std::uint64_t seed,
             milliseconds faultDuration, std::size_t routers,
             std::size_t callerCount, unsigned keptIdsPercent) {
  SoakFleet fleet(program, routers);
  if (!fleet.isReady()) {
    std::cout << "seed " << seed
              << ": not all routers were ready within 5 s; logs in "
              << fleet.tempDir() << "\n";
    return false;
  }
  SoakCallers callers(fleet, seed, callerCount);
  const FaultLog faults =
      injectFaults(fleet, seed, faultDuration, keptIdsPercent);
  std::this_thread::sleep_for(RecoveryTime);
  const SoakTime recoveredAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(ObservationTime);
  const std::vector<CallRecord> calls = callers.stop();
  const SoakResult result = checkInvariants(fleet, calls, faults, recoveredAt);
  const std::vector<std::string> &violations = result.Violations;
  std::cout << "seed " << seed << ": " << calls.size() << " calls, "
            << faults.Events.size() << " fault events, "
            << result.MixedStreams.size() << " streams of two versions, "
            << result.WentOn << " of " << result.TakenUp
            << " take-ups went on after recovery, " << violations.size()
            << " violations\n";
  for (const std::string &it : violations) {
    std::cout << "  " << it << "\n";
  }
  for (const std::string &it : result.MixedStreams) {
    std::cout << "  events of two versions in " << it << "\n";
  }
  if (!violations.empty() || !result.MixedStreams.empty()) {
    std::cout << "  logs in " << fleet.tempDir() << "\n";
    for (const std::string &it : faults.Events) {
      std::cout << "    " << it << "\n";
    }
  }
  return violations.empty();
}

} // namespace

int main(int argc, char **argv) {
  cxxopts::Options options("nutmegsill-soak",
                           "Injects random faults into a fleet of routers");
  options.add_options()("router", "path of the router executable",
                        cxxopts::value<std::string>())(
      "seed", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "number of seeds",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "duration of the faults for each seed, in seconds",
      cxxopts::value<int>()->default_value("10"))(
      "routers", "number of routers",
      cxxopts::value<std::size_t>()->default_value("4"))(
      "callers", "number of callers",
      cxxopts::value<std::size_t>()->default_value("12"))(
      "kept-ids", "percentage of the replaced targets that keep their ids",
      cxxopts::value<unsigned>()->default_value("50"));
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    const std::uint64_t first = parsed["seed"].as<std::uint64_t>();
    const milliseconds faultDuration =
        std::chrono::seconds(parsed["seconds"].as<int>());
    bool passed = true;
    for (std::uint64_t i = 0; i < parsed["seeds"].as<std::uint64_t>(); ++i) {
      const bool seedPassed =
          runSeed(parsed["router"].as<std::string>(), first + i, faultDuration,
                  parsed["routers"].as<std::size_t>(),
                  parsed["callers"].as<std::size_t>(),
                  parsed["kept-ids"].as<unsigned>());
      passed = passed && seedPassed;
    }
    return passed ? 0 : ExitViolations;
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << error.what() << "\n" << options.help();
    return ExitUsage;
  }
}
