#include "nutmegsill/routing/stop_schedule.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

class StopScheduleFixture {
protected:
  static Time at(int ms) { return Time(milliseconds(ms)); }
};

TEST_CASE_METHOD(StopScheduleFixture,
                 "stop_schedule_steps_are_in_order_within_any_grace") {
  for (const int graceMs : {0, 1, 300, 2'000, 6'000, 8'000, 600'000}) {
    const StopSchedule schedule(at(1'000), milliseconds(graceMs));
    CHECK(schedule.admissionEnd() >= at(1'000));
    CHECK(schedule.admissionEnd() <= schedule.requestEnd());
    CHECK(schedule.requestEnd() <= schedule.processEnd());
    CHECK(schedule.processEnd() <= at(1'000 + graceMs));
  }
}

TEST_CASE_METHOD(StopScheduleFixture,
                 "stop_schedule_callers_with_an_old_address_are_served") {
  const StopSchedule schedule(at(0), std::chrono::seconds(8));
  // TTL of the directory's responses, and the time until it drops the router.
  CHECK(schedule.admissionEnd() > at(2'500));
  CHECK(schedule.admissionEnd() < at(3'000));
}

TEST_CASE_METHOD(StopScheduleFixture,
                 "stop_schedule_request_that_outlasts_grace_is_not_admitted") {
  const StopSchedule schedule(at(0), std::chrono::seconds(8));
  RouteDurations durations;
  CHECK(schedule.admits(durations.expected("new"), at(2'800)));
  for (const int ms : {200, 5'000, 300}) {
    durations.record("long", milliseconds(ms));
  }
  CHECK(schedule.admits(durations.expected("long"), at(2'000)));
  CHECK(!schedule.admits(durations.expected("long"), at(2'800)));
  for (int i = 0; i < 50; ++i) {
    durations.record("long", milliseconds(300));
  }
  CHECK(schedule.admits(durations.expected("long"), at(2'800)));
  CHECK(!schedule.admits(Duration{0}, schedule.admissionEnd()));
}

} // namespace nutmegsill::routing
