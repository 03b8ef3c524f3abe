#include "nutmegsill/routing/request_identity.h"

#include <xxhash.h>

namespace nutmegsill::routing {

std::uint64_t RequestIdentity::hash() const {
  if (!Hash && Content) {
    // Each field seeds the next one, so that bytes cannot move between fields.
    std::uint64_t sum = 0;
    for (const std::string_view it :
         {Content->Team, Content->Method, Content->HostName, Content->Target,
          Content->Body}) {
      sum = XXH3_64bits_withSeed(it.data(), it.size(), sum);
    }
    Hash = sum;
  }
  return Hash.value_or(0);
}

std::string formatHash(std::uint64_t hash) {
  constexpr const char *digits = "0123456789abcdef";
  std::string out(16, '0');
  for (std::size_t i = out.size(); i > 0 && hash != 0; hash >>= 4U) {
    out[--i] = digits[hash & 0xfU];
  }
  return out;
}

} // namespace nutmegsill::routing
