#include "settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegsill::gateway {

using nlohmann::json;

namespace {

constexpr std::size_t CurveKeyLength = 40;
constexpr double MaxNumber = 1e9;

/// Reads the members of one JSON object and collects every error.
class MemberReader {
public:
  MemberReader(const json &root, const std::string &name, bool required,
               std::vector<std::string> &errors)
      : Path("/" + name), Errors(errors) {
    if (root.contains(name) && root[name].is_object()) {
      Object = &root[name];
    } else if (required || root.contains(name)) {
      Errors.push_back(Path + ": expected an object");
    }
  }

  bool isPresent() const { return Object != nullptr; }
  bool has(const char *member) const { return find(member) != nullptr; }

  std::string readText(const char *member) {
    const json *it = find(member);
    if (it == nullptr || !it->is_string() || it->get<std::string>().empty()) {
      addError(member, "a non-empty string");
      return {};
    }
    return it->get<std::string>();
  }

  Endpoint readEndpoint(const char *member) {
    const std::optional<Endpoint> parsed = parseEndpoint(readAddress(member));
    return parsed.value_or(Endpoint());
  }

  std::string readAddress(const char *member) {
    const json *it = find(member);
    const bool isEndpoint = it != nullptr && it->is_string() &&
                            parseEndpoint(it->get<std::string>()).has_value();
    if (!isEndpoint) {
      addError(member, "\"IP:port\"");
      return {};
    }
    return it->get<std::string>();
  }

  double readNumber(const char *member, double fallback) {
    const json *it = find(member);
    if (it == nullptr || it->is_null()) {
      return fallback;
    }
    if (!it->is_number() || it->get<double>() < 0 ||
        it->get<double>() > MaxNumber) {
      addError(member, "a number from 0 to 1000000000");
      return fallback;
    }
    return it->get<double>();
  }

  Duration readMillis(const char *member, Duration fallback) {
    const double value = readNumber(
        member, std::chrono::duration<double, std::milli>(fallback).count());
    return Duration(static_cast<std::int64_t>(value * 1e3));
  }

  Duration readSeconds(const char *member, Duration fallback) {
    const double value =
        readNumber(member, std::chrono::duration<double>(fallback).count());
    return Duration(static_cast<std::int64_t>(value * 1e6));
  }

private:
  const json *find(const char *member) const {
    return Object != nullptr && Object->contains(member) ? &(*Object)[member]
                                                         : nullptr;
  }
  void addError(const char *member, const char *expected) {
    if (Object != nullptr) {
      Errors.push_back(Path + "/" + member + ": expected " + expected);
    }
  }

  const json *Object = nullptr;
  std::string Path;
  std::vector<std::string> &Errors;
};

void readBounds(const json &root, FleetBounds &out,
                std::vector<std::string> &errors) {
  MemberReader reader(root, "bounds", false, errors);
  out.RevocationBound = reader.readMillis("revocation_ms", out.RevocationBound);
  out.StopGrace = reader.readSeconds("stop_grace_s", out.StopGrace);
  out.MaxAddressTtl = std::chrono::duration_cast<std::chrono::seconds>(
      reader.readSeconds("address_life_s", out.MaxAddressTtl));
  out.RetryBudget.RetryRatio =
      reader.readNumber("retry_ratio", out.RetryBudget.RetryRatio);
  out.RetryBudget.Window =
      reader.readSeconds("retry_window_s", out.RetryBudget.Window);
  out.RetryBudget.ExtraRetries =
      static_cast<std::uint32_t>(reader.readNumber("retry_extra", 0));
  const double share = reader.readNumber("exposure_share", 0);
  if (share > 0) {
    routing::RolloutPolicy policy;
    policy.ExposureShare = std::min(1.0, share);
    policy.ExposureExtra =
        reader.readNumber("exposure_extra", policy.ExposureExtra);
    policy.RollbackTime = reader.readMillis("rollback_ms", policy.RollbackTime);
    out.Rollout = policy;
  }
}

} // namespace

GatewaySettingsResult parseGatewaySettings(const std::string &text) {
  GatewaySettingsResult result;
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object()) {
    result.Errors.emplace_back("/: expected a JSON object");
    return result;
  }
  GatewaySettings out;
  std::vector<std::string> &errors = result.Errors;
  MemberReader gateway(root, "gateway", true, errors);
  out.Host = HostId{gateway.readText("host")};
  out.Zone = ZoneId{gateway.readText("zone")};
  out.CallerEndpoint = gateway.readEndpoint("callers");
  out.ReadinessEndpoint = gateway.readEndpoint("readiness");
  out.DirectoryEndpoint = gateway.readEndpoint("directory");
  out.PeerAddress = gateway.readAddress("peer");
  out.MetricsAddress = gateway.readAddress("metrics");
  if (gateway.has("handover")) {
    out.HandoverEndpoint = gateway.readEndpoint("handover");
  }
  out.MaxDescriptors = static_cast<std::size_t>(gateway.readNumber(
      "descriptors", static_cast<double>(out.MaxDescriptors)));
  constexpr double bytesPerMb = 1U << 20U;
  out.MemoryBytes = static_cast<std::size_t>(
      gateway.readNumber("memory_mb",
                         static_cast<double>(out.MemoryBytes) / bytesPerMb) *
      bytesPerMb);
  out.ProcessorShare = gateway.readNumber("processor_quota", 1) *
                       gateway.readNumber("processor_speed", 1);
  MemberReader store(root, "store", true, errors);
  out.StoreEndpoint = store.readEndpoint("address");
  out.MinLeaseTtl = std::chrono::duration_cast<milliseconds>(
      store.readMillis("shortest_lease_ms", out.MinLeaseTtl));
  MemberReader curve(root, "curve", false, errors);
  if (curve.isPresent()) {
    out.Curve = CurveKeys{curve.readText("public"), curve.readText("secret")};
    if (out.Curve->Public.size() != CurveKeyLength ||
        out.Curve->Secret.size() != CurveKeyLength) {
      errors.emplace_back("/curve: expected Z85 keys of 40 characters");
    }
  }
  MemberReader placement(root, "placement", false, errors);
  out.ZoneHomes.MinEngines =
      static_cast<std::size_t>(placement.readNumber("zone_home_engines", 0));
  readBounds(root, out.Bounds, errors);
  MemberReader hedging(root, "hedging", false, errors);
  out.Hedging.Budget = hedging.readNumber("budget", out.Hedging.Budget);
  if (out.Hedging.Budget > 1) {
    errors.emplace_back("/hedging/budget: expected a fraction of 0 to 1");
  }
  if (errors.empty()) {
    result.Value = std::move(out);
  }
  return result;
}

} // namespace nutmegsill::gateway
