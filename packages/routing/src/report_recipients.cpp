#include "nutmegsill/routing/report_recipients.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Divides a fleet into groups of nearly equal size.
class RouterGroups {
public:
  RouterGroups(std::size_t routers, std::size_t groups)
      : RouterCount(routers), Count(groups) {}

  std::size_t count() const { return Count; }
  std::size_t begin(std::size_t group) const {
    return group * RouterCount / Count;
  }
  std::size_t size(std::size_t group) const {
    return begin(group + 1) - begin(group);
  }
  std::size_t groupOf(std::size_t index) const {
    std::size_t group = 0;
    while (begin(group + 1) <= index) {
      ++group;
    }
    return group;
  }

private:
  std::size_t RouterCount;
  std::size_t Count;
};

} // namespace

ReportRecipients reportRecipients(const std::vector<RouterEntry> &routers,
                                  const HostId &self,
                                  std::size_t maxSingleGroupSize) {
  ReportRecipients out;
  const auto own =
      std::find_if(routers.begin(), routers.end(),
                   [&self](const RouterEntry &it) { return it.Host == self; });
  if (own == routers.end()) {
    // Not registered yet: the other routers do not expect reports from this
    // one.
    return out;
  }
  const std::size_t total = routers.size();
  const double root = std::sqrt(static_cast<double>(total));
  const RouterGroups groups(total,
                            total <= maxSingleGroupSize
                                ? 1
                                : static_cast<std::size_t>(std::lround(root)));
  const std::size_t index = static_cast<std::size_t>(own - routers.begin());
  const std::size_t group = groups.groupOf(index);
  const std::size_t position = index - groups.begin(group);
  for (std::size_t i = 0; i < total; ++i) {
    if (i == index) {
      continue;
    }
    const std::size_t other = groups.groupOf(i);
    if (other == group) {
      out.GroupPeers.push_back(routers[i].Host);
      continue;
    }
    const std::size_t otherPosition = i - groups.begin(other);
    // The last router of a larger group has no counterpart at its index; the
    // group's number selects one instead, which spreads these messages.
    const std::size_t counterpart = otherPosition < groups.size(group)
                                        ? otherPosition
                                        : other % groups.size(group);
    if (counterpart == position) {
      out.RemotePeers.push_back(routers[i].Host);
    }
  }
  return out;
}

} // namespace nutmegsill::routing
