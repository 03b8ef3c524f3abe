#include "nutmegsill/routing/connection_admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

namespace nutmegsill::routing {

class ConnectionAdmissionFixture {
protected:
  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }

  /// Offers `count` connections; returns how many are taken.
  int offer(int count, Time now) {
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
      if (Admission.mayAdmit(now)) {
        Admission.recordAdmission(now);
        ++admitted;
      } else {
        Admission.recordExhaustion();
      }
    }
    return admitted;
  }

  ConnectionAdmission Admission{ConnectionAdmissionPolicy()};
};

TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_calm_router_takes_all_at_once") {
  CHECK(offer(100, at(0)) == 100);
  CHECK_FALSE(Admission.refuses());
}

TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_limit_falls_with_lag_and_grows_again") {
  CHECK(offer(10, at(10)) == 10);
  Admission.recordLag(milliseconds(90));
  CHECK(offer(10, at(60)) == 7);
  // The limit grows again by one for each calm interval.
  Admission.recordLag(milliseconds(0));
  CHECK(offer(10, at(110)) == 8);
}

TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_one_busy_interval_makes_callers_wait") {
  CHECK(offer(10, at(0)) == 10);
  Admission.recordLag(milliseconds(90));
  CHECK(offer(10, at(60)) == 7);
  CHECK_FALSE(Admission.refuses());
  Admission.recordLag(milliseconds(0));
  CHECK(offer(10, at(110)) == 8);
  CHECK(Admission.refuses());
  Admission.recordLag(milliseconds(0));
  CHECK_FALSE(Admission.refuses());
}

TEST_CASE_METHOD(ConnectionAdmissionFixture,
                 "connection_admission_lagging_router_still_takes_some") {
  int admitted = 0;
  int refused = 0;
  Time lastAdmission = at(0);
  Duration longestPause{0};
  for (std::int64_t ms = 0; ms < 10'000; ms += 50) {
    Admission.recordLag(milliseconds(200));
    const int taken = offer(1, at(ms));
    admitted += taken;
    refused += 1 - taken;
    if (taken > 0) {
      longestPause = std::max<Duration>(longestPause, at(ms) - lastAdmission);
      lastAdmission = at(ms);
    }
  }
  CHECK(longestPause <= milliseconds(550));
  CHECK(admitted <= 21);
  CHECK(refused >= 170);
}

/// Plays surges of new connections, each with one request, beside connections
/// in use, on a host that serves one request in 4 ms. To accept a connection
/// and close it unread takes 0.25 ms, to refuse it nothing.
class ConnectionSurgeFixture : protected ConnectionAdmissionFixture {
protected:
  struct Served {
    int InUse = 0;
    int InUseInTime = 0;
    int NewInTime = 0;
  };

  Served play(int newPerSecond) {
    constexpr std::int64_t microsecondsPerMs = 1'000;
    constexpr std::int64_t serviceUs = 4'000;
    constexpr std::int64_t closeUs = 250;
    constexpr std::int64_t objectiveMs = 150;
    constexpr std::int64_t probeMs = 50;
    struct Request {
      std::int64_t ArrivedAtMs;
      bool InUse;
    };
    Served out;
    std::deque<Request> work;
    /// Connections that wait to be accepted, by the time of their arrival.
    std::deque<std::int64_t> waiting;
    std::int64_t spareUs = 0;
    double arrived = 0;
    bool listening = true;
    for (std::int64_t ms = 0; ms < 20'000; ++ms) {
      if (ms % 10 == 0) {
        work.push_back({ms, true});
        ++out.InUse;
      }
      arrived += newPerSecond / 1'000.0;
      for (; arrived >= 1; arrived -= 1) {
        if (listening) {
          waiting.push_back(ms);
        }
      }
      if (ms % probeMs == 0) {
        const std::int64_t backlogUs =
            static_cast<std::int64_t>(work.size()) * serviceUs - spareUs;
        Admission.recordLag(Duration(std::max<std::int64_t>(0, backlogUs)));
        listening = true;
      }
      while (listening && !waiting.empty() && Admission.mayAdmit(at(ms))) {
        Admission.recordAdmission(at(ms));
        if (ms - waiting.front() > objectiveMs) {
          spareUs -= closeUs;
        } else {
          work.push_back({waiting.front(), false});
        }
        waiting.pop_front();
      }
      if (!Admission.mayAdmit(at(ms))) {
        Admission.recordExhaustion();
        listening = !Admission.refuses();
        if (!listening) {
          waiting.clear();
        }
      }
      spareUs += microsecondsPerMs;
      for (; spareUs >= serviceUs && !work.empty(); spareUs -= serviceUs) {
        const Request it = work.front();
        work.pop_front();
        const bool inTime = ms - it.ArrivedAtMs <= objectiveMs;
        out.InUseInTime += it.InUse && inTime ? 1 : 0;
        out.NewInTime += !it.InUse && inTime ? 1 : 0;
      }
      spareUs = std::min(spareUs, serviceUs);
    }
    return out;
  }
};

TEST_CASE_METHOD(ConnectionSurgeFixture,
                 "connection_admission_surge_serves_capacity_in_time") {
  const Served served = play(500);
  CHECK(served.InUseInTime >= served.InUse * 9 / 10);
  // 250 requests a second less the 100 on connections in use.
  CHECK(served.NewInTime >= 150 * 20 * 3 / 5);
}

// Guards against hosts that spend their time on closing what they cannot serve.
TEST_CASE_METHOD(ConnectionSurgeFixture,
                 "connection_admission_flood_serves_as_much_as_a_surge") {
  const Served served = play(4'000);
  CHECK(served.InUseInTime >= served.InUse * 9 / 10);
  CHECK(served.NewInTime >= 150 * 20 * 3 / 5);
}

} // namespace nutmegsill::routing
