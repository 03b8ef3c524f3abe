/// Runs an experiment from a JSON file; prints a table, and writes one JSON
/// line a second to a second file if one is named.
#include "experiment.h"

#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/resource.h>

namespace {

using namespace nutmegsill::harness;

void printTable(const Report &report, double seconds, std::size_t routers) {
  std::cout << std::fixed << std::setprecision(1);
  std::cout << "gap " << report.Gap.Milli / 1000 << " units per weight, idle "
            << report.Idle * 100 << "% of slot time while calls waited, "
            << report.Runs << " requests, " << report.BytesPerRun
            << " control bytes a request\n";
  std::size_t shown = 0;
  for (const auto &[team, it] : report.Teams) {
    if (++shown > 20) {
      std::cout << "and " << report.Teams.size() - 20 << " more teams\n";
      break;
    }
    std::cout << "team " << team.Text << ": service " << it.Service.Units
              << ", complete " << it.Complete << ", not run " << it.NotRun
              << ", unknown " << it.Unknown << ", cut " << it.Cut
              << ", wait ms p50 " << it.Wait.P50 << " p95 " << it.Wait.P95
              << " p99 " << it.Wait.P99 << "\n";
  }
  std::uint64_t bytes = 0;
  for (const auto &[type, it] : report.Messages) {
    std::cout << "message " << type << ": " << it.Messages << ", " << it.Bytes
              << " bytes\n";
    bytes += it.Bytes;
  }
  std::cout << "control bytes a router and second "
            << static_cast<double>(bytes) / seconds /
                   static_cast<double>(routers)
            << "\n";
}

} // namespace

int main(int argc, char **argv) {
  if (argc < 2) {
    std::cerr << "usage: experiment DESCRIPTION.json [SERIES.jsonl]\n";
    return 2;
  }
  std::ifstream file(argv[1]);
  std::stringstream text;
  text << file.rdbuf();
  std::string reason;
  const std::optional<Experiment> experiment =
      parseExperiment(text.str(), reason);
  if (!experiment) {
    std::cerr << argv[1] << ": " << reason << "\n";
    return 1;
  }
  std::vector<Interval> series;
  const std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  const Report report = runExperiment(*experiment, series);
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - begin;
  const double simulated = static_cast<double>(experiment->Until.count()) / 1e6;
  printTable(report, simulated, experiment->Plan.Hosts.size());
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  std::cout << "processor ms a router and second (harness included) "
            << spent.count() * 1000 / simulated /
                   static_cast<double>(experiment->Plan.Hosts.size())
            << ", peak memory " << used.ru_maxrss / 1024 << " MB\n";
  if (argc > 2) {
    std::ofstream out(argv[2]);
    for (const Interval &it : series) {
      out << nlohmann::ordered_json{{"second", it.AtSecond},
                                    {"service_per_s", it.ServicePerSecond},
                                    {"gap", it.Gap},
                                    {"wait_p95_ms", it.WaitP95}}
                 .dump()
          << "\n";
    }
  }
  return 0;
}
