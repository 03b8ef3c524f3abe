/// Randomized faults on a fleet of real processes, with checks of what callers
/// and targets see.
#include "soak_checks.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace nutmegsill::soak;
using std::chrono::milliseconds;

constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;
/// Time after the faults until calls are judged as undisturbed: leases and
/// watches that hung are renewed within it.
constexpr milliseconds Recovery{3'000};
constexpr milliseconds Calm{2'000};
constexpr std::size_t Callers = 12;

/// True when all promises held.
bool runSeed(const std::string &program, std::uint64_t seed, milliseconds span,
             std::size_t routers) {
  SoakFleet fleet(program, routers);
  if (!fleet.ready()) {
    std::cout << "seed " << seed << ": the fleet did not start\n";
    return false;
  }
  SoakCallers callers(fleet, seed, Callers);
  const FaultLog faults = injectFaults(fleet, seed, span);
  std::this_thread::sleep_for(Recovery);
  const SoakTime calm = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(Calm);
  const std::vector<SeenCall> calls = callers.finish();
  const std::vector<std::string> broken = checkSoak(fleet, calls, faults, calm);
  std::cout << "seed " << seed << ": " << calls.size() << " calls, "
            << faults.Lines.size() << " events, " << broken.size()
            << " promises broken\n";
  for (const std::string &it : broken) {
    std::cout << "  " << it << "\n";
  }
  if (!broken.empty()) {
    std::cout << "  logs in " << fleet.folder() << "\n";
    for (const std::string &it : faults.Lines) {
      std::cout << "    " << it << "\n";
    }
  }
  return broken.empty();
}

} // namespace

int main(int argc, char **argv) {
  cxxopts::Options options("nutmegsill-soak", "Soaks a fleet in faults");
  options.add_options()("router", "the router's program",
                        cxxopts::value<std::string>())(
      "seed", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "how many", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seconds", "of faults for each seed",
      cxxopts::value<int>()->default_value("10"))(
      "routers", "of the fleet",
      cxxopts::value<std::size_t>()->default_value("4"));
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    const std::uint64_t first = parsed["seed"].as<std::uint64_t>();
    const milliseconds span = std::chrono::seconds(parsed["seconds"].as<int>());
    bool held = true;
    for (std::uint64_t i = 0; i < parsed["seeds"].as<std::uint64_t>(); ++i) {
      const bool one = runSeed(parsed["router"].as<std::string>(), first + i,
                               span, parsed["routers"].as<std::size_t>());
      held = held && one;
    }
    return held ? 0 : ExitBroken;
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << error.what() << "\n" << options.help();
    return ExitUsage;
  }
}
