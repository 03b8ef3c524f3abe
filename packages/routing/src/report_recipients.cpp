#include "nutmegsill/routing/report_recipients.h"

#include "nutmegsill/routing/entry_routers.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Half of the time that an engine takes to prefill a large prompt.
constexpr Duration MinReportInterval = milliseconds(100);
/// Peers drop reports after `DispatchPolicy::MaxReportAge`.
constexpr Duration MaxReportInterval = milliseconds(720);
/// Messages that a router sends in a second: 100 in a single group, less where
/// each report sums up a group and there are as many to receive.
constexpr double SingleGroupMessagesPerSecond = 100;
constexpr double GroupMessagesPerSecond = 60;
constexpr double RemoteMessagesPerSecond = 25;
/// Largest group of preferred routers; its members report to each other.
constexpr std::size_t MaxPreferredGroupSize = 32;

/// Divides a fleet into groups: the first `firstSize` routers, if any, and the
/// others into groups of nearly equal size.
class RouterGroups {
public:
  RouterGroups(std::size_t routers, std::size_t firstSize) {
    if (firstSize > 0) {
      Begins.push_back(0);
    }
    const std::size_t rest = routers - firstSize;
    const std::size_t count = static_cast<std::size_t>(
        std::lround(std::sqrt(static_cast<double>(rest))));
    for (std::size_t i = 0; i < count; ++i) {
      Begins.push_back(firstSize + i * rest / count);
    }
    Begins.push_back(routers);
  }

  std::size_t begin(std::size_t group) const { return Begins[group]; }
  std::size_t count() const { return Begins.size() - 1; }
  std::size_t size(std::size_t group) const {
    return Begins[group + 1] - Begins[group];
  }
  std::size_t groupOf(std::size_t index) const {
    const auto after = std::upper_bound(Begins.begin(), Begins.end(), index);
    return static_cast<std::size_t>(after - Begins.begin()) - 1;
  }

private:
  /// First index of each group, and the number of routers.
  std::vector<std::size_t> Begins;
};

} // namespace

ReportRecipients reportRecipients(const std::vector<RouterEntry> &routers,
                                  const HostId &self,
                                  std::size_t maxSingleGroupSize) {
  ReportRecipients out;
  const std::set<HostId> preferred = preferredRouters(routers);
  std::vector<HostId> order;
  for (const bool wanted : {true, false}) {
    for (const RouterEntry &it : routers) {
      if ((preferred.count(it.Host) != 0) == wanted) {
        order.push_back(it.Host);
      }
    }
  }
  const auto own = std::find(order.begin(), order.end(), self);
  if (own == order.end()) {
    // Not registered yet: the other routers do not expect reports from this
    // one.
    return out;
  }
  const std::size_t total = order.size();
  std::size_t firstSize = 0;
  if (total <= maxSingleGroupSize) {
    firstSize = total;
  } else if (preferred.size() < total &&
             preferred.size() <= MaxPreferredGroupSize) {
    firstSize = preferred.size();
  }
  const RouterGroups groups(total, firstSize);
  const std::size_t index = static_cast<std::size_t>(own - order.begin());
  const std::size_t group = groups.groupOf(index);
  const std::size_t position = index - groups.begin(group);
  for (std::size_t i = 0; i < groups.count(); ++i) {
    if (i != group && groups.size(i) > 0) {
      out.AskedPeers.push_back(
          order[groups.begin(i) + position % groups.size(i)]);
    }
  }
  for (std::size_t i = 0; i < total; ++i) {
    if (i == index) {
      continue;
    }
    const std::size_t other = groups.groupOf(i);
    if (other == group) {
      out.GroupPeers.push_back(order[i]);
      continue;
    }
    const std::size_t otherPosition = i - groups.begin(other);
    // The last router of a larger group has no counterpart at its index; the
    // group's number selects one instead, which spreads these messages.
    const std::size_t counterpart = otherPosition < groups.size(group)
                                        ? otherPosition
                                        : other % groups.size(group);
    if (counterpart == position) {
      out.RemotePeers.push_back(order[i]);
    }
  }
  return out;
}

ReportIntervals reportIntervals(const ReportRecipients &recipients) {
  const bool single = recipients.RemotePeers.empty();
  const double perSecond =
      single ? SingleGroupMessagesPerSecond : GroupMessagesPerSecond;
  const auto span = [](std::size_t messages, double rate) {
    return Duration(
        static_cast<std::int64_t>(static_cast<double>(messages) / rate * 1e6));
  };
  ReportIntervals out;
  out.ToGroup =
      std::clamp<Duration>(span(recipients.GroupPeers.size(), perSecond),
                           MinReportInterval, MaxReportInterval);
  const Duration remote = std::clamp<Duration>(
      span(recipients.RemotePeers.size(), RemoteMessagesPerSecond), out.ToGroup,
      MaxReportInterval);
  // Rounded down, so that it does not exceed the longest interval.
  out.ToRemotePeers = remote / out.ToGroup * out.ToGroup;
  return out;
}

} // namespace nutmegsill::routing
