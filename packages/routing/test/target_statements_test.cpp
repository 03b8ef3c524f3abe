#include "nutmegsill/routing/target_statements.h"

#include <catch2/catch.hpp>
#include <limits>

namespace nutmegsill::routing {

class TargetStatementsFixture {
protected:
  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }
  static TargetStatement limit(double rate) {
    TargetStatement out;
    out.RequestRate = rate;
    return out;
  }
  /// Requests that are sent if one is offered each 10 ms from `from` to `to`.
  int offerAll(std::int64_t from, std::int64_t to) {
    int sent = 0;
    for (std::int64_t ms = from; ms < to; ms += 10) {
      sent += Statements.offer(Process, at(ms)) ? 1 : 0;
    }
    return sent;
  }
  std::vector<std::string> changes() {
    std::vector<std::string> out;
    for (const FleetChange &it : Statements.takeChanges()) {
      out.push_back(it.Event);
    }
    return out;
  }
  static StatementReport peerLimit(std::optional<double> rate, milliseconds age,
                                   double demand = 0) {
    StatementReport out;
    out.Process = Process;
    out.Rate = rate;
    out.Age = age;
    out.Demand = demand;
    return out;
  }

  static inline const TargetProcess Process{TargetId{"t-1"}, 7};
  static inline const HostId Peer{"host-2"};
  TargetStatements Statements{HostId{"host-1"}};
};

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_without_limit_all_offers_are_sent") {
  CHECK(offerAll(0, 1'000) == 100);
  CHECK(Statements.ownReport(at(1'000)).empty());
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_limit_is_kept_by_lone_router") {
  Statements.hear(Process, limit(5), at(0), at(0));
  CHECK(offerAll(0, 4'000) <= 21);
  const int later = offerAll(4'000, 24'000);
  CHECK(later >= 90);
  CHECK(later <= 105);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_limit_is_divided_by_demand") {
  Statements.hear(Process, limit(5), at(0), at(0));
  int sent = 0;
  for (std::int64_t ms = 0; ms < 20'000; ms += 100) {
    Statements.receive(Peer, {peerLimit(5, milliseconds(0), 300)}, at(ms));
    sent += offerAll(ms, ms + 100);
  }
  // 100 of 400 requests per second are its own.
  CHECK(sent >= 20);
  CHECK(sent <= 30);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_pause_saves_up_no_burst") {
  Statements.hear(Process, limit(5), at(0), at(0));
  offerAll(0, 4'000);
  CHECK(offerAll(60'000, 61'000) <= 6);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_limit_of_zero_is_asked_now_and_then") {
  Statements.hear(Process, limit(0), at(0), at(0));
  const int sent = offerAll(0, 60'000);
  CHECK(sent >= 3);
  CHECK(sent <= 12);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_response_without_limit_ends_it") {
  Statements.hear(Process, limit(5), at(0), at(100));
  Statements.hear(Process, {}, at(101), at(150));
  CHECK_FALSE(Statements.statedRate(Process));
  CHECK(changes() == std::vector<std::string>{"limit_stated", "limit_ended"});
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_response_to_earlier_request_ends_nothing") {
  Statements.hear(Process, limit(5), at(50), at(100));
  Statements.hear(Process, {}, at(99), at(150));
  CHECK(Statements.statedRate(Process) == 5);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_other_process_has_no_limit") {
  Statements.hear(Process, limit(5), at(0), at(100));
  CHECK_FALSE(Statements.statedRate({Process.Target, 8}));
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_invalid_limit_is_logged_once") {
  TargetStatement invalid;
  invalid.InvalidRate = "many";
  Statements.hear(Process, invalid, at(0), at(1));
  Statements.hear(Process, invalid, at(2), at(3));
  CHECK(changes() == std::vector<std::string>{"limit_invalid"});
  CHECK_FALSE(Statements.statedRate(Process));
  Statements.hear(Process, limit(5), at(4), at(5));
  Statements.hear(Process, invalid, at(6), at(7));
  CHECK(Statements.statedRate(Process) == 5);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_peer_tells_of_limit_and_its_end") {
  Statements.receive(Peer, {peerLimit(5, milliseconds(40))}, at(1'000));
  CHECK(Statements.statedRate(Process) == 5);
  // An older statement of another router changes nothing.
  Statements.receive(HostId{"host-3"}, {peerLimit(9, milliseconds(500))},
                     at(1'100));
  CHECK(Statements.statedRate(Process) == 5);
  Statements.receive(Peer, {peerLimit(std::nullopt, milliseconds(10))},
                     at(2'000));
  CHECK_FALSE(Statements.statedRate(Process));
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_end_is_not_undone_by_older_report") {
  Statements.hear(Process, limit(5), at(0), at(100));
  Statements.hear(Process, {}, at(3'000), at(3'100));
  Statements.receive(Peer, {peerLimit(5, milliseconds(200))}, at(3'150));
  CHECK_FALSE(Statements.statedRate(Process));
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_silent_peer_is_forgotten") {
  Statements.hear(Process, limit(5), at(0), at(0));
  Statements.receive(Peer, {peerLimit(5, milliseconds(0), 1'000)}, at(10));
  CHECK(offerAll(10, 4'000) <= 2);
  Statements.ownReport(at(6'000));
  CHECK(offerAll(6'000, 12'000) >= 20);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_group_report_adds_up_use") {
  Statements.hear(Process, limit(5), at(0), at(0));
  offerAll(0, 1'000);
  Statements.receive(Peer, {peerLimit(5, milliseconds(0), 30)}, at(1'000));
  const std::vector<StatementReport> own = Statements.ownReport(at(1'000));
  REQUIRE(own.size() == 1);
  const std::vector<StatementReport> group =
      Statements.groupReport(own, {Peer}, at(1'000));
  REQUIRE(group.size() == 1);
  CHECK(group[0].Demand == Approx(own[0].Demand + 30));
  CHECK(group[0].Sent == own[0].Sent);
  CHECK(group[0].Rate == 5);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_of_unknown_targets_are_forgotten") {
  Statements.hear(Process, limit(5), at(0), at(0));
  Statements.setFleet({}, 9, at(1));
  CHECK_FALSE(Statements.statedRate(Process));
  CHECK(Statements.ownReport(at(1)).empty());
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_leaving_process_stays_closed") {
  CHECK(Statements.isOpen(Process, at(0)));
  TargetStatement leaving;
  leaving.Leaving = true;
  Statements.hear(Process, leaving, at(0), at(10));
  CHECK_FALSE(Statements.isOpen(Process, at(10)));
  // A response without the statement does not take it back.
  Statements.hear(Process, {}, at(20), at(30));
  CHECK_FALSE(Statements.isOpen(Process, at(100'000)));
  CHECK(Statements.isOpen({Process.Target, 8}, at(100'000)));
  REQUIRE(Statements.ownReport(at(50)).size() == 1);
  CHECK(Statements.ownReport(at(50))[0].Leaving);
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_peer_tells_of_leaving_process") {
  StatementReport report = peerLimit(std::nullopt, milliseconds(0));
  report.Leaving = true;
  Statements.receive(Peer, {report}, at(0));
  CHECK_FALSE(Statements.isOpen(Process, at(1)));
  CHECK(changes() == std::vector<std::string>{"target_leaving"});
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_after_pause_one_request_comes_first") {
  TargetStatement pause;
  pause.Pause = milliseconds(2'000);
  Statements.hear(Process, pause, at(0), at(100));
  CHECK_FALSE(Statements.isOpen(Process, at(2'099)));
  CHECK(Statements.pauseOf(Process, at(1'100)) == milliseconds(1'000));
  REQUIRE(Statements.isOpen(Process, at(2'100)));
  CHECK(Statements.offer(Process, at(2'100)));
  CHECK_FALSE(Statements.isOpen(Process, at(2'110)));
  SECTION("its response comes") {
    Statements.hear(Process, {}, at(2'100), at(2'150));
    CHECK(Statements.isOpen(Process, at(2'150)));
  }
  SECTION("its response does not come") {
    CHECK(Statements.isOpen(Process, at(3'100)));
  }
  SECTION("its response states another pause") {
    Statements.hear(Process, pause, at(2'100), at(2'150));
    CHECK_FALSE(Statements.isOpen(Process, at(4'149)));
    CHECK(Statements.isOpen(Process, at(4'150)));
  }
  SECTION("a response to an earlier request comes late") {
    Statements.hear(Process, {}, at(90), at(2'150));
    CHECK_FALSE(Statements.isOpen(Process, at(2'150)));
  }
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_pause_is_bounded") {
  TargetStatement pause;
  pause.Pause = std::chrono::hours(24);
  Statements.hear(Process, pause, at(0), at(0));
  CHECK(Statements.isOpen(Process, at(30'000)));
  TargetStatement invalid;
  invalid.InvalidPause = "-3";
  Statements.hear(Process, invalid, at(31'000), at(31'000));
  CHECK(Statements.isOpen(Process, at(31'000)));
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_limit_pause_and_leaving_hold_together") {
  TargetStatement all = limit(5);
  all.Pause = milliseconds(500);
  Statements.hear(Process, all, at(0), at(0));
  CHECK_FALSE(Statements.isOpen(Process, at(499)));
  CHECK(Statements.statedRate(Process) == 5);
  CHECK(offerAll(500, 4'500) <= 21);
  all.Leaving = true;
  Statements.hear(Process, all, at(4'500), at(4'500));
  CHECK_FALSE(Statements.isOpen(Process, at(9'000)));
  CHECK_FALSE(Statements.pauseOf(Process, at(4'600)));
}

TEST_CASE_METHOD(TargetStatementsFixture,
                 "target_statements_leaving_process_that_vanishes_is_kept") {
  TargetStatement leaving;
  leaving.Leaving = true;
  Statements.hear(Process, leaving, at(0), at(10));
  Statements.setFleet({}, 9, at(1'000));
  CHECK_FALSE(Statements.isOpen(Process, at(1'000)));
  Statements.setFleet({}, 9, at(70'000));
  CHECK(Statements.isOpen(Process, at(70'000)));
}

} // namespace nutmegsill::routing
