#include "local_fleet.h"

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unistd.h>

namespace nutmegsill::standin {

using nlohmann::json;

std::string loopback() { return "127.0.0.1:" + std::to_string(freePort()); }

LocalFleet::LocalFleet(std::string program)
    : Program(std::move(program)), StoreAddress(loopback()) {
  static int fleets = 0;
  Folder = std::filesystem::temp_directory_path() /
           ("nutmegsill-fleet-" + std::to_string(getpid()) + "-" +
            std::to_string(++fleets));
  std::filesystem::create_directories(Folder);
  Store = std::make_unique<StoreStandin>(StoreAddress);
  One = std::make_unique<WorkerStandin>("w-1", "desk", loopback());
  Two = std::make_unique<WorkerStandin>("w-2", "desk", loopback());
  Store->put("op/config", configText(3));
  putWorker(*One);
  putWorker(*Two);
}

std::string LocalFleet::configText(std::uint64_t version,
                                   const std::string &keys,
                                   const std::string &buyPool) {
  const auto route = [](const std::string &name, const std::string &kind,
                        int attempts, const std::string &more,
                        const std::string &pool = "desk") {
    return R"({"name":")" + name + R"(","host":"models.example","prefix":"/)" +
           name + R"(/","kind":")" + kind +
           R"(","timeout-ms":3000,"slo-ms":800,"priority":1,"service":")" +
           pool + R"(",)" + R"("attempts":)" + std::to_string(attempts) + more +
           "}";
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
         R"(],"services":[)" + service("desk") +
         (buyPool == "desk" ? "" : "," + service(buyPool)) +
         R"(],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":65536,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"prints","api-keys":[)" +
         keys + "]}]}";
}

void LocalFleet::putWorker(const WorkerStandin &worker,
                           const std::string &state,
                           const std::string &address) {
  Store->put("servers/" + worker.id(), worker.entry(state, address));
}

void LocalFleet::putConfig(const std::string &text) {
  Store->put("op/config", text);
}

Process LocalFleet::launch(const std::string &host) const {
  return Process(Program, {"--settings", Folder + "/" + host + ".json"},
                 Folder + "/" + host + ".log");
}

void LocalFleet::restartRouter(std::size_t router) {
  Processes[router] = launch(Routers[router].Host);
}

bool LocalFleet::addRouter() {
  RouterPorts ports;
  ports.Host = "host-" + std::to_string(Routers.size() + 1);
  ports.Callers = loopback();
  ports.Readiness = loopback();
  ports.Directory = loopback();
  ports.Metrics = loopback();
  const json settings{
      {"gateway",
       {{"host", ports.Host},
        {"zone", "zone-a"},
        {"callers", ports.Callers},
        {"readiness", ports.Readiness},
        {"directory", ports.Directory},
        {"peer", loopback()},
        {"metrics", ports.Metrics},
        {"descriptors", Descriptors}}},
      {"store", {{"address", StoreAddress}, {"shortest_lease_ms", 1000}}},
      {"bounds",
       {{"revocation_ms", RevocationMs},
        {"stop_grace_s", 6},
        {"retry_ratio", 0.2},
        {"retry_window_s", 10},
        {"retry_extra", 50}}}};
  const std::string path = Folder + "/" + ports.Host + ".json";
  std::ofstream(path) << settings.dump();
  Processes.push_back(launch(ports.Host));
  Routers.push_back(ports);
  return eventually(
      [&] { return get(ports.Readiness, "/readyz").Status == 200; });
}

RawAnswer LocalFleet::get(const std::string &address, const std::string &path) {
  return RawCaller(address).exchange(
      "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

RawAnswer LocalFleet::call(const std::string &path, const std::string &id,
                           const std::string &method) {
  RawCall call;
  call.Method = method;
  call.Path = path;
  call.Id = id;
  return RawCaller(Routers.front().Callers).call(call);
}

std::vector<std::string> LocalFleet::addresses(const RouterPorts &router) {
  const RawAnswer answer =
      get(router.Directory, "/resolve?name=models.example&zone=zone-a");
  const json root = json::parse(answer.Body, nullptr, false);
  if (!root.is_object() || !root.contains("addresses")) {
    return {};
  }
  return root["addresses"].get<std::vector<std::string>>();
}

bool LocalFleet::eventually(const std::function<bool()> &holds,
                            std::chrono::milliseconds patience) {
  const auto end = std::chrono::steady_clock::now() + patience;
  while (std::chrono::steady_clock::now() < end) {
    if (holds()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return holds();
}

} // namespace nutmegsill::standin
