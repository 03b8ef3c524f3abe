#include "nutmegsill/config.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <nlohmann/json.hpp>

namespace nutmegsill {

using nlohmann::json;

namespace {

/// Reads the members of one object and notes every fault.
class ObjectReader {
public:
  ObjectReader(const json &value, std::string path,
               std::vector<ConfigFault> &faults)
      : Value(value), Path(std::move(path)), Faults(faults) {
    if (!Value.is_object()) {
      fault("", "an object");
    }
  }

  void fault(const std::string &member, const std::string &expected) {
    Faults.push_back(
        {"", member.empty() ? Path : Path + "/" + member, expected});
  }

  const json *find(const std::string &member) {
    Known.push_back(member);
    if (!Value.is_object() || !Value.contains(member)) {
      return nullptr;
    }
    return &Value[member];
  }

  template <class N>
  void number(const std::string &member, std::int64_t low, std::int64_t high,
              N &out) {
    const json *it = find(member);
    if (it == nullptr) {
      return;
    }
    const bool fits = it->is_number_integer() &&
                      it->get<std::int64_t>() >= low &&
                      it->get<std::int64_t>() <= high;
    if (!fits) {
      fault(member, "an integer from " + std::to_string(low) + " to " +
                        std::to_string(high));
      return;
    }
    out = static_cast<N>(it->get<std::int64_t>());
  }

  void boolean(const std::string &member, bool &out) {
    const json *it = find(member);
    if (it == nullptr) {
      return;
    }
    if (!it->is_boolean()) {
      fault(member, "true or false");
      return;
    }
    out = it->get<bool>();
  }

  std::string text(const std::string &member, bool required) {
    const json *it = find(member);
    if (it == nullptr && !required) {
      return {};
    }
    if (it == nullptr || !it->is_string() || it->get<std::string>().empty()) {
      fault(member, "a non-empty string");
      return {};
    }
    return it->get<std::string>();
  }

  void refuseUnknown() {
    if (!Value.is_object()) {
      return;
    }
    for (const auto &[name, value] : Value.items()) {
      if (std::find(Known.begin(), Known.end(), name) == Known.end()) {
        fault("", "only the keys " + joinKnown() + ", not \"" + name + "\"");
      }
    }
  }

private:
  std::string joinKnown() const {
    std::string all;
    for (const std::string &name : Known) {
      all += (all.empty() ? "" : ", ") + name;
    }
    return all;
  }

  const json &Value;
  std::string Path;
  std::vector<ConfigFault> &Faults;
  std::vector<std::string> Known;
};

/// Longest interval accepted in settings, in milliseconds.
constexpr std::int64_t MaxInterval = 3'600'000;
constexpr std::int64_t MaxSlots = 100'000;
constexpr std::int64_t MaxCost = 1'000'000;

void readMillis(ObjectReader &reader, const std::string &member,
                milliseconds &out) {
  std::int64_t n = out.count();
  reader.number(member, 0, MaxInterval, n);
  out = milliseconds(n);
}

ZoneConfig readZone(ObjectReader &reader) {
  ZoneConfig zone;
  reader.boolean("out", zone.Out);
  return zone;
}

PoolConfig readPool(ObjectReader &reader) {
  PoolConfig pool;
  const std::string kind = reader.text("kind", true);
  if (!kind.empty() && kind != "model" && kind != "service") {
    reader.fault("kind", "\"model\" or \"service\"");
  }
  pool.Kind = kind == "service" ? PoolKindOf::Service : PoolKindOf::Model;
  pool.Prefix = reader.text("prefix", kind == "service");
  if (!pool.Prefix.empty() && pool.Prefix[0] != '/') {
    reader.fault("prefix", "a path that begins with \"/\"");
  }
  reader.number("estimate", 1, MaxCost, pool.Estimate.Units);
  readMillis(reader, "queue_timeout_ms", pool.QueueTimeout);
  return pool;
}

TargetConfig readTarget(ObjectReader &reader) {
  TargetConfig target;
  target.Pool = PoolId{reader.text("pool", true)};
  target.Zone = ZoneId{reader.text("zone", true)};
  target.Address = reader.text("address", true);
  if (!target.Address.empty() &&
      target.Address.find(':') == std::string::npos) {
    reader.fault("address", "\"IP:port\"");
  }
  reader.number("slots", 1, MaxSlots, target.Slots);
  reader.number("cold_slots", 1, MaxSlots, target.ColdSlots);
  readMillis(reader, "warm_up_ms", target.WarmUp);
  reader.boolean("fencing", target.Fencing);
  reader.boolean("out", target.Out);
  return target;
}

bool isKeyHash(const json &value) {
  constexpr std::size_t digits = 64;
  if (!value.is_string() || value.get<std::string>().size() != digits) {
    return false;
  }
  return value.get<std::string>().find_first_not_of("0123456789abcdef") ==
         std::string::npos;
}

TeamConfig readTeam(ObjectReader &reader) {
  constexpr std::int64_t maxWeight = 1000;
  TeamConfig team;
  reader.number("weight", 1, maxWeight, team.Weight);
  reader.number("queue_limit", 1, MaxCost, team.QueueLimit);
  const json *keys = reader.find("key_sha256");
  if (keys == nullptr) {
    return team;
  }
  const bool listed =
      keys->is_array() && std::all_of(keys->begin(), keys->end(), isKeyHash);
  if (!listed) {
    reader.fault("key_sha256",
                 "a list of SHA-256 hashes as 64 lower-case hex digits");
    return team;
  }
  for (const json &key : *keys) {
    team.KeyHashes.push_back(key.get<std::string>());
  }
  return team;
}

bool isName(const std::string &text) {
  constexpr std::size_t longest = 100;
  return !text.empty() && text.size() <= longest &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
         });
}

template <class Key, class Value, class Read>
void readSection(const json &root, const std::string &name,
                 std::map<Key, Value> &out, const Read &read,
                 std::vector<ConfigFault> &faults) {
  if (!root.contains(name)) {
    return;
  }
  if (!root[name].is_object()) {
    faults.push_back({"", "/" + name, "an object of named entries"});
    return;
  }
  for (const auto &[key, value] : root[name].items()) {
    if (!isName(key)) {
      faults.push_back(
          {"", "/" + name, "names of letters, digits, \".\", \"_\" and \"-\""});
      continue;
    }
    std::string path = "/" + name;
    path.append("/").append(key);
    ObjectReader reader(value, path, faults);
    out[Key{key}] = read(reader);
    reader.refuseUnknown();
  }
}

void checkReferences(Configuration &config, std::vector<ConfigFault> &faults) {
  for (const auto &[id, target] : config.Targets) {
    const std::string path = "/targets/" + id.Text;
    if (!target.Pool.Text.empty() && config.Pools.count(target.Pool) == 0) {
      faults.push_back({"", path + "/pool", "the name of a pool"});
    }
    if (!target.Zone.Text.empty() && config.Zones.count(target.Zone) == 0) {
      faults.push_back({"", path + "/zone", "the name of a zone"});
    }
    if (target.ColdSlots > target.Slots) {
      faults.push_back({"", path + "/cold_slots", "at most slots"});
    }
  }
  for (const auto &[id, team] : config.Teams) {
    for (const std::string &hash : team.KeyHashes) {
      const bool fresh = config.TeamByKeyHash.emplace(hash, id).second;
      if (!fresh) {
        faults.push_back({"", "/teams/" + id.Text + "/key_sha256",
                          "keys that no other team has"});
      }
    }
  }
}

/// Names the last file with the top-level key `name`.
std::string fileWith(const std::string &name,
                     const std::vector<std::pair<std::string, json>> &parsed) {
  std::string last;
  for (const auto &[file, value] : parsed) {
    last = value.contains(name) ? file : last;
  }
  return last;
}

/// Names the last file that sets `path` or a part of it.
std::string fileOf(const std::string &path,
                   const std::vector<std::pair<std::string, json>> &parsed) {
  std::string cut = path == "/" ? "" : path;
  while (!cut.empty()) {
    for (auto it = parsed.rbegin(); it != parsed.rend(); ++it) {
      if (it->second.contains(json::json_pointer(cut))) {
        return it->first;
      }
    }
    cut.resize(cut.rfind('/'));
  }
  return "(merged)";
}

} // namespace

bool Configuration::accepts(const TargetId &id) const {
  const auto it = Targets.find(id);
  if (it == Targets.end() || it->second.Out) {
    return false;
  }
  const auto zone = Zones.find(it->second.Zone);
  return zone != Zones.end() && !zone->second.Out;
}

std::optional<PoolId>
Configuration::poolForPath(const std::string &path) const {
  std::optional<PoolId> best;
  std::size_t length = 0;
  for (const auto &[id, pool] : Pools) {
    const std::string &prefix = pool.Prefix;
    const bool fits =
        pool.Kind == PoolKindOf::Service && path.rfind(prefix, 0) == 0 &&
        (path.size() == prefix.size() || prefix.back() == '/' ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?');
    if (fits && prefix.size() > length) {
      best = id;
      length = prefix.size();
    }
  }
  return best;
}

std::string describe(const ConfigFault &fault) {
  return fault.File + ": " + fault.Path + ": expected " + fault.Expected;
}

ConfigResult parseConfiguration(std::vector<ConfigFile> files,
                                Revision number) {
  std::stable_sort(
      files.begin(), files.end(),
      [](const ConfigFile &a, const ConfigFile &b) { return a.Name < b.Name; });
  ConfigResult result;
  json root = json::object();
  std::vector<std::pair<std::string, json>> parsed;
  for (const ConfigFile &file : files) {
    json value = json::parse(file.Text, nullptr, false);
    if (!value.is_object()) {
      result.Faults.push_back({file.Name, "/", "a JSON object"});
      continue;
    }
    root.merge_patch(value);
    parsed.emplace_back(file.Name, std::move(value));
  }
  Configuration config;
  config.Number = number;
  std::vector<ConfigFault> faults;
  readSection(root, "zones", config.Zones, readZone, faults);
  readSection(root, "pools", config.Pools, readPool, faults);
  readSection(root, "targets", config.Targets, readTarget, faults);
  readSection(root, "teams", config.Teams, readTeam, faults);
  for (const auto &[name, value] : root.items()) {
    const bool known = name == "zones" || name == "pools" ||
                       name == "targets" || name == "teams";
    if (!known) {
      faults.push_back({fileWith(name, parsed), "/",
                        "only the keys zones, pools, targets and teams, not "
                        "\"" +
                            name + "\""});
    }
  }
  checkReferences(config, faults);
  for (ConfigFault &fault : faults) {
    if (fault.File.empty()) {
      fault.File = fileOf(fault.Path, parsed);
    }
    result.Faults.push_back(fault);
  }
  if (result.Faults.empty()) {
    result.Value = std::make_shared<const Configuration>(std::move(config));
  }
  return result;
}

} // namespace nutmegsill
