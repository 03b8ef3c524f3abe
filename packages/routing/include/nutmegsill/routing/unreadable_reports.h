/// Selects the unreadable items to report: other writers may change many of
/// them each second, and each would be a line of the log.
#pragma once

#include "nutmegsill/routing/model.h"

#include <cstdint>
#include <map>
#include <string>

namespace nutmegsill::routing {

struct UnreadableReportsPolicy {
  /// Items whose last reason is remembered; it is not reported again.
  std::size_t MaxRemembered = 1'000;
  /// Reports in one interval.
  std::uint32_t MaxReports = 50;
  Duration Interval = std::chrono::seconds(60);
};

class UnreadableReports {
public:
  explicit UnreadableReports(UnreadableReportsPolicy policy = {})
      : Policy(policy) {}

  struct Decision {
    bool Reports = false;
    /// Items that were left out in an interval that has ended; counted once.
    std::uint64_t LeftOut = 0;
  };
  Decision record(const UnreadableItem &item, Time now);

private:
  UnreadableReportsPolicy Policy;
  std::map<std::string, std::string> LastReasons;
  Time IntervalEnd{};
  std::uint32_t Reports = 0;
  std::uint64_t LeftOut = 0;
};

} // namespace nutmegsill::routing
