#include "commands.h"

#include "folder.h"

#include <iostream>
#include <map>
#include <random>
#include <thread>

namespace nutmegsill {

using Json = nlohmann::ordered_json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned ConflictStatus = 409;
constexpr std::chrono::milliseconds PollInterval{200};

void print(const Json &value) { std::cout << value.dump(2) << "\n"; }

std::string newChangeId() {
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  return std::to_string((high << 32U) | low);
}

/// Prints the refusal of a change and returns the exit code for it.
int reportFailure(const AdminReply &reply, const CommandOptions &options) {
  if (!reply.Status) {
    std::cerr << "no router answered: " << reply.Reason << "\n";
    return ExitUnavailable;
  }
  if (options.Json) {
    print(reply.Body);
  } else {
    std::cerr << reply.Body.value("title", std::string("refused")) << ": "
              << reply.Body.value("detail", std::string()) << "\n";
    for (const Json &it : reply.Body.value("faults", Json::array())) {
      std::cerr << it["file"].get<std::string>() << ": "
                << it["path"].get<std::string>() << ": expected "
                << it["expected"].get<std::string>() << "\n";
    }
    if (reply.Body.contains("other")) {
      const Json &other = reply.Body["other"];
      std::cerr << "revision " << other["revision"] << " by "
                << other["author"].get<std::string>() << ": "
                << other["summary"].get<std::string>() << "\n";
    }
  }
  if (*reply.Status == ConflictStatus) {
    return ExitConflict;
  }
  return *reply.Status >= 500 ? ExitUnavailable : ExitRefused;
}

/// Waits until every listed router has at least `revision` in force.
bool waitInForce(AdminClient &client, std::uint64_t revision,
                 std::chrono::seconds wait) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + wait;
  std::size_t done = 0;
  while (done < client.routers().size()) {
    const AdminReply reply =
        client.call(client.routers()[done], "GET", "/v1/status", Json());
    const bool there =
        reply.Status == Ok && reply.Body.value("revision", 0ULL) >= revision;
    if (there) {
      ++done;
    } else if (std::chrono::steady_clock::now() >= end) {
      return false;
    } else {
      std::this_thread::sleep_for(PollInterval);
    }
  }
  return true;
}

int change(AdminClient &client, const std::string &path, Json body,
           const std::string &summary, const CommandOptions &options) {
  body["change"] = newChangeId();
  body["author"] = options.Author;
  body["summary"] = summary;
  const AdminReply reply = client.callAny("POST", path, body);
  if (reply.Status != Ok) {
    return reportFailure(reply, options);
  }
  const std::uint64_t revision = reply.Body.value("revision", 0ULL);
  if (!options.Json) {
    std::cout << "accepted as revision " << revision << "\n";
  }
  const bool inForce = waitInForce(client, revision, options.Wait);
  if (options.Json) {
    print({{"revision", revision}, {"in_force", inForce}});
  } else {
    std::cout << (inForce ? "in force at all routers"
                          : "not in force at all routers yet")
              << "\n";
  }
  return inForce ? ExitOk : ExitNotInForce;
}

std::optional<std::vector<ConfigFile>> load(const std::string &folder) {
  std::string reason;
  std::optional<std::vector<ConfigFile>> files = readFolder(folder, reason);
  if (!files) {
    std::cerr << reason << "\n";
  }
  return files;
}

} // namespace

int checkFolder(const std::string &folder, const CommandOptions &options) {
  const std::optional<std::vector<ConfigFile>> files = load(folder);
  if (!files) {
    return ExitRefused;
  }
  const ConfigResult result = parseConfiguration(*files, Revision{1});
  Json faults = Json::array();
  for (const ConfigFault &it : result.Faults) {
    faults.push_back(
        {{"file", it.File}, {"path", it.Path}, {"expected", it.Expected}});
    if (!options.Json) {
      std::cerr << describe(it) << "\n";
    }
  }
  if (options.Json) {
    print({{"valid", result.Value != nullptr}, {"faults", faults}});
  } else if (result.Value) {
    std::cout << "valid: " << files->size() << " files, "
              << result.Value->Teams.size() << " teams, "
              << result.Value->Targets.size() << " targets\n";
  }
  return result.Value ? ExitOk : ExitRefused;
}

int diffFolder(AdminClient &client, const std::string &folder,
               const CommandOptions &options) {
  const std::optional<std::vector<ConfigFile>> files = load(folder);
  if (!files) {
    return ExitRefused;
  }
  const AdminReply reply = client.callAny("GET", "/v1/configuration", Json());
  if (reply.Status != Ok) {
    return reportFailure(reply, options);
  }
  std::map<std::string, std::string> stored;
  for (const Json &it : reply.Body["files"]) {
    stored[it["name"].get<std::string>()] = it["text"].get<std::string>();
  }
  Json added = Json::array();
  Json changed = Json::array();
  for (const ConfigFile &it : *files) {
    const auto old = stored.find(it.Name);
    if (old == stored.end()) {
      added.push_back(it.Name);
    } else if (old->second != it.Text) {
      changed.push_back(it.Name);
    }
    stored.erase(it.Name);
  }
  Json removed = Json::array();
  for (const auto &[name, text] : stored) {
    removed.push_back(name);
  }
  const Json result{{"revision", reply.Body["revision"]},
                    {"added", added},
                    {"changed", changed},
                    {"removed", removed}};
  if (options.Json) {
    print(result);
    return ExitOk;
  }
  for (const char *kind : {"added", "changed", "removed"}) {
    for (const Json &name : result[kind]) {
      std::cout << kind << " " << name.get<std::string>() << "\n";
    }
  }
  return ExitOk;
}

int applyFolder(AdminClient &client, const std::string &folder,
                const CommandOptions &options) {
  const std::optional<std::vector<ConfigFile>> files = load(folder);
  if (!files) {
    return ExitRefused;
  }
  Json body{{"files", Json::array()}};
  for (const ConfigFile &it : *files) {
    body["files"].push_back({{"name", it.Name}, {"text", it.Text}});
  }
  if (options.Base) {
    body["base"] = *options.Base;
  }
  return change(client, "/v1/configuration", std::move(body),
                "apply " + std::to_string(files->size()) + " files", options);
}

int switchOut(AdminClient &client, const std::string &section,
              const std::string &direction, const std::string &name,
              const CommandOptions &options) {
  return change(client, "/v1/" + section + "/" + name + "/" + direction,
                Json::object(), section + " " + direction + " " + name,
                options);
}

int showStatus(AdminClient &client, const CommandOptions &options) {
  Json routers = Json::array();
  bool any = false;
  for (const Endpoint &it : client.routers()) {
    const AdminReply reply = client.call(it, "GET", "/v1/status", Json());
    const std::string address =
        it.address().to_string() + ":" + std::to_string(it.port());
    any = any || reply.Status == Ok;
    routers.push_back({{"admin", address},
                       {"reachable", reply.Status == Ok},
                       {"status", reply.Status == Ok ? reply.Body : Json()}});
  }
  if (options.Json) {
    print({{"routers", routers}});
    return any ? ExitOk : ExitUnavailable;
  }
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> gaps;
  for (const Json &it : routers) {
    std::cout << it["admin"].get<std::string>() << "  ";
    if (!it["reachable"].get<bool>()) {
      std::cout << "unreachable\n";
      continue;
    }
    const Json &status = it["status"];
    std::cout << status["state"].get<std::string>() << "  revision "
              << status["revision"] << "  open " << status["requests_open"]
              << "\n";
    for (const Json &target : status["targets"]) {
      std::cout << "  target " << target["target"].get<std::string>() << "  "
                << target["state"].get<std::string>() << "  in use "
                << target["in_use"] << "/" << target["limit"]
                << (target["may_grant"].get<bool>() ? "" : "  not granting")
                << "\n";
    }
    for (const Json &team : status["teams"]) {
      const bool backlogged = team["backlogged"].get<bool>();
      const std::int64_t service = team["service_milli"].get<std::int64_t>();
      std::cout << "  team " << team["team"].get<std::string>() << " in "
                << team["pool"].get<std::string>() << "  service/weight "
                << service / 1000 << (backlogged ? "  backlogged" : "") << "\n";
      if (backlogged) {
        const std::string pool = team["pool"].get<std::string>();
        const auto [gap, fresh] =
            gaps.try_emplace(pool, std::make_pair(service, service));
        gap->second.first = std::min(gap->second.first, service);
        gap->second.second = std::max(gap->second.second, service);
      }
    }
  }
  for (const auto &[pool, range] : gaps) {
    std::cout << "gap in " << pool << ": "
              << (range.second - range.first) / 1000
              << " cost units per weight\n";
  }
  return any ? ExitOk : ExitUnavailable;
}

} // namespace nutmegsill
