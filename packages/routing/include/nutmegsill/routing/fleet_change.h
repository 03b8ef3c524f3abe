/// A change of what a router believes.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegsill::routing {

/// A change in this router's state of the fleet, for the log.
struct FleetChange {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};

} // namespace nutmegsill::routing
