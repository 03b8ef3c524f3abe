#include "run_history.h"

#include <catch2/catch.hpp>

namespace nutmegsill::simulation {

/// A history in which all promises hold; each test breaks one.
class RunHistoryFixture {
protected:
  RunHistoryFixture() {
    CallRecord call;
    call.Router = Host;
    call.Key = "key";
    call.At = at(100);
    call.End = CallEnd::Complete;
    call.EndedAt = at(200);
    Events.Calls = {call};
    Events.Sends = {{Host, 0, Target, at(110), false}};
    Events.Runs = {{0, Target, at(115)}};
    Events.InForce = {{Host, ConfigRevision{1}, at(0)}};
    Events.EndedAt = at(60'000);
  }

  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }
  bool holds() const { return checkAlways(Events, Bounds).empty(); }

  HostId Host{"host-1"};
  TargetId Target{"t-1"};
  RunHistory Events;
  PromiseBounds Bounds;
};

TEST_CASE_METHOD(RunHistoryFixture, "run_history_sound_holds") {
  CHECK(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_open_call_is_found") {
  Events.Calls[0].End = CallEnd::Open;
  CHECK_FALSE(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_second_run_is_found") {
  Events.Runs.push_back({0, TargetId{"t-2"}, at(120)});
  CHECK_FALSE(holds());
  Events.Calls[0].MayRepeat = true;
  CHECK(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_false_refusal_is_found") {
  Events.Calls[0].End = CallEnd::NotRun;
  CHECK_FALSE(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_send_to_target_out_is_found") {
  Events.Sends[0].At = at(5'200);
  Events.Outs = {{Target, at(100), std::nullopt}};
  CHECK_FALSE(holds());
  Events.Disturbed = {{Host, at(50), at(300)}};
  CHECK(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_revoked_key_is_found") {
  Events.Sends[0].At = at(5'200);
  Events.Revoked = {{"key", at(100)}};
  // Also of a router that was cut off.
  Events.Disturbed = {{Host, at(50), at(6'000)}};
  CHECK_FALSE(holds());
}

TEST_CASE_METHOD(RunHistoryFixture,
                 "run_history_older_configuration_is_found") {
  Events.InForce.push_back({Host, ConfigRevision{3}, at(500)});
  Events.InForce.push_back({Host, ConfigRevision{2}, at(600)});
  CHECK_FALSE(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_late_configuration_is_found") {
  Events.Written = {{HostId{}, ConfigRevision{2}, at(1'000)}};
  Events.InForce.push_back({Host, ConfigRevision{2}, at(3'100)});
  CHECK_FALSE(holds());
}

TEST_CASE_METHOD(RunHistoryFixture,
                 "run_history_cold_target_flooded_is_found") {
  Events.Cold = {{Target, at(0), at(3'000), 2}};
  for (int i = 0; i < 9; ++i) {
    CallRecord call = Events.Calls[0];
    Events.Calls.push_back(call);
    Events.Runs.push_back({Events.Calls.size() - 1, Target, at(200 + i)});
  }
  CHECK_FALSE(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_too_many_repeats_are_found") {
  for (int i = 0; i < 25; ++i) {
    Events.Sends.push_back({Host, 0, Target, at(300 + i), true});
  }
  CHECK_FALSE(holds());
}

TEST_CASE_METHOD(RunHistoryFixture, "run_history_unserved_calls_are_found") {
  CHECK(checkServed(Events, at(0), 0.9).empty());
  Events.Calls[0].End = CallEnd::Cut;
  CHECK_FALSE(checkServed(Events, at(0), 0.9).empty());
}

} // namespace nutmegsill::simulation
