/// Keeps what targets state of themselves in their responses.
#pragma once

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/routing/target_process.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// What one response states of its target.
struct TargetStatement {
  /// Requests per second that the target takes from all routers together;
  /// nothing if it states no limit.
  std::optional<double> RequestRate;
  /// The value of a limit that is no finite, non-negative number.
  std::string InvalidRate;
};

/// Not thread-safe.
class TargetStatements {
public:
  /// Records the statement of a response to a request sent at `sentAt`.
  void hear(const TargetProcess &process, const TargetStatement &statement,
            Time sentAt, Time now);
  /// Forgets the targets that are not in `known`.
  void retain(const std::set<TargetProcess> &known);
  /// The stated limit, in requests per second; nothing without one.
  std::optional<double> statedRate(const TargetProcess &process) const;
  /// Returns and clears the changes for the log.
  std::vector<FleetChange> takeChanges();

private:
  struct Limit {
    std::optional<double> Rate;
    /// When the response that stated it was received.
    Time HeardAt{};
    bool InvalidLogged = false;
  };
  void recordChange(const char *event, const TargetProcess &process,
                    const std::string &rate);

  std::map<TargetProcess, Limit> Limits;
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
