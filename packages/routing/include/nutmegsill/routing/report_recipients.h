/// Which routers tell each other about their traffic.
#pragma once

#include "nutmegsill/routing/model.h"

#include <vector>

namespace nutmegsill::routing {

/// The receivers of one router's reports. Routers are arranged in rows of
/// neighbours. Each tells its row about itself, and some routers of every other
/// row about its own row, so that each hears of the whole fleet in two steps
/// while the messages of a router grow with the square root of the fleet.
struct ReportRecipients {
  /// The other routers of the row; they get the router's own report.
  std::vector<HostId> GroupPeers;
  /// Routers of other rows; they get the sum of the row.
  std::vector<HostId> RemotePeers;

  std::size_t size() const { return GroupPeers.size() + RemotePeers.size(); }
};

/// `routers` must be in ascending order of their hosts. A fleet of at most
/// `maxSingleGroupSize` routers is a single row.
ReportRecipients reportRecipients(const std::vector<RouterEntry> &routers,
                                  const HostId &self,
                                  std::size_t maxSingleGroupSize = 16);

} // namespace nutmegsill::routing
