/// Command-line tool for operators.
#include "explain.h"
#include "fleet_status.h"
#include "nutmegsill/platform/items.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace nutmegsill;

constexpr int ExitOk = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnavailable = 4;

constexpr const char *Usage =
    "nutmegsillctl COMMAND [ARGUMENTS] [OPTIONS]\n"
    "\n"
    "Commands:\n"
    "  explain ID [FILE...]  explain a request from routers' logs, or from\n"
    "                        standard input\n"
    "  check FILE            check an operators' configuration file\n"
    "  status --store ADDR   show the state of the fleet in the platform's\n"
    "                        store\n"
    "\n"
    "Configurations, keys, zones and targets are changed through the\n"
    "platform's own operator interface; its store accepts such changes from\n"
    "no other client.\n"
    "\n"
    "Exit codes: 0 success, 1 configuration invalid or request not found,\n"
    "2 usage error or unreadable file, 4 store not readable.\n";

int reportUsageError(const std::string &message) {
  std::cerr << message << "\n" << Usage;
  return ExitUsage;
}

/// Reads logs from `files`, or from standard input when there are none.
int explain(const std::string &id, const std::vector<std::string> &files) {
  std::vector<std::ifstream> opened;
  opened.reserve(files.size());
  std::vector<std::istream *> logs;
  for (const std::string &file : files) {
    opened.emplace_back(file);
    if (!opened.back()) {
      std::cerr << file << ": cannot be read\n";
      return ExitUsage;
    }
    logs.push_back(&opened.back());
  }
  if (logs.empty()) {
    logs.push_back(&std::cin);
  }
  if (!explainRequest(id, logs, std::cout)) {
    std::cerr << "no log record has the request id " << id << "\n";
    return ExitFailure;
  }
  return ExitOk;
}

int checkConfig(const std::string &path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return ExitUsage;
  }
  std::stringstream text;
  text << file.rdbuf();
  std::string reason;
  const std::optional<routing::ServiceConfig> config =
      platform::decodeConfig(text.str(), reason);
  if (!config) {
    std::cerr << path << ": " << reason << "\n";
    return ExitFailure;
  }
  std::cout << "configuration " << config->Revision.Value
            << " is valid: " << config->Routes.size() << " routes, "
            << config->Pools.size() << " pools, " << config->Teams.size()
            << " teams\n";
  return ExitOk;
}

int showStatus(const cxxopts::ParseResult &parsed) {
  const std::optional<Endpoint> store =
      parsed.count("store") == 0
          ? std::nullopt
          : parseEndpoint(parsed["store"].as<std::string>());
  if (!store) {
    return reportUsageError("--store: expected \"IP:port\"");
  }
  std::string reason;
  const std::optional<std::vector<routing::StoreUpdate>> updates =
      listStore(*store, reason);
  if (!updates) {
    std::cerr << "cannot read the store: " << reason << "\n";
    return ExitUnavailable;
  }
  printStatus(*updates, parsed.count("json") != 0, std::cout);
  return ExitOk;
}

int runCommand(const std::vector<std::string> &arguments,
               const cxxopts::ParseResult &parsed) {
  const std::string &command = arguments[0];
  if (command == "explain" && arguments.size() >= 2) {
    return explain(arguments[1], {arguments.begin() + 2, arguments.end()});
  }
  if (command == "check" && arguments.size() == 2) {
    return checkConfig(arguments[1]);
  }
  if (command == "status" && arguments.size() == 1) {
    return showStatus(parsed);
  }
  return reportUsageError("unknown command or wrong number of arguments");
}

} // namespace

int main(int argc, char **argv) {
  cxxopts::Options options("nutmegsillctl", Usage);
  options.add_options()("store", "address of the platform's store",
                        cxxopts::value<std::string>())("json", "print JSON")(
      "version", "print the version")("help", "print this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  try {
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << Usage << options.help();
      return ExitOk;
    }
    if (parsed.count("version") != 0) {
      std::cout << "nutmegsillctl " << NUTMEGSILL_VERSION << "\n";
      return ExitOk;
    }
    if (parsed.count("words") == 0) {
      return reportUsageError("expected a command");
    }
    return runCommand(parsed["words"].as<std::vector<std::string>>(), parsed);
  } catch (const cxxopts::exceptions::exception &error) {
    return reportUsageError(error.what());
  }
}
