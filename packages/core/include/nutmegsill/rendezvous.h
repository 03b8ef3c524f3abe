/// Rendezvous hashing over hosts.
#pragma once

#include "nutmegsill/types.h"

#include <string>

namespace nutmegsill {

/// Returns the weight of `host` for `key`. Hosts with a higher weight are
/// preferred for the key.
std::uint64_t rendezvousWeight(const HostId &host, const std::string &key);

} // namespace nutmegsill
