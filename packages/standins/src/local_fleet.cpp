#include "local_fleet.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace nutmegsill::standin {

using nlohmann::json;

std::string freeLoopbackAddress() {
  return "127.0.0.1:" + std::to_string(findFreePort());
}

LocalFleet::LocalFleet(std::string program)
    : RouterProgram(std::move(program)), StoreAddress(freeLoopbackAddress()) {
  static int fleetCount = 0;
  TempDir = std::filesystem::temp_directory_path() /
            ("nutmegsill-fleet-" + std::to_string(getpid()) + "-" +
             std::to_string(++fleetCount));
  std::filesystem::create_directories(TempDir);
  Store = std::make_unique<StoreStandin>(StoreAddress);
  FirstTarget =
      std::make_unique<TargetStandin>("w-1", "desk", freeLoopbackAddress());
  SecondTarget =
      std::make_unique<TargetStandin>("w-2", "desk", freeLoopbackAddress());
  Store->put("op/config", configText(3));
  writeTargetEntry(*FirstTarget);
  writeTargetEntry(*SecondTarget);
}

std::string LocalFleet::configText(std::uint64_t version,
                                   const std::string &apiKeysJson,
                                   const std::string &buyPool,
                                   std::size_t uploadBytes) {
  const auto route = [](const std::string &name, const std::string &kind,
                        int attempts, const std::string &extraMembers,
                        const std::string &pool = "desk") {
    return R"({"name":")" + name + R"(","host":"models.example","prefix":"/)" +
           name + R"(/","kind":")" + kind +
           R"(","timeout-ms":3000,"slo-ms":800,"priority":1,"service":")" +
           pool + R"(",)" + R"("attempts":)" + std::to_string(attempts) +
           extraMembers + "}";
  };
  const auto service = [](const std::string &name) {
    return R"({"name":")" + name +
           R"(","health-path":"/healthz","max-conns":100,)" +
           R"("cold-start-s":0.0,"cold-per-s":0.0})";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("safe", "safe", 2, R"(,"public":true)") + "," +
         route("buy", "unsafe", 2, R"(,"public":true)", buyPool) + "," +
         route("keyed", "safe", 2, "") + "," +
         route("stream/whole", "stream", 1, R"(,"sticky":true)") + "," +
         route("stream/resumed", "stream", 2,
               R"(,"sticky":true,"resumable":true)") +
         (uploadBytes == 0
              ? ""
              : "," + route("upload", "safe", 2, R"(,"public":true)", "torn")) +
         R"(],"services":[)" + service("desk") +
         (buyPool == "desk" ? "" : "," + service(buyPool)) +
         (uploadBytes == 0 ? "" : "," + service("torn")) +
         R"(],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":)" +
         std::to_string(uploadBytes == 0 ? 65'536 : uploadBytes) +
         R"(,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"prints","api-keys":[)" +
         apiKeysJson + "]}]}";
}

void LocalFleet::writeTargetEntry(const TargetStandin &target,
                                  const std::string &state,
                                  const std::string &address) {
  Store->put("servers/" + target.id(), target.entryJson(state, address));
}

void LocalFleet::eraseTargetEntry(const TargetStandin &target) {
  Store->erase("servers/" + target.id());
}

void LocalFleet::writeConfig(const std::string &text) {
  Store->put("op/config", text);
}

Process LocalFleet::launchRouter(const std::string &host) const {
  return Process(RouterProgram, {"--settings", TempDir + "/" + host + ".json"},
                 TempDir + "/" + host + ".log");
}

void LocalFleet::restartRouter(std::size_t index) {
  RouterProcesses[index] = launchRouter(Routers[index].Host);
}

bool LocalFleet::addRouter() {
  RouterAddresses addresses;
  addresses.Host = "host-" + std::to_string(Routers.size() + 1);
  addresses.CallerAddress = freeLoopbackAddress();
  addresses.ReadinessAddress = freeLoopbackAddress();
  addresses.DirectoryAddress = freeLoopbackAddress();
  addresses.MetricsAddress = freeLoopbackAddress();
  addresses.PeerAddress = freeLoopbackAddress();
  json settings{
      {"gateway",
       {{"host", addresses.Host},
        {"zone", "zone-a"},
        {"callers", addresses.CallerAddress},
        {"readiness", addresses.ReadinessAddress},
        {"directory", addresses.DirectoryAddress},
        {"peer", addresses.PeerAddress},
        {"metrics", addresses.MetricsAddress},
        {"descriptors", MaxDescriptors},
        {"processor_quota", ProcessorQuota}}},
      {"store", {{"address", StoreAddress}, {"shortest_lease_ms", 1000}}},
      {"bounds",
       {{"revocation_ms", RevocationBoundMs},
        {"stop_grace_s", StopGraceS},
        {"retry_ratio", 0.2},
        {"retry_window_s", 10},
        {"retry_extra", 50}}}};
  if (HasHandover) {
    settings["gateway"]["handover"] = freeLoopbackAddress();
  }
  if (HedgingBudget > 0) {
    settings["hedging"] = {{"budget", HedgingBudget}};
  }
  settings["bounds"].update(json::parse(ExtraBounds));
  if (MemoryMb > 0) {
    settings["gateway"]["memory_mb"] = MemoryMb;
  }
  const std::string path = TempDir + "/" + addresses.Host + ".json";
  std::ofstream(path) << settings.dump();
  RouterProcesses.push_back(launchRouter(addresses.Host));
  Routers.push_back(addresses);
  return waitUntil([&] {
    return httpGet(addresses.ReadinessAddress, "/readyz").Status == 200;
  });
}

RawResponse LocalFleet::httpGet(const std::string &address,
                                const std::string &path) {
  return RawCaller(address).exchange(
      "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

RawResponse LocalFleet::sendRequest(const std::string &path,
                                    const std::string &id,
                                    const std::string &method) {
  RawRequest request;
  request.Method = method;
  request.Path = path;
  request.RequestId = id;
  return RawCaller(Routers.front().CallerAddress).send(request);
}

std::vector<std::string>
LocalFleet::resolveRouters(const RouterAddresses &router) {
  const RawResponse response = httpGet(
      router.DirectoryAddress, "/resolve?name=models.example&zone=zone-a");
  const json root = json::parse(response.Body, nullptr, false);
  if (!root.is_object() || !root.contains("addresses")) {
    return {};
  }
  return root["addresses"].get<std::vector<std::string>>();
}

bool LocalFleet::waitUntil(const std::function<bool()> &condition,
                           std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return condition();
}

} // namespace nutmegsill::standin
