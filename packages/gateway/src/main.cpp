/// Entry point of the router process.
#include "gateway.h"
#include "log.h"
#include "settings.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>

namespace {

using namespace nutmegsill;

/// The library's own initial value.
constexpr int MmapThresholdBytes = 128 << 10;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
/// Environment variable with the path of the settings file; `--settings` takes
/// precedence.
constexpr const char *SettingsEnvironmentVariable = "NUTMEGSILL_SETTINGS";

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Prints every error of the settings. Runs the router when there is none,
/// unless `checkOnly`.
int checkAndRun(const std::string &path, const std::string &text,
                bool checkOnly, const char *program) {
  const gateway::GatewaySettingsResult result =
      gateway::parseGatewaySettings(text);
  for (const std::string &error : result.Errors) {
    std::cerr << path << ": " << error << "\n";
  }
  if (!result.Value) {
    return ExitFailure;
  }
  if (checkOnly) {
    std::cout << "settings are valid\n";
    return 0;
  }
  startLog(program, result.Value->Host.Text);
  return gateway::runGateway(*result.Value, path);
}

} // namespace

int main(int argc, char **argv) {
  // Large buffers are returned to the system when they are freed. By default
  // the library raises both thresholds with the sizes that it sees, and keeps
  // the memory of one burst of large requests for good.
  mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, MmapThresholdBytes);
  // Until the event loop handles stop signals, nothing is registered or served
  // that would have to be finished.
  for (const int number : {SIGTERM, SIGINT}) {
    std::signal(number, [](int) { std::_Exit(0); });
  }
  // The settings are read after this.
  std::signal(SIGHUP, SIG_IGN);
  cxxopts::Options options(
      "nutmegsill-router",
      "Routes requests to targets and shares their capacity among teams");
  options.add_options()("settings", "JSON settings file",
                        cxxopts::value<std::string>())(
      "check-settings", "check the settings and exit")(
      "version", "print the version")("help", "print this help");
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version") != 0) {
      std::cout << "nutmegsill-router " << NUTMEGSILL_VERSION << "\n";
      return 0;
    }
    const char *environmentPath = std::getenv(SettingsEnvironmentVariable);
    if (parsed.count("settings") == 0 && environmentPath == nullptr) {
      std::cerr << "--settings or NUTMEGSILL_SETTINGS: expected a file\n"
                << options.help();
      return ExitUsage;
    }
    const std::string path = parsed.count("settings") != 0
                                 ? parsed["settings"].as<std::string>()
                                 : std::string(environmentPath);
    const std::optional<std::string> text = readFile(path);
    if (!text) {
      return ExitFailure;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const bool checkOnly = parsed.count("check-settings") != 0;
    return checkAndRun(path, *text, checkOnly, argv[0]);
  } catch (const cxxopts::exceptions::exception &error) {
    std::cerr << error.what() << "\n";
    return ExitUsage;
  }
}
