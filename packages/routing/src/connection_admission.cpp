#include "nutmegsill/routing/connection_admission.h"

#include <algorithm>

namespace nutmegsill::routing {

void ConnectionAdmission::recordAdmission(Time now) {
  ++AdmittedSinceProbe;
  LastAdmissionAt = now;
}

void ConnectionAdmission::recordLag(Duration lag) {
  if (lag > Policy.MaxLag) {
    const double excess =
        std::max(1.0, toSeconds(lag) / toSeconds(Policy.SevereLag));
    Limit = std::min(Limit, static_cast<double>(AdmittedSinceProbe)) *
            Policy.LimitDecrease / excess;
  } else if (lag <= Policy.CalmLag) {
    Limit = std::min(Policy.InitialLimit, Limit + Policy.LimitIncrease);
  }
  AdmittedSinceProbe = 0;
  WasExhausted = Exhausted;
  Exhausted = false;
}

} // namespace nutmegsill::routing
