/// Reads the state of a fleet from the platform's store and prints it.
#pragma once

#include "nutmegsill/http_client.h"
#include "nutmegsill/routing/model.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace nutmegsill {

/// Returns all items of the store, decoded. If the listing fails, returns
/// nullopt and sets `reason`.
std::optional<std::vector<routing::StoreUpdate>>
listStore(const Endpoint &store, std::string &reason);

/// Prints configuration, routers, targets, evacuated zones and unreadable items
/// as text, or as one JSON object if `asJson`.
void printStatus(const std::vector<routing::StoreUpdate> &updates, bool asJson,
                 std::ostream &out);

} // namespace nutmegsill
