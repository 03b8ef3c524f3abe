/// Shows what the platform's store says about a fleet.
#pragma once

#include "nutmegsill/http_client.h"
#include "nutmegsill/routing/model.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace nutmegsill {

/// All facts of the store; nothing and a reason when it does not answer.
std::optional<std::vector<routing::StoreUpdate>>
listStore(const Endpoint &store, std::string &reason);

/// Prints configuration, routers, targets, zones out and unreadable entries as
/// text, or as one JSON object.
void printStatus(const std::vector<routing::StoreUpdate> &updates, bool asJson,
                 std::ostream &out);

} // namespace nutmegsill
