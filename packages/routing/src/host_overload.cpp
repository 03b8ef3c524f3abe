#include "nutmegsill/routing/host_overload.h"

#include <algorithm>
#include <cstdint>
#include <xxhash.h>

namespace nutmegsill::routing {

namespace {

constexpr Duration MinRetryAfter = milliseconds(1'000);
constexpr Duration RetryAfterSpread = milliseconds(1'000);

} // namespace

void HostOverload::recordLag(Duration lag, Time now) {
  Lags.emplace_back(now, lag);
  // Keeps one record from before the window, which shows that it is full.
  while (Lags.size() > 1 && now - Lags[1].first >= Policy.Window) {
    Lags.pop_front();
  }
  const bool isFull = now - Lags.front().first >= Policy.Window;
  LowestLag = isFull ? lag : Duration{0};
  for (const auto &[at, recorded] : Lags) {
    LowestLag = std::min(LowestLag, recorded);
  }
}

Duration overloadRetryAfter(std::string_view requestId) {
  const std::uint64_t hash = XXH64(requestId.data(), requestId.size(), 0);
  return MinRetryAfter +
         Duration(static_cast<std::int64_t>(
             hash % static_cast<std::uint64_t>(RetryAfterSpread.count())));
}

} // namespace nutmegsill::routing
