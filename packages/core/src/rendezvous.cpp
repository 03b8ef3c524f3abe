#include "nutmegsill/rendezvous.h"

#include <xxhash.h>

namespace nutmegsill {

std::uint64_t rendezvousWeight(const HostId &host, const std::string &key) {
  const std::uint64_t seed = XXH64(host.Text.data(), host.Text.size(), 0);
  return XXH64(key.data(), key.size(), seed);
}

} // namespace nutmegsill
