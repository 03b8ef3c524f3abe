#include "nutmegsill/routing/target_statements.h"

namespace nutmegsill::routing {

void TargetStatements::hear(const TargetProcess &process,
                            const TargetStatement &statement, Time sentAt,
                            Time now) {
  if (!statement.InvalidRate.empty()) {
    Limit &limit = Limits[process];
    if (!limit.InvalidLogged) {
      limit.InvalidLogged = true;
      recordChange("limit_invalid", process, statement.InvalidRate);
    }
    if (!statement.RequestRate) {
      return;
    }
  }
  const auto known = Limits.find(process);
  if (!statement.RequestRate) {
    // A response to an earlier request may be older than the statement.
    const bool ends = known != Limits.end() && known->second.Rate &&
                      sentAt > known->second.HeardAt;
    if (ends) {
      recordChange("limit_ended", process, std::to_string(*known->second.Rate));
      known->second.Rate.reset();
      known->second.HeardAt = now;
    }
    return;
  }
  Limit &limit = Limits[process];
  if (limit.Rate != statement.RequestRate) {
    recordChange("limit_stated", process,
                 std::to_string(*statement.RequestRate));
  }
  limit.Rate = statement.RequestRate;
  limit.HeardAt = now;
}

void TargetStatements::retain(const std::set<TargetProcess> &known) {
  std::erase_if(
      Limits, [&known](const auto &it) { return known.count(it.first) == 0; });
}

std::optional<double>
TargetStatements::statedRate(const TargetProcess &process) const {
  const auto known = Limits.find(process);
  return known == Limits.end() ? std::nullopt : known->second.Rate;
}

std::vector<FleetChange> TargetStatements::takeChanges() {
  std::vector<FleetChange> out;
  out.swap(Changes);
  return out;
}

void TargetStatements::recordChange(const char *event,
                                    const TargetProcess &process,
                                    const std::string &rate) {
  Changes.push_back({event,
                     {{"target", process.Target.Text},
                      {"started_at_ms", std::to_string(process.StartedAtMs)},
                      {"requests_per_s", rate}}});
}

} // namespace nutmegsill::routing
