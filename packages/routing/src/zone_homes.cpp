#include "nutmegsill/routing/zone_homes.h"

#include <algorithm>

namespace nutmegsill::routing {

void ZoneHomes::setEngines(const std::map<ZoneId, std::size_t> &engines) {
  for (const auto &[zone, count] : engines) {
    std::size_t &most = MaxEngines[zone];
    most = std::max(most, count);
  }
  Active =
      Policy.MinEngines > 0 && MaxEngines.size() > 1 &&
      std::all_of(MaxEngines.begin(), MaxEngines.end(), [this](const auto &it) {
        return it.second >= Policy.MinEngines;
      });
}

double ZoneHomes::crossZoneCost(std::minstd_rand &random) const {
  return std::bernoulli_distribution(Policy.CopyFraction)(random)
             ? Policy.CopyCrossZoneCost
             : Policy.CrossZoneCost;
}

} // namespace nutmegsill::routing
