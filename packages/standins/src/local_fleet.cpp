#include "local_fleet.h"

#include "nutmegsill/base64.h"
#include "nutmegsill/http_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <zmq.h>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using Json = nlohmann::ordered_json;

namespace {

constexpr const char *AdminKey = "fleet-admin-key";
constexpr std::chrono::milliseconds Pause{50};
constexpr int MaxPauses = 600;

std::string loopback(unsigned port) {
  return "127.0.0.1:" + std::to_string(port);
}

void writeFile(const std::string &path, const std::string &text) {
  std::ofstream file(path);
  file << text;
}

} // namespace

std::string LocalFleet::fetch(const std::string &address,
                              const std::string &method,
                              const std::string &path,
                              const std::string &body) {
  asio::io_context context(1);
  HttpClient http;
  HttpCall call;
  call.Method = method;
  call.Path = path;
  call.Body = body;
  call.Headers = {{"authorization", std::string("Bearer ") + AdminKey}};
  std::future<HttpAnswer> done =
      asio::co_spawn(context,
                     http.send(*parseEndpoint(address), std::move(call),
                               std::chrono::seconds(5), false),
                     asio::use_future);
  context.run();
  return done.get().Body;
}

LocalFleet::LocalFleet(FleetPlan fleetPlan) : Plan(std::move(fleetPlan)) {
  fs::remove_all(Plan.Folder);
  fs::create_directories(configFolder());
  plan();
  writeConfiguration();
  startPlatform();
  publishHosts({}, {});
  for (std::size_t i = 0; i < Targets.size(); ++i) {
    startTarget(i);
  }
  for (std::size_t i = 0; i < Routers.size(); ++i) {
    writeSettings(Routers[i]);
    startRouter(i);
  }
  std::string output;
  const bool applied =
      awaitRouters() && ctl({"apply", configFolder()}, output) == 0;
  writeFile(Plan.Folder + "/apply.log", output);
  Ready = applied && awaitOwners();
}

void LocalFleet::plan() {
  constexpr std::size_t keyText = 41;
  std::array<char, keyText> publicKey{};
  std::array<char, keyText> secretKey{};
  zmq_curve_keypair(publicKey.data(), secretKey.data());
  CurvePublic = publicKey.data();
  CurveSecret = secretKey.data();
  Platform = loopback(freePort());
  for (unsigned i = 0; i < Plan.RoutersPerZone * Plan.Zones.size(); ++i) {
    Routers.push_back({"entry-" + std::to_string(i + 1),
                       Plan.Zones[i % Plan.Zones.size()], loopback(freePort()),
                       loopback(freePort()), loopback(freePort()),
                       loopback(freePort())});
  }
  const unsigned all = Plan.ModelTargets + Plan.ServiceTargets;
  for (unsigned i = 0; i < all; ++i) {
    const bool service = i >= Plan.ModelTargets;
    Targets.push_back(
        {(service ? "licences-" : "captions-") + std::to_string(i + 1),
         Plan.Zones[i % Plan.Zones.size()], loopback(freePort()), service});
  }
}

void LocalFleet::writeSettings(const FleetRouter &router) const {
  const Json settings{
      {"host", router.Host},
      {"zone", router.Zone},
      {"entry", router.Entry},
      {"peer", router.Peer},
      {"metrics", router.Metrics},
      {"admin",
       {{"address", router.Admin}, {"key_sha256", sha256Hex(AdminKey)}}},
      {"platform",
       {{"key_value", Json::array({Platform})}, {"host_list", Platform}}},
      {"curve", {{"public", CurvePublic}, {"secret", CurveSecret}}}};
  writeFile(Plan.Folder + "/" + router.Host + ".json", settings.dump(2));
}

void LocalFleet::writeConfiguration() const {
  Json zones;
  for (const std::string &zone : Plan.Zones) {
    zones[zone] = Json::object();
  }
  Json targets;
  for (const FleetTarget &it : Targets) {
    targets[it.Name] = {{"pool", it.Service ? "licences" : "captions"},
                        {"zone", it.Zone},
                        {"address", it.Address},
                        {"slots", Plan.Slots},
                        {"cold_slots", Plan.ColdSlots},
                        {"warm_up_ms", Plan.WarmUpMs},
                        {"fencing", it.Service}};
  }
  Json teams;
  for (const auto &[team, weight] : Plan.Teams) {
    teams[team] = {{"weight", weight},
                   {"key_sha256", Json::array({sha256Hex("key-" + team)})}};
  }
  const Json pools{
      {"captions", {{"kind", "model"}, {"estimate", 32}}},
      {"licences",
       {{"kind", "service"}, {"prefix", "/licences"}, {"estimate", 1}}}};
  writeFile(configFolder() + "/10-zones.json", Json{{"zones", zones}}.dump(2));
  writeFile(configFolder() + "/20-pools.json", Json{{"pools", pools}}.dump(2));
  writeFile(configFolder() + "/30-targets.json",
            Json{{"targets", targets}}.dump(2));
  writeFile(configFolder() + "/40-teams.json", Json{{"teams", teams}}.dump(2));
}

void LocalFleet::startPlatform() {
  PlatformProcess.emplace_back(program("packages/standins/standin-platform"),
                               std::vector<std::string>{"--address", Platform},
                               Plan.Folder + "/platform.log");
  for (int i = 0; i < MaxPauses; ++i) {
    if (!fetch(Platform, "GET", "/v1/hosts", "").empty()) {
      return;
    }
    std::this_thread::sleep_for(Pause);
  }
}

void LocalFleet::startTarget(std::size_t i) {
  std::vector<std::string> arguments{
      "--address",    Targets[i].Address,
      "--slots",      std::to_string(Plan.Slots),
      "--cold-slots", std::to_string(Plan.ColdSlots),
      "--warm-up-ms", std::to_string(Plan.WarmUpMs / 2),
      "--token-ms",   std::to_string(Plan.TokenMs)};
  if (Targets[i].Service) {
    arguments.emplace_back("--fencing");
  }
  Process process(program("packages/standins/standin-target"), arguments,
                  Plan.Folder + "/" + Targets[i].Name + ".log");
  if (i < TargetProcesses.size()) {
    TargetProcesses[i] = std::move(process);
  } else {
    TargetProcesses.push_back(std::move(process));
  }
}

void LocalFleet::startRouter(std::size_t i) {
  Process process(program("packages/router/nutmegsill-router"),
                  {"--settings", Plan.Folder + "/" + Routers[i].Host + ".json"},
                  Plan.Folder + "/" + Routers[i].Host + ".log");
  if (i < RouterProcesses.size()) {
    RouterProcesses[i] = std::move(process);
  } else {
    RouterProcesses.push_back(std::move(process));
  }
}

void LocalFleet::restartRouter(std::size_t i) {
  RouterProcesses[i].kill();
  startRouter(i);
}

void LocalFleet::restartTarget(std::size_t i) {
  TargetProcesses[i].kill();
  startTarget(i);
}

bool LocalFleet::awaitRouters() const {
  for (const FleetRouter &router : Routers) {
    int i = 0;
    while (fetch(router.Admin, "GET", "/v1/status", "").empty()) {
      if (++i == MaxPauses) {
        return false;
      }
      std::this_thread::sleep_for(Pause);
    }
  }
  return true;
}

bool LocalFleet::awaitOwners() const {
  for (int i = 0; i < MaxPauses; ++i) {
    std::size_t granting = 0;
    for (const FleetRouter &router : Routers) {
      const Json status = Json::parse(
          fetch(router.Admin, "GET", "/v1/status", ""), nullptr, false);
      if (!status.is_object()) {
        continue;
      }
      for (const Json &target : status["targets"]) {
        granting += target["may_grant"].get<bool>() ? 1 : 0;
      }
    }
    if (granting == Targets.size()) {
      return true;
    }
    std::this_thread::sleep_for(Pause);
  }
  return false;
}

int LocalFleet::ctl(std::vector<std::string> arguments,
                    std::string &output) const {
  std::string list;
  for (const FleetRouter &router : Routers) {
    list += (list.empty() ? "" : ",") + router.Admin;
  }
  const std::string keyFile = Plan.Folder + "/admin.key";
  writeFile(keyFile, AdminKey);
  arguments.insert(arguments.end(), {"--admin", list, "--key-file", keyFile});
  return runProgram(program("packages/ctl/nutmegsillctl"), arguments, output);
}

void LocalFleet::platformFault(const std::string &mode) const {
  fetch(Platform, "POST", "/standin/fault", Json{{"mode", mode}}.dump());
}

void LocalFleet::targetFault(std::size_t i, const std::string &mode) const {
  fetch(Targets[i].Address, "POST", "/standin/fault",
        Json{{"mode", mode}}.dump());
}

void LocalFleet::publishHosts(const std::vector<std::string> &leaving,
                              const std::vector<std::string> &gone) const {
  const auto holds = [](const std::vector<std::string> &list,
                        const std::string &name) {
    return std::find(list.begin(), list.end(), name) != list.end();
  };
  Json hosts = Json::array();
  for (const FleetRouter &it : Routers) {
    if (!holds(gone, it.Host)) {
      hosts.push_back({{"host", it.Host},
                       {"zone", it.Zone},
                       {"peer", it.Peer},
                       {"entry", it.Entry},
                       {"leaving", holds(leaving, it.Host)}});
    }
  }
  fetch(Platform, "POST", "/standin/hosts", Json{{"hosts", hosts}}.dump());
}

} // namespace nutmegsill::standin
