#include "fleet_history.h"

#include <catch2/catch.hpp>

namespace nutmegsill::simulation {

/// A history without violations; each test adds one.
class FleetHistoryFixture {
protected:
  FleetHistoryFixture() {
    CallRecord call;
    call.Router = Host;
    call.ApiKey = "key";
    call.StartedAt = atMs(100);
    call.Outcome = CallOutcome::Completed;
    call.EndedAt = atMs(200);
    History.Calls = {call};
    History.Sends = {{Host, 0, Target, atMs(110), false}};
    History.Runs = {{0, Target, atMs(115)}};
    History.AppliedConfigs = {{Host, ConfigRevision{1}, atMs(0)}};
    History.EndedAt = atMs(60'000);
  }

  static Time atMs(std::int64_t ms) { return Time(milliseconds(ms)); }
  bool invariantsHold() const {
    return checkInvariants(History, Bounds).empty();
  }

  HostId Host{"host-1"};
  TargetId Target{"t-1"};
  FleetHistory History;
  InvariantBounds Bounds;
};

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_without_violation_passes") {
  CHECK(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_unfinished_call_is_reported") {
  History.Calls[0].Outcome = CallOutcome::InFlight;
  CHECK_FALSE(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture, "fleet_history_second_run_is_reported") {
  History.Runs.push_back({0, TargetId{"t-2"}, atMs(120)});
  CHECK_FALSE(invariantsHold());
  History.Calls[0].AllowsRetry = true;
  CHECK(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_refused_call_that_ran_is_reported") {
  History.Calls[0].Outcome = CallOutcome::NotRun;
  CHECK_FALSE(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_send_to_out_of_service_target_is_reported") {
  History.Sends[0].SentAt = atMs(5'200);
  History.OutOfServiceIntervals = {{Target, atMs(100), std::nullopt}};
  CHECK_FALSE(invariantsHold());
  History.Disruptions = {{Host, atMs(50), atMs(300)}};
  CHECK(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_send_with_revoked_key_is_reported") {
  History.Sends[0].SentAt = atMs(5'200);
  History.KeyRevocations = {{"key", atMs(100)}};
  // A disrupted router must stop using the key as well.
  History.Disruptions = {{Host, atMs(50), atMs(6'000)}};
  CHECK_FALSE(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_return_to_older_configuration_is_reported") {
  History.AppliedConfigs.push_back({Host, ConfigRevision{3}, atMs(500)});
  History.AppliedConfigs.push_back({Host, ConfigRevision{2}, atMs(600)});
  CHECK_FALSE(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_late_configuration_is_reported") {
  History.WrittenConfigs = {{HostId{}, ConfigRevision{2}, atMs(1'000)}};
  History.AppliedConfigs.push_back({Host, ConfigRevision{2}, atMs(3'100)});
  CHECK_FALSE(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_cold_target_over_rate_is_reported") {
  History.ColdIntervals = {{Target, atMs(0), atMs(3'000), 2}};
  for (int i = 0; i < 9; ++i) {
    CallRecord call = History.Calls[0];
    History.Calls.push_back(call);
    History.Runs.push_back({History.Calls.size() - 1, Target, atMs(200 + i)});
  }
  CHECK_FALSE(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_retries_over_budget_are_reported") {
  for (int i = 0; i < 25; ++i) {
    History.Sends.push_back({Host, 0, Target, atMs(300 + i), true});
  }
  CHECK_FALSE(invariantsHold());
}

TEST_CASE_METHOD(FleetHistoryFixture,
                 "fleet_history_unserved_calls_are_reported") {
  CHECK(checkServedFraction(History, atMs(0), 0.9).empty());
  History.Calls[0].Outcome = CallOutcome::ConnectionLost;
  CHECK_FALSE(checkServedFraction(History, atMs(0), 0.9).empty());
}

} // namespace nutmegsill::simulation
