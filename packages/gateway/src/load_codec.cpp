#include "load_codec.h"

#include "load.pb.h"

#include <cmath>

namespace nutmegsill::gateway {

std::string encodeLoad(const routing::LoadReport &report) {
  wire::LoadReport out;
  for (const routing::TargetLoad &it : report.Targets) {
    wire::TargetLoad *entry = out.add_targets();
    entry->set_target(it.Target.Text);
    entry->set_prefill_tokens(it.PrefillTokens);
    entry->set_running(it.RunningRequests);
  }
  for (const routing::TeamTraffic &it : report.Teams) {
    wire::TeamTraffic *entry = out.add_teams();
    entry->set_team(it.Team.Text);
    entry->set_asked(static_cast<float>(it.Rate.Requested));
    entry->set_served(static_cast<float>(it.Rate.Served));
  }
  for (const routing::SentPrompts &it : report.PromptsSent) {
    wire::SentPrompts *entry = out.add_sent();
    entry->set_target(it.Target.Text);
    entry->set_tokens(it.PrefillTokens);
    entry->mutable_parts()->Add(it.Parts.begin(), it.Parts.end());
  }
  for (const HostId &it : report.IncludedHosts) {
    out.add_hosts(it.Text);
  }
  return out.SerializeAsString();
}

std::optional<routing::LoadReport> decodeLoad(std::string_view bytes) {
  wire::LoadReport in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  routing::LoadReport report;
  for (const wire::TargetLoad &it : in.targets()) {
    report.Targets.push_back(
        {TargetId{it.target()}, it.prefill_tokens(), it.running()});
  }
  for (const wire::TeamTraffic &it : in.teams()) {
    const routing::TeamRate rate{it.asked(), it.served()};
    const bool valid = std::isfinite(rate.Requested) && rate.Requested >= 0 &&
                       std::isfinite(rate.Served) && rate.Served >= 0;
    if (!valid) {
      return std::nullopt;
    }
    report.Teams.push_back({TeamId{it.team()}, rate});
  }
  for (const wire::SentPrompts &it : in.sent()) {
    report.PromptsSent.push_back({TargetId{it.target()},
                                  it.tokens(),
                                  {it.parts().begin(), it.parts().end()}});
  }
  for (const std::string &it : in.hosts()) {
    report.IncludedHosts.push_back(HostId{it});
  }
  return report;
}

} // namespace nutmegsill::gateway
