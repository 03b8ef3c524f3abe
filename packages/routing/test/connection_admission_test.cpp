#include "nutmegsill/routing/connection_admission.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

class ConnectionAdmissionFixture {
protected:
  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }

  /// Connections are the times of their arrival in milliseconds.
  ConnectionAdmission<std::int64_t> Admission{ConnectionAdmissionPolicy()};
};

TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_calm_router_takes_all_at_once") {
  for (int i = 0; i < 100; ++i) {
    Admission.add(0, at(0));
  }
  CHECK(Admission.decide(at(0)).Admitted.size() == 100);
}

TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_busy_router_takes_youngest_first") {
  for (std::int64_t ms = 0; ms < 10; ++ms) {
    Admission.add(ms, at(ms));
  }
  CHECK(Admission.decide(at(10)).Admitted.size() == 10);
  Admission.recordLag(milliseconds(90));
  for (std::int64_t ms = 50; ms < 60; ++ms) {
    Admission.add(ms, at(ms));
  }
  CHECK(Admission.decide(at(60)).Admitted ==
        std::vector<std::int64_t>{59, 58, 57, 56, 55, 54, 53});
  CHECK(Admission.decide(at(151)).Refused == std::vector<std::int64_t>{50, 51});
  // The limit grows again by one for each calm interval.
  Admission.recordLag(milliseconds(0));
  for (std::int64_t ms = 210; ms < 220; ++ms) {
    Admission.add(ms, at(ms));
  }
  CHECK(Admission.decide(at(220)).Admitted.size() == 8);
}

TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_lagging_router_still_takes_some") {
  std::size_t admitted = 0;
  std::size_t refused = 0;
  Time lastAdmission = at(0);
  Duration longestPause{0};
  for (std::int64_t ms = 0; ms < 10'000; ms += 50) {
    Admission.recordLag(milliseconds(200));
    Admission.add(ms, at(ms));
    const auto decision = Admission.decide(at(ms));
    admitted += decision.Admitted.size();
    refused += decision.Refused.size();
    if (!decision.Admitted.empty()) {
      longestPause = std::max<Duration>(longestPause, at(ms) - lastAdmission);
      lastAdmission = at(ms);
      CHECK(decision.Admitted.front() == ms);
    }
  }
  CHECK(longestPause <= milliseconds(550));
  CHECK(admitted <= 21);
  CHECK(refused >= 170);
}

// Plays a surge of new connections, each with one request, beside connections
// in use, on a host that serves one request in 4 ms. Taking all connections in
// the order of their arrival serves none of either within 150 ms.
TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_surge_serves_capacity_in_time") {
  constexpr std::int64_t serviceMs = 4;
  constexpr std::int64_t objectiveMs = 150;
  std::deque<std::pair<std::int64_t, bool>> work;
  std::int64_t backlogMs = 0;
  std::int64_t inUseInTime = 0;
  std::int64_t inUse = 0;
  std::int64_t newInTime = 0;
  for (std::int64_t ms = 0; ms < 20'000; ++ms) {
    if (ms % 10 == 0) {
      work.emplace_back(ms, true);
      ++inUse;
    }
    if (ms % 2 == 0) {
      Admission.add(ms, at(ms));
    }
    if (ms % 50 == 0) {
      backlogMs = static_cast<std::int64_t>(work.size()) * serviceMs;
      Admission.recordLag(milliseconds(backlogMs));
    }
    for (const std::int64_t it : Admission.decide(at(ms)).Admitted) {
      work.emplace_back(it, false);
    }
    if (ms % serviceMs == 0 && !work.empty()) {
      const auto [arrival, kept] = work.front();
      work.pop_front();
      const bool inTime = ms - arrival <= objectiveMs;
      inUseInTime += kept && inTime ? 1 : 0;
      newInTime += !kept && inTime ? 1 : 0;
    }
  }
  CHECK(inUseInTime >= inUse * 9 / 10);
  // 250 requests a second less the 100 on connections in use.
  CHECK(newInTime >= 150 * 20 * 3 / 5);
}

} // namespace nutmegsill::routing
