// A small deployment for the cases of the third review: routers as separate
// processes, started by the command of the deploy file with settings of the
// form of its template, and stand-ins of the store and the workers.
#pragma once

#include "process.h"
#include "raw_caller.h"
#include "store_standin.h"
#include "target_standin.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using namespace nutmegsill::standin;
using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

/// Whether the case is run with its disruption.
inline bool hasTrouble() {
  const char *text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// Lines of `record.txt`, with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &path)
      : File(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (File != nullptr) {
      std::fclose(File);
    }
  }
  __attribute__((format(printf, 2, 3))) void line(const char *format, ...) {
    const std::lock_guard<std::mutex> lock(Mutex);
    if (File == nullptr) {
      return;
    }
    std::fprintf(File, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(File, format, arguments);
    va_end(arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }
  double seconds() const {
    return std::chrono::duration<double>(Clock::now() - Start).count();
  }

private:
  std::FILE *File;
  std::mutex Mutex;
  const Clock::time_point Start = Clock::now();
};

inline std::string freeAddress() {
  return "127.0.0.1:" + std::to_string(findFreePort());
}

/// Size of a machine, and the place of its router.
struct Machine {
  std::string Name;
  std::string Zone;
  double Quota = 0.25;
  int MemoryMb = 260;
  int Descriptors = 4100;
};

struct Router {
  Machine Size;
  std::string Callers;
  std::string Ready;
  std::string Directory;
  std::string Metrics;
  std::string Settings;
  std::unique_ptr<Process> Running;
};

/// Bounds of a deployment, as the template of the deploy file passes them on.
struct Bounds {
  int RevokeMs = 5000;
  int GraceS = 8;
  double RetryRatio = 0.2;
  int RetryWindowS = 10;
  int RetryExtra = 58;
};

/// Waits until `condition` holds; false if it does not within `timeout`.
inline bool waitUntil(const std::function<bool()> &condition,
                      milliseconds timeout = milliseconds(8'000)) {
  const auto end = Clock::now() + timeout;
  while (Clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return condition();
}

class Deployment {
public:
  Deployment() : StoreAddress(freeAddress()) {
    char name[] = "/tmp/nutmegsill-review-XXXXXX";
    Folder = ::mkdtemp(name) != nullptr ? name : "";
    Store = std::make_unique<StoreStandin>(StoreAddress);
  }
  ~Deployment() {
    Routers.clear();
    if (!Folder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
      std::error_code ec;
      std::filesystem::remove_all(Folder, ec);
    }
  }

  Router &addRouter(const Machine &size) {
    Router out;
    out.Size = size;
    out.Callers = freeAddress();
    out.Ready = freeAddress();
    out.Directory = freeAddress();
    out.Metrics = freeAddress();
    const json settings{
        {"gateway",
         {{"host", size.Name},
          {"zone", size.Zone},
          {"callers", out.Callers},
          {"readiness", out.Ready},
          {"directory", out.Directory},
          {"peer", freeAddress()},
          {"handover", freeAddress()},
          {"metrics", out.Metrics},
          {"descriptors", size.Descriptors},
          {"memory_mb", size.MemoryMb},
          {"processor_quota", size.Quota},
          {"processor_speed", 1}}},
        {"store", {{"address", StoreAddress}, {"shortest_lease_ms", 1000}}},
        {"placement", {{"zone_home_engines", 32}}},
        {"bounds",
         {{"revocation_ms", Limits.RevokeMs},
          {"stop_grace_s", Limits.GraceS},
          {"address_life_s", 5},
          {"retry_ratio", Limits.RetryRatio},
          {"retry_window_s", Limits.RetryWindowS},
          {"retry_extra", Limits.RetryExtra}}}};
    out.Settings = Folder + "/" + size.Name + ".json";
    std::ofstream(out.Settings) << settings.dump();
    Routers.push_back(std::make_unique<Router>(std::move(out)));
    launch(*Routers.back());
    return *Routers.back();
  }

  /// Starts the process of a router, as the deploy file does: the program has
  /// no arguments and finds its settings by the environment.
  void launch(Router &router) const {
    ::setenv("NUTMEGSILL_SETTINGS", router.Settings.c_str(), 1);
    router.Running = std::make_unique<Process>(
        "target/packages/gateway/nutmegsill-router", std::vector<std::string>{},
        Folder + "/" + router.Size.Name + ".log");
  }

  static RawResponse get(const std::string &address, const std::string &path) {
    return RawCaller(address).exchange(
        "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  }
  static bool isReady(const Router &router) {
    return get(router.Ready, "/readyz").Status == 200;
  }
  bool waitReady() const {
    for (const auto &it : Routers) {
      if (!waitUntil([&] { return isReady(*it); })) {
        return false;
      }
    }
    return true;
  }
  /// Addresses that the directory of `router` names.
  static std::size_t directorySize(const Router &router) {
    const RawResponse response =
        get(router.Directory,
            "/resolve?name=desk.example&region=r&zone=" + router.Size.Zone);
    const json root = json::parse(response.Body, nullptr, false);
    return root.is_object() && root.contains("addresses")
               ? root["addresses"].size()
               : 0;
  }
  /// Value of a metric of a router; 0 if there is none.
  static double metric(const Router &router, const std::string &name) {
    const std::string text = "\n" + get(router.Metrics, "/metrics").Body;
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos
               ? 0
               : std::stod(text.substr(at + name.size() + 2));
  }

  void putWorker(const TargetStandin &worker, const std::string &zone,
                 int slots) const {
    json entry = json::parse(worker.entryJson());
    entry["zone"] = zone;
    entry["slots"] = slots;
    Store->put("servers/" + worker.id(), entry.dump());
  }
  void putConfig(const json &config) const {
    Store->put("op/config", config.dump());
  }

  std::string StoreAddress;
  std::string Folder;
  Bounds Limits;
  std::unique_ptr<StoreStandin> Store;
  std::vector<std::unique_ptr<Router>> Routers;
};

inline json makeRoute(const std::string &name, const std::string &kind,
                      const std::string &service, int timeoutMs, int sloMs,
                      int attempts) {
  return json{
      {"name", name},   {"host", "desk.example"},  {"prefix", "/" + name + "/"},
      {"kind", kind},   {"timeout-ms", timeoutMs}, {"slo-ms", sloMs},
      {"priority", 1},  {"service", service},      {"attempts", attempts},
      {"public", false}};
}

inline json makeService(const std::string &name) {
  return json{{"name", name},      {"health-path", "/healthz"},
              {"max-conns", 370},  {"cold-start-s", 0.0},
              {"cold-per-s", 0.0}, {"protocol", "h1"},
              {"tls", false}};
}

/// A configuration with the limits that `fleetbench wire` prints.
inline json makeConfig(int version, json routes, json services) {
  return json{
      {"version", version},
      {"routes", std::move(routes)},
      {"services", std::move(services)},
      {"limits",
       {{"max-header-bytes", 16384},
        {"max-body-bytes", 4194304},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000},
        {"tokens-per-s", 230000}}},
      {"tenants", json::array({{{"name", "workshop"},
                                {"api-keys", json::array({"key-workshop"})},
                                {"priority", 1}}})}};
}

/// Ends the process at once: the stand-ins' threads are not waited for.
[[noreturn]] inline void finish(Deployment &deployment, Record &record,
                                int code) {
  record.line("%s", code == Broken ? "RESULT the rule was broken"
                    : code == Held ? "RESULT the rule held"
                                   : "RESULT the case could not run");
  deployment.Routers.clear();
  std::error_code ec;
  if (!deployment.Folder.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(deployment.Folder, ec);
  }
  std::fflush(nullptr);
  std::_Exit(code);
}

} // namespace review
