#include "nutmegsill/routing/host_overload.h"

#include <algorithm>

namespace nutmegsill::routing {

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

} // namespace nutmegsill::routing
