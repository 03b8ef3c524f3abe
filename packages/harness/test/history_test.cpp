// Each check rejects a history that breaks its promise.
#include "history.h"

#include <catch2/catch.hpp>

using namespace nutmegsill;
using namespace nutmegsill::harness;
using std::chrono::seconds;

namespace {

Time atSecond(int n) { return Time(seconds(n)); }

struct HistoryFixture {
  HistoryFixture() {
    CallRecord call;
    call.Entry = HostId{"h1"};
    call.Team = TeamId{"prints"};
    call.Pool = PoolId{"captions"};
    call.Idempotent = false;
    call.Key = "k1";
    call.SubmittedAt = atSecond(1);
    call.End = CallEnd::Complete;
    call.EndedAt = atSecond(2);
    call.Answer = call.Expected = "key k1";
    Seen.Calls = {call};
    Seen.Runs = {RunRecord{0, TargetId{"s1"}, atSecond(1)}};
    Seen.Grants = {
        GrantRecord{HostId{"h1"}, TargetId{"s1"}, Epoch{1}, atSecond(1)}};
    Seen.Lives = {LifeRecord{Instance{HostId{"h1"}, Incarnation{1}},
                             atSecond(0),
                             std::nullopt,
                             std::nullopt,
                             false,
                             {}}};
    Seen.Accepted = {AcceptedRecord{Revision{1}, atSecond(10), {}}};
    Seen.InForce = {
        InForceRecord{Seen.Lives[0].Router, Revision{1}, atSecond(11)}};
    Seen.EndedAt = atSecond(60);
  }

  History Seen;
};

} // namespace

TEST_CASE_METHOD(HistoryFixture, "history_sound_accepted") {
  CHECK(checkAlways(Seen).empty());
}

TEST_CASE_METHOD(HistoryFixture, "history_key_run_twice_rejected") {
  Seen.Runs.push_back(RunRecord{0, TargetId{"s2"}, atSecond(3)});
  CHECK(checkAtMostOnce(Seen).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_false_not_run_rejected") {
  Seen.Calls[0].End = CallEnd::NotRun;
  CHECK(checkTrueRefusals(Seen).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_crossed_answer_rejected") {
  Seen.Calls[0].Answer = "key k2";
  CHECK(checkWholeAnswers(Seen).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_lost_call_rejected") {
  Seen.Calls[0].End = CallEnd::Open;
  CHECK(checkEveryCallEnds(Seen).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_earlier_owner_grants_rejected") {
  Seen.Grants.push_back(
      GrantRecord{HostId{"h2"}, TargetId{"s1"}, Epoch{2}, atSecond(2)});
  CHECK(checkOneGranter(Seen).empty());
  Seen.Grants.push_back(
      GrantRecord{HostId{"h1"}, TargetId{"s1"}, Epoch{1}, atSecond(3)});
  CHECK(checkOneGranter(Seen).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_two_owners_one_epoch_rejected") {
  Seen.Grants.push_back(
      GrantRecord{HostId{"h2"}, TargetId{"s1"}, Epoch{1}, atSecond(2)});
  CHECK(checkOneGranter(Seen).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_overload_beyond_allowed_rejected") {
  Seen.Overloads.push_back(
      OverloadRecord{TargetId{"s1"}, atSecond(2), 5, atSecond(1)});
  CHECK(checkColdTargets(Seen, 5).empty());
  CHECK(checkColdTargets(Seen, 4).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_work_to_target_out_rejected") {
  Seen.Accepted[0].Out = {TargetId{"s1"}};
  Seen.Dispatches = {
      DispatchRecord{HostId{"h1"}, TargetId{"s1"}, atSecond(14)}};
  CHECK(checkTakenOut(Seen, seconds(5)).empty());
  Seen.Dispatches[0].At = atSecond(16);
  CHECK(checkTakenOut(Seen, seconds(5)).size() == 1);
  // Let in again before the dispatch: allowed.
  Seen.Accepted.push_back(AcceptedRecord{Revision{2}, atSecond(15), {}});
  CHECK(checkTakenOut(Seen, seconds(5)).empty());
}

TEST_CASE_METHOD(HistoryFixture, "history_stop_that_cuts_rejected") {
  LifeRecord &life = Seen.Lives[0];
  life.StopAskedAt = atSecond(1);
  life.Until = atSecond(2);
  life.Stopped = true;
  CHECK(checkGracefulStop(Seen).empty());
  Seen.Calls[0].End = CallEnd::Cut;
  CHECK(checkGracefulStop(Seen).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_reverted_configuration_rejected") {
  const Instance router = Seen.Lives[0].Router;
  Seen.InForce.push_back(InForceRecord{router, Revision{3}, atSecond(20)});
  Seen.InForce.push_back(InForceRecord{router, Revision{2}, atSecond(21)});
  CHECK(checkConfiguration(Seen, seconds(5)).size() == 1);
}

TEST_CASE_METHOD(HistoryFixture, "history_late_configuration_rejected") {
  Seen.InForce[0].At = atSecond(17);
  CHECK(checkConfiguration(Seen, seconds(5)).size() == 1);
  Seen.Lives[0].Disturbed = {{atSecond(11), atSecond(12)}};
  CHECK(checkConfiguration(Seen, seconds(5)).empty());
}

TEST_CASE_METHOD(HistoryFixture, "history_gap_between_teams_measured") {
  const PoolId pool{"captions"};
  Seen.Services = {
      ServiceRecord{pool, TeamId{"prints"}, Cost{10}, atSecond(1)},
      ServiceRecord{pool, TeamId{"shops"}, Cost{30}, atSecond(2)},
      ServiceRecord{pool, TeamId{"prints"}, Cost{40}, atSecond(3)}};
  const std::map<TeamId, std::uint32_t> weights{{TeamId{"prints"}, 1},
                                                {TeamId{"shops"}, 2}};
  const VirtualService gap =
      largestGap(Seen, pool, weights, atSecond(0), atSecond(9));
  CHECK(gap == VirtualService{35'000});
}
