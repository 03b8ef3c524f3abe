#include "settings.h"

#include <nlohmann/json.hpp>

namespace nutmegsill::gateway {

using nlohmann::json;

namespace {

constexpr std::size_t CurveTextLength = 40;
constexpr double LargestNumber = 1e9;

/// Reads members of one object; collects every fault.
class MemberReader {
public:
  MemberReader(const json &root, const std::string &name, bool required,
               std::vector<std::string> &faults)
      : Path("/" + name), Faults(faults) {
    if (root.contains(name) && root[name].is_object()) {
      Value = &root[name];
    } else if (required || root.contains(name)) {
      Faults.push_back(Path + ": expected an object");
    }
  }

  bool present() const { return Value != nullptr; }

  std::string text(const char *member) {
    const json *it = find(member);
    if (it == nullptr || !it->is_string() || it->get<std::string>().empty()) {
      fault(member, "a non-empty string");
      return {};
    }
    return it->get<std::string>();
  }

  Endpoint endpoint(const char *member) {
    const std::optional<Endpoint> parsed = parseEndpoint(address(member));
    return parsed.value_or(Endpoint());
  }

  std::string address(const char *member) {
    const json *it = find(member);
    const bool fits = it != nullptr && it->is_string() &&
                      parseEndpoint(it->get<std::string>()).has_value();
    if (!fits) {
      fault(member, "\"IP:port\"");
      return {};
    }
    return it->get<std::string>();
  }

  double number(const char *member, double otherwise) {
    const json *it = find(member);
    if (it == nullptr || it->is_null()) {
      return otherwise;
    }
    if (!it->is_number() || it->get<double>() < 0 ||
        it->get<double>() > LargestNumber) {
      fault(member, "a number from 0 to 1000000000");
      return otherwise;
    }
    return it->get<double>();
  }

  Duration millis(const char *member, Duration otherwise) {
    const double value = number(
        member, std::chrono::duration<double, std::milli>(otherwise).count());
    return Duration(static_cast<std::int64_t>(value * 1e3));
  }

  Duration seconds(const char *member, Duration otherwise) {
    const double value =
        number(member, std::chrono::duration<double>(otherwise).count());
    return Duration(static_cast<std::int64_t>(value * 1e6));
  }

private:
  const json *find(const char *member) const {
    return Value != nullptr && Value->contains(member) ? &(*Value)[member]
                                                       : nullptr;
  }
  void fault(const char *member, const char *expected) {
    if (Value != nullptr) {
      Faults.push_back(Path + "/" + member + ": expected " + expected);
    }
  }

  const json *Value = nullptr;
  std::string Path;
  std::vector<std::string> &Faults;
};

void readBounds(const json &root, FleetBounds &out,
                std::vector<std::string> &faults) {
  MemberReader reader(root, "bounds", false, faults);
  out.Revocation = reader.millis("revocation_ms", out.Revocation);
  out.StopGrace = reader.seconds("stop_grace_s", out.StopGrace);
  out.AddressLife = std::chrono::duration_cast<std::chrono::seconds>(
      reader.seconds("address_life_s", out.AddressLife));
  out.Retries.RetryRatio = reader.number("retry_ratio", out.Retries.RetryRatio);
  out.Retries.Window = reader.seconds("retry_window_s", out.Retries.Window);
  out.Retries.ExtraRetries =
      static_cast<std::uint32_t>(reader.number("retry_extra", 0));
}

} // namespace

GatewaySettingsResult parseGatewaySettings(const std::string &text) {
  GatewaySettingsResult result;
  const json root = json::parse(text, nullptr, false);
  if (!root.is_object()) {
    result.Faults.emplace_back("/: expected a JSON object");
    return result;
  }
  GatewaySettings out;
  std::vector<std::string> &faults = result.Faults;
  MemberReader gateway(root, "gateway", true, faults);
  out.Host = HostId{gateway.text("host")};
  out.Zone = ZoneId{gateway.text("zone")};
  out.Callers = gateway.endpoint("callers");
  out.Readiness = gateway.endpoint("readiness");
  out.Directory = gateway.endpoint("directory");
  out.PeerAddress = gateway.address("peer");
  out.MetricsAddress = gateway.address("metrics");
  out.Descriptors = static_cast<std::size_t>(
      gateway.number("descriptors", static_cast<double>(out.Descriptors)));
  MemberReader store(root, "store", true, faults);
  out.Store = store.endpoint("address");
  out.ShortestLease = std::chrono::duration_cast<milliseconds>(
      store.millis("shortest_lease_ms", out.ShortestLease));
  MemberReader curve(root, "curve", false, faults);
  if (curve.present()) {
    out.Curve = CurveKeys{curve.text("public"), curve.text("secret")};
    if (out.Curve->Public.size() != CurveTextLength ||
        out.Curve->Secret.size() != CurveTextLength) {
      faults.emplace_back("/curve: expected Z85 keys of 40 characters");
    }
  }
  readBounds(root, out.Bounds, faults);
  if (faults.empty()) {
    result.Value = std::move(out);
  }
  return result;
}

} // namespace nutmegsill::gateway
