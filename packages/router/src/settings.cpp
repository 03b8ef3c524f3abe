#include "settings.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace nutmegsill {

using nlohmann::json;

namespace {

constexpr std::size_t CurveTextLength = 40;
constexpr std::size_t HashLength = 64;
constexpr std::int64_t MaxInterval = 3'600'000;

class Reader {
public:
  Reader(const json &value, std::string path, std::vector<std::string> &faults)
      : Value(value), Path(std::move(path)), Faults(faults) {
    if (!Value.is_object()) {
      fault("", "an object");
    }
  }

  void fault(const std::string &member, const std::string &expected) {
    Faults.push_back(Path + (member.empty() ? "" : "/" + member) +
                     ": expected " + expected);
  }

  const json *find(const std::string &member, bool required,
                   const std::string &expected) {
    Known.push_back(member);
    if (Value.is_object() && Value.contains(member)) {
      return &Value[member];
    }
    if (required) {
      fault(member, expected);
    }
    return nullptr;
  }

  std::string text(const std::string &member, bool required,
                   const std::string &expected,
                   const std::function<bool(const std::string &)> &fits) {
    const json *it = find(member, required, expected);
    if (it == nullptr) {
      return {};
    }
    if (!it->is_string() || !fits(it->get<std::string>())) {
      fault(member, expected);
      return {};
    }
    return it->get<std::string>();
  }

  std::string name(const std::string &member) {
    return text(member, true, "a non-empty string",
                [](const std::string &it) { return !it.empty(); });
  }

  std::string address(const std::string &member) {
    return text(member, true, "\"IP:port\"", [](const std::string &it) {
      return parseEndpoint(it).has_value();
    });
  }

  std::int64_t integer(const std::string &member, std::int64_t low,
                       std::int64_t high, std::int64_t otherwise) {
    const std::string expected = "an integer from " + std::to_string(low) +
                                 " to " + std::to_string(high);
    const json *it = find(member, false, expected);
    if (it == nullptr) {
      return otherwise;
    }
    const bool fits = it->is_number_integer() &&
                      it->get<std::int64_t>() >= low &&
                      it->get<std::int64_t>() <= high;
    if (!fits) {
      fault(member, expected);
      return otherwise;
    }
    return it->get<std::int64_t>();
  }

  void interval(const std::string &member, Duration &out) {
    const std::int64_t now =
        std::chrono::duration_cast<milliseconds>(out).count();
    out = milliseconds(integer(member, 1, MaxInterval, now));
  }

  void refuseUnknown() {
    if (!Value.is_object()) {
      return;
    }
    for (const auto &[name, value] : Value.items()) {
      const bool known =
          std::find(Known.begin(), Known.end(), name) != Known.end();
      if (!known) {
        fault(name, "no such key here");
      }
    }
  }

private:
  const json &Value;
  std::string Path;
  std::vector<std::string> &Faults;
  std::vector<std::string> Known;
};

Endpoint endpointOf(const std::string &text) {
  return parseEndpoint(text).value_or(Endpoint());
}

void readPlatform(const json &root, Settings &out,
                  std::vector<std::string> &faults) {
  Reader reader(root, "/platform", faults);
  const std::string form = "a non-empty list of \"IP:port\"";
  const json *list = reader.find("key_value", true, form);
  if (list != nullptr && (!list->is_array() || list->empty())) {
    reader.fault("key_value", form);
  } else if (list != nullptr) {
    for (const json &it : *list) {
      const std::optional<Endpoint> parsed =
          it.is_string() ? parseEndpoint(it.get<std::string>()) : std::nullopt;
      if (!parsed) {
        reader.fault("key_value", form);
        break;
      }
      out.KeyValue.push_back(*parsed);
    }
  }
  out.HostList = endpointOf(reader.address("host_list"));
  out.PlatformTimeout = milliseconds(reader.integer(
      "timeout_ms", 1, MaxInterval, out.PlatformTimeout.count()));
  reader.refuseUnknown();
}

void readCurve(const json &root, Settings &out,
               std::vector<std::string> &faults) {
  Reader reader(root, "/curve", faults);
  const auto fits = [](const std::string &it) {
    return it.size() == CurveTextLength;
  };
  const std::string form = "a Z85 key of 40 characters";
  out.Curve.Public = reader.text("public", true, form, fits);
  out.Curve.Secret = reader.text("secret", true, form, fits);
  reader.refuseUnknown();
}

void readAdmin(const json &root, Settings &out,
               std::vector<std::string> &faults) {
  Reader reader(root, "/admin", faults);
  out.Admin = endpointOf(reader.address("address"));
  out.AdminKeyHash = reader.text(
      "key_sha256", true, "a SHA-256 hash as 64 lower-case hex digits",
      [](const std::string &it) {
        return it.size() == HashLength &&
               it.find_first_not_of("0123456789abcdef") == std::string::npos;
      });
  reader.refuseUnknown();
}

void readTls(const json &root, Settings &out,
             std::vector<std::string> &faults) {
  Reader reader(root, "/tls", faults);
  out.Tls = TlsFiles{reader.name("certificate"), reader.name("key")};
  reader.refuseUnknown();
}

void readLimits(const json &root, DataLimits &out,
                std::vector<std::string> &faults) {
  constexpr std::int64_t maxBytes = 1LL << 30;
  Reader reader(root, "/limits", faults);
  out.MaxBodyBytes = static_cast<std::uint64_t>(
      reader.integer("max_body_bytes", 1, maxBytes,
                     static_cast<std::int64_t>(out.MaxBodyBytes)));
  out.MaxHeaderBytes = static_cast<std::uint32_t>(
      reader.integer("max_header_bytes", 256, maxBytes, out.MaxHeaderBytes));
  out.IdleTimeout = milliseconds(reader.integer(
      "idle_timeout_ms", 1, MaxInterval, out.IdleTimeout.count()));
  out.ConnectTimeout = milliseconds(reader.integer(
      "connect_timeout_ms", 1, MaxInterval, out.ConnectTimeout.count()));
  reader.refuseUnknown();
}

void readTiming(const json &root, Timing &out,
                std::vector<std::string> &faults) {
  constexpr std::int64_t maxWidth = 10'000;
  Reader reader(root, "/timing", faults);
  reader.interval("heartbeat_ms", out.Heartbeat);
  reader.interval("promise_life_ms", out.PromiseLife);
  reader.interval("suspect_after_ms", out.SuspectAfter);
  reader.interval("grant_life_ms", out.GrantLife);
  reader.interval("widen_after_ms", out.WidenAfter);
  reader.interval("demand_refresh_ms", out.DemandRefresh);
  reader.interval("usage_interval_ms", out.UsageInterval);
  reader.interval("load_poll_ms", out.LoadPoll);
  reader.interval("config_poll_ms", out.ConfigPoll);
  reader.interval("isolated_after_ms", out.IsolatedAfter);
  out.FirstWidth = static_cast<std::uint32_t>(
      reader.integer("first_width", 1, maxWidth, out.FirstWidth));
  out.MaxWidth = static_cast<std::uint32_t>(
      reader.integer("max_width", 1, maxWidth, out.MaxWidth));
  reader.refuseUnknown();
}

template <class Read>
void readPart(Reader &reader, const json &root, const std::string &name,
              bool required, const Read &read) {
  if (reader.find(name, required, "an object") != nullptr) {
    read(root[name]);
  }
}

} // namespace

SettingsResult parseSettings(const std::string &text) {
  SettingsResult result;
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object()) {
    result.Faults.emplace_back("/: expected a JSON object");
    return result;
  }
  Settings out;
  std::vector<std::string> &faults = result.Faults;
  Reader reader(root, "", faults);
  out.Self.Host = HostId{reader.name("host")};
  out.Self.Zone = ZoneId{reader.name("zone")};
  out.Self.EntryAddress = reader.address("entry");
  out.Entry = endpointOf(out.Self.EntryAddress);
  out.Self.PeerAddress = reader.address("peer");
  out.MetricsAddress = reader.address("metrics");
  constexpr std::int64_t maxThreads = 64;
  out.TrafficThreads = static_cast<std::uint32_t>(
      reader.integer("traffic_threads", 1, maxThreads, out.TrafficThreads));
  readPart(reader, root, "platform", true,
           [&](const json &it) { readPlatform(it, out, faults); });
  readPart(reader, root, "curve", true,
           [&](const json &it) { readCurve(it, out, faults); });
  readPart(reader, root, "admin", true,
           [&](const json &it) { readAdmin(it, out, faults); });
  readPart(reader, root, "tls", false,
           [&](const json &it) { readTls(it, out, faults); });
  readPart(reader, root, "limits", false,
           [&](const json &it) { readLimits(it, out.Limits, faults); });
  readPart(reader, root, "timing", false,
           [&](const json &it) { readTiming(it, out.Intervals, faults); });
  reader.refuseUnknown();
  if (faults.empty()) {
    result.Value = std::move(out);
  }
  return result;
}

} // namespace nutmegsill
