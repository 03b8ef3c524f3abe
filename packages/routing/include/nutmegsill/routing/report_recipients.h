/// Selects the routers to which a router sends its load reports.
#pragma once

#include "nutmegsill/routing/model.h"

#include <vector>

namespace nutmegsill::routing {

/// The recipients of one router's reports. The routers form groups; those that
/// callers are sent to form one of their own if it is small enough, and so hear
/// each other directly. Each router
/// sends its own report to its group, and the sum of its group to some routers
/// of every other group. Every router thus receives the load of the whole fleet
/// in two hops, while the messages per router grow with the square root of the
/// fleet.
struct ReportRecipients {
  /// The other routers of the group; they receive the router's own report.
  std::vector<HostId> GroupPeers;
  /// Routers of other groups; they receive the sum of the group.
  std::vector<HostId> RemotePeers;
  /// One router of every other group, to ask what that group knows. Not all are
  /// remote peers: a small group has fewer reports to send than a large one has
  /// routers.
  std::vector<HostId> AskedPeers;

  /// Recipients of reports.
  std::size_t size() const { return GroupPeers.size() + RemotePeers.size(); }
};

/// How often a router reports.
struct ReportIntervals {
  Duration ToGroup{0};
  /// A multiple of `ToGroup`.
  Duration ToRemotePeers{0};
};

/// Intervals at which the cost of reports for one router does not grow with the
/// fleet.
ReportIntervals reportIntervals(const ReportRecipients &recipients);

/// Returns the recipients of the reports of `self`; none if `self` is not in
/// `routers`. `routers` must be sorted by host. A fleet of at most
/// `maxSingleGroupSize` routers is a single group.
ReportRecipients reportRecipients(const std::vector<RouterEntry> &routers,
                                  const HostId &self,
                                  std::size_t maxSingleGroupSize = 16);

} // namespace nutmegsill::routing
