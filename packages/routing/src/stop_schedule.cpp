#include "nutmegsill/routing/stop_schedule.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Time from the stop signal during which requests are admitted: callers may
/// use an address for its TTL after the directory drops it.
constexpr milliseconds MaxAdmissionTime{2'900};
/// The same as a fraction of the grace period, for short ones.
constexpr double MaxAdmissionFraction = 0.4;
/// Fraction of the grace period after which requests in flight are ended. The
/// rest is for their responses, on hosts with a tenth of a core.
constexpr double RequestFraction = 0.9;
/// Fraction of the grace period after which the process ends by itself.
constexpr double ProcessFraction = 0.975;

constexpr std::size_t MaxDurations = 16;
/// Routes come and go with the configuration.
constexpr std::size_t MaxRoutes = 1'024;

Duration fractionOf(Duration span, double fraction) {
  return std::chrono::duration_cast<Duration>(span * fraction);
}

} // namespace

StopSchedule::StopSchedule(Time signalledAt, Duration grace)
    : AdmissionEnd(signalledAt +
                   std::min<Duration>(MaxAdmissionTime,
                                      fractionOf(grace, MaxAdmissionFraction))),
      RequestEnd(signalledAt + fractionOf(grace, RequestFraction)),
      ProcessEnd(signalledAt + fractionOf(grace, ProcessFraction)) {}

void RouteDurations::record(const std::string &route, Duration duration) {
  if (Latest.size() >= MaxRoutes && Latest.count(route) == 0) {
    Latest.clear();
  }
  std::deque<Duration> &latest = Latest[route];
  latest.push_back(duration);
  if (latest.size() > MaxDurations) {
    latest.pop_front();
  }
}

Duration RouteDurations::expected(const std::string &route) const {
  const auto it = Latest.find(route);
  return it == Latest.end()
             ? Duration{0}
             : *std::max_element(it->second.begin(), it->second.end());
}

} // namespace nutmegsill::routing
