/// Rendezvous hashing over hosts.
#pragma once

#include "nutmegsill/types.h"

#include <string>
#include <string_view>

namespace nutmegsill {

/// Returns the weight of `host` for `key`. Hosts with a higher weight are
/// preferred for the key.
std::uint64_t rendezvousWeight(const HostId &host, const std::string &key);

/// The part of `rendezvousWeight` that depends on the member of the set only.
std::uint64_t rendezvousSeed(std::string_view member);
std::uint64_t rendezvousWeight(std::uint64_t seed, std::uint64_t key);

} // namespace nutmegsill
