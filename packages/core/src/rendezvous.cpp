#include "nutmegsill/rendezvous.h"

#include <xxhash.h>

namespace nutmegsill {

std::uint64_t rendezvousWeight(const HostId &host, const std::string &key) {
  return XXH64(key.data(), key.size(), rendezvousSeed(host.Text));
}

std::uint64_t rendezvousSeed(std::string_view member) {
  return XXH64(member.data(), member.size(), 0);
}

std::uint64_t rendezvousWeight(std::uint64_t seed, std::uint64_t key) {
  return XXH64(&key, sizeof(key), seed);
}

} // namespace nutmegsill
