/// Rendezvous hashing over hosts.
#pragma once

#include "nutmegsill/types.h"

#include <string>

namespace nutmegsill {

/// Weight of `host` for `key`; the host with the largest weight is first.
std::uint64_t rendezvousWeight(const HostId &host, const std::string &key);

} // namespace nutmegsill
