/// The demo: starts a fleet, sends mixed requests, shows who did what.
#include "answer_text.h"
#include "caller.h"
#include "local_fleet.h"

#include <csignal>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace {

using namespace nutmegsill::standin;
using Json = nlohmann::ordered_json;

constexpr int Requests = 100;
constexpr int Tokens = 16;

/// Sends request number `i`; true when its whole answer is right.
bool sendOne(const std::string &entry, int i) {
  const std::string team = i % 3 == 0 ? "prints" : "schools";
  const std::string text = "artwork " + std::to_string(i);
  if (i % 4 == 3) {
    const std::string key = "purchase-" + std::to_string(i);
    const CallerAnswer answer =
        callService(entry, "key-" + team, "/licences", key, text);
    return answer.Status == 200 && answer.Text.find(key) != std::string::npos;
  }
  const CallerAnswer answer =
      callModel(entry, "key-" + team, "captions", text, Tokens, i % 2 == 0);
  return answer.Status == 200 && answer.Text == answerText(text, Tokens);
}

/// The first address that a router tells a caller of this zone to use.
std::string askEntry(const std::string &router, const std::string &zone) {
  const std::string text =
      LocalFleet::fetch(router, "GET", "/v1/entry?zone=" + zone, "");
  const Json reply = Json::parse(text, nullptr, false);
  if (!reply.is_object() || reply["entries"].empty()) {
    return {};
  }
  return reply["entries"][0]["address"].get<std::string>();
}

bool stopRouters(LocalFleet &fleet) {
  bool clean = true;
  for (std::size_t i = 0; i < fleet.routers().size(); ++i) {
    fleet.routerProcess(i).signal(SIGTERM);
    const std::optional<int> code =
        fleet.routerProcess(i).wait(std::chrono::seconds(30));
    clean = clean && code == 0;
  }
  return clean;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3) {
    std::cerr << "usage: nutmegsill-demo BUILD_FOLDER RUN_FOLDER\n";
    return 2;
  }
  FleetPlan plan;
  plan.Programs = argv[1];
  plan.Folder = argv[2];
  LocalFleet fleet(plan);
  if (!fleet.ready()) {
    std::cerr << "the fleet did not start; see " << argv[2] << "\n";
    return 1;
  }
  int right = 0;
  std::map<std::string, int> sent;
  for (int i = 0; i < Requests; ++i) {
    const FleetRouter &asked = fleet.routers()[i % fleet.routers().size()];
    const std::string entry = askEntry(asked.Entry, asked.Zone);
    ++sent[entry];
    right += sendOne(entry, i) ? 1 : 0;
  }
  for (const FleetRouter &router : fleet.routers()) {
    std::cout << router.Host << " (" << router.Zone
              << "): " << sent[router.Entry] << " requests\n";
  }
  std::string status;
  fleet.ctl({"status"}, status);
  std::cout << status;
  const bool clean = stopRouters(fleet);
  std::cout << right << " of " << Requests
            << " answers were whole and right; routers stopped "
            << (clean ? "cleanly" : "with errors") << "\n";
  return right == Requests && clean ? 0 : 1;
}
