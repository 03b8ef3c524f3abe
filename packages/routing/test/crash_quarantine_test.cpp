#include "nutmegsill/routing/crash_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace nutmegsill::routing {

/// A request and what it owns.
struct OwnedRequest {
  RequestIdentity Identity;
  PromptDescription Prompt;
  operator SuspectRequest() const { return {Identity, Prompt}; }
};

class CrashQuarantineFixture {
protected:
  static constexpr std::uint64_t Root = 1;
  static constexpr std::uint64_t Deadly = 7;

  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }
  static TargetProcess process(const std::string &engine,
                               std::int64_t startedAtMs = 1) {
    return {TargetId{engine}, startedAtMs};
  }
  /// A request that no other one repeats.
  OwnedRequest prompt(const std::vector<std::uint64_t> &shared) {
    return repeated(++LastOwn, shared);
  }
  static OwnedRequest repeated(std::uint64_t identity,
                               const std::vector<std::uint64_t> &shared = {}) {
    OwnedRequest out;
    out.Identity = RequestIdentity(identity);
    for (const std::uint64_t it : shared) {
      out.Prompt.Parts.push_back({it, 500});
    }
    if (!shared.empty()) {
      out.Prompt.Parts.push_back({identity, 500});
    }
    return out;
  }
  /// A target ends 50 ms after it got the request.
  void lose(const SuspectRequest &request, const TargetProcess &process,
            Time now) {
    Quarantine.recordLoss(request, process, now - milliseconds(50), now);
  }
  /// Three engines end under the deadly part, one second apart.
  void crashThreeTimes() {
    for (int i = 0; i < 3; ++i) {
      lose(prompt({Root, Deadly}), process("e-" + std::to_string(i)),
           at(i * 1'000L));
    }
    Quarantine.update(at(3'000));
  }
  static CrashCause partCause(std::uint64_t part) {
    return {CrashCause::Kind::PromptPart, part};
  }
  bool isRequestQuarantined(std::uint64_t identity, Time now) const {
    return Quarantine.findQuarantined(repeated(identity), now).has_value();
  }
  bool isQuarantined(std::uint64_t part, Time now) {
    return Quarantine.findQuarantined(prompt({part}), now) == partCause(part);
  }

  CrashQuarantine Quarantine{HostId{"host-1"}};
  std::uint64_t LastOwn = 1'000;
};

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_third_crash_quarantines_later_part") {
  crashThreeTimes();
  CHECK(isQuarantined(Deadly, at(3'000)));
  CHECK_FALSE(isQuarantined(Root, at(3'000)));
  CHECK(Quarantine.findQuarantined(prompt({Root, Deadly}), at(3'000)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_own_part_of_prompt_is_never_suspected") {
  for (int i = 0; i < 5; ++i) {
    OwnedRequest own = prompt({});
    own.Prompt.Parts = {{Deadly, 500}};
    lose(own, process("e-" + std::to_string(i)), at(i * 1'000L));
  }
  Quarantine.update(at(6'000));
  CHECK_FALSE(isQuarantined(Deadly, at(6'000)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_part_that_survives_is_not_quarantined") {
  for (int i = 0; i < 5; ++i) {
    const Time crash = at(i * 1'000L);
    lose(prompt({Root}), process("e-" + std::to_string(i)), crash);
    Quarantine.recordSurvival(prompt({Root}), crash + milliseconds(10),
                              crash + milliseconds(400));
  }
  Quarantine.update(at(6'000));
  CHECK_FALSE(isQuarantined(Root, at(6'000)));
}

TEST_CASE_METHOD(
    CrashQuarantineFixture,
    "crash_quarantine_response_sent_before_crash_does_not_acquit") {
  lose(prompt({Deadly}), process("e-0"), at(1'000));
  Quarantine.recordSurvival(prompt({Deadly}), at(900), at(1'400));
  lose(prompt({Deadly}), process("e-1"), at(2'000));
  lose(prompt({Deadly}), process("e-2"), at(3'000));
  Quarantine.update(at(4'000));
  CHECK(isQuarantined(Deadly, at(4'000)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_engines_that_end_together_count_once") {
  for (int i = 0; i < 9; ++i) {
    lose(prompt({Root}), process("e-" + std::to_string(i)), at(5L * i));
  }
  Quarantine.update(at(3'000));
  CHECK_FALSE(isQuarantined(Root, at(3'000)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_many_prompts_of_one_crash_count_once") {
  for (int i = 0; i < 9; ++i) {
    lose(prompt({Root}), process("e-1"), at(i * 200L));
  }
  Quarantine.update(at(3'000));
  CHECK_FALSE(isQuarantined(Root, at(3'000)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_suspected_prompt_is_not_repeated") {
  lose(prompt({Root, Deadly}), process("e-1"), at(0));
  CHECK(Quarantine.mayRepeat(prompt({Root, Deadly}), at(1)));
  lose(prompt({Root, Deadly}), process("e-2"), at(500));
  CHECK_FALSE(Quarantine.mayRepeat(prompt({Root, Deadly}), at(501)));
  CHECK(Quarantine.mayRepeat(prompt({33}), at(501)));
  // The root is sound.
  Quarantine.recordSurvival(prompt({Root}), at(600), at(900));
  CHECK(Quarantine.mayRepeat(prompt({Root}), at(901)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_trials_are_rare_and_sound_part_returns") {
  crashThreeTimes();
  int trials = 0;
  for (std::int64_t ms = 3'000; ms < 300'000; ms += 50) {
    if (!Quarantine.findQuarantined(prompt({Root, Deadly}), at(ms))) {
      Quarantine.recordSent(prompt({Root, Deadly}), at(ms));
      lose(prompt({Root, Deadly}), process("e-3", ms), at(ms));
      ++trials;
    }
  }
  CHECK(trials == 2);
  // The next trial succeeds.
  std::int64_t ms = 300'000;
  while (Quarantine.findQuarantined(prompt({Deadly}), at(ms))) {
    ms += 50;
  }
  Quarantine.recordSent(prompt({Deadly}), at(ms));
  CHECK(isQuarantined(Deadly, at(ms + 1)));
  Quarantine.recordSurvival(prompt({Deadly}), at(ms), at(ms + 400));
  CHECK_FALSE(isQuarantined(Deadly, at(ms + 401)));
}

// Guards against trials that are used up although no target ran the request.
TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_withdrawn_trial_is_due_again") {
  crashThreeTimes();
  const OwnedRequest request = prompt({Root, Deadly});
  std::int64_t due = 3'000;
  while (isQuarantined(Deadly, at(due))) {
    due += 50;
  }
  for (int i = 0; i < 5; ++i) {
    CHECK(Quarantine.recordSent(request, at(due)));
    CHECK(isQuarantined(Deadly, at(due)));
    Quarantine.withdrawTrial(request);
    CHECK_FALSE(isQuarantined(Deadly, at(due)));
  }
  CHECK(Quarantine.takeOwnReport(at(due)).Quarantined.at(0).Trials == 0);
  CHECK_FALSE(Quarantine.recordSent(prompt({Root}), at(due)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_routers_agree_on_the_time_of_a_verdict") {
  Quarantine.receive(
      {{}, {}, {{partCause(Deadly), milliseconds(100), 0, Duration{0}}}}, false,
      at(1'000));
  Quarantine.receive(
      {{}, {}, {{partCause(Deadly), milliseconds(900), 0, Duration{0}}}}, false,
      at(1'200));
  CHECK(Quarantine.takeOwnReport(at(1'200)).Quarantined.at(0).Age ==
        milliseconds(900));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_only_one_router_has_the_turn_of_a_trial") {
  const std::vector<HostId> hosts{HostId{"host-1"}, HostId{"host-2"},
                                  HostId{"host-3"}};
  std::vector<CrashQuarantine> routers;
  for (const HostId &it : hosts) {
    routers.emplace_back(it);
    routers.back().setRouters(hosts);
    routers.back().receive(
        {{}, {}, {{partCause(Deadly), Duration{0}, 0, Duration{0}}}}, false,
        at(0));
  }
  for (std::int64_t ms = 0; ms < 60'000; ms += 500) {
    const auto mayTry = std::count_if(
        routers.begin(), routers.end(), [&](const CrashQuarantine &it) {
          return !it.findQuarantined(prompt({Deadly}), at(ms));
        });
    CHECK(mayTry == (ms < 15'000 ? 0 : 1));
  }
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_release_reaches_router_that_missed_it") {
  CrashQuarantine other{HostId{"host-2"}};
  crashThreeTimes();
  other.receive(Quarantine.takeOwnReport(at(3'000)), true, at(3'001));
  REQUIRE(other.findQuarantined(prompt({Deadly}), at(3'002)) ==
          partCause(Deadly));
  Quarantine.recordSurvival(prompt({Deadly}), at(2'990), at(3'400));
  CHECK_FALSE(isQuarantined(Deadly, at(3'401)));
  for (int i = 0; i < 3; ++i) {
    Quarantine.takeOwnReport(at(3'500)); // Lost on the way.
  }
  // The other router's next report shows that it does not know.
  Quarantine.receive(other.takeOwnReport(at(3'600)), true, at(3'601));
  CHECK_FALSE(isQuarantined(Deadly, at(3'602)));
  other.receive(Quarantine.takeOwnReport(at(3'700)), true, at(3'701));
  CHECK_FALSE(other.findQuarantined(prompt({Deadly}), at(3'702)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_invented_parts_do_not_displace_evidence") {
  // Each crash loses many prompts with parts of their own.
  for (int i = 0; i < 3; ++i) {
    for (std::uint64_t part = 0; part < 60; ++part) {
      lose(prompt({1'000 + 100 * static_cast<std::uint64_t>(i) + part}),
           process("e-" + std::to_string(i)), at(i * 1'000L));
    }
    lose(prompt({Deadly}), process("e-" + std::to_string(i)), at(i * 1'000L));
  }
  Quarantine.update(at(3'000));
  CHECK(isQuarantined(Deadly, at(3'000)));
}

// Guards against one request that crashes server after server.
TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_repeated_request_is_blamed_not_its_parts") {
  for (int i = 0; i < 3; ++i) {
    lose(repeated(5, {Root, Deadly}), process("e-" + std::to_string(i)),
         at(i * 1'000L));
    // Sound requests with the same parts are there too.
    lose(prompt({Root, Deadly}), process("e-" + std::to_string(i)),
         at(i * 1'000L));
  }
  Quarantine.update(at(3'000));
  CHECK(isRequestQuarantined(5, at(3'000)));
  CHECK_FALSE(isRequestQuarantined(6, at(3'000)));
  CHECK_FALSE(isQuarantined(Root, at(3'000)));
  CHECK_FALSE(isQuarantined(Deadly, at(3'000)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_requests_that_are_repeated_reveal_part") {
  // Each of them is repeated once.
  for (int i = 0; i < 5; ++i) {
    const std::uint64_t identity = 50 + static_cast<std::uint64_t>(i / 2);
    lose(repeated(identity, {Root, Deadly}), process("e-" + std::to_string(i)),
         at(i * 300L));
  }
  Quarantine.update(at(2'200));
  CHECK(isQuarantined(Deadly, at(2'200)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_two_requests_at_once_are_both_blamed") {
  for (int i = 0; i < 6; ++i) {
    lose(repeated(5 + static_cast<std::uint64_t>(i % 2)),
         process("s-" + std::to_string(i)), at(i * 500L));
  }
  Quarantine.update(at(3'500));
  CHECK(isRequestQuarantined(5, at(3'500)));
  CHECK(isRequestQuarantined(6, at(3'500)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_request_that_survives_is_not_blamed") {
  for (int i = 0; i < 5; ++i) {
    const Time crash = at(i * 1'000L);
    lose(repeated(5), process("s-" + std::to_string(i)), crash);
    Quarantine.recordSurvival(repeated(5), crash + milliseconds(1),
                              crash + milliseconds(20));
  }
  Quarantine.update(at(6'000));
  CHECK_FALSE(isRequestQuarantined(5, at(6'000)));
}

// One that was sent after the other had ended its target did not share its
// power supply.
TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_repeat_within_crash_spacing_counts") {
  for (int i = 0; i < 3; ++i) {
    lose(repeated(5), process("s-" + std::to_string(i)), at(i * 60L));
  }
  CHECK_FALSE(Quarantine.mayRepeat(repeated(5), at(121)));
  Quarantine.update(at(1'200));
  CHECK(isRequestQuarantined(5, at(1'200)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_request_in_zone_crashes_counts_once_each") {
  // A popular request is on all targets of a zone that loses power twice.
  for (int i = 0; i < 6; ++i) {
    lose(repeated(5), process("s-" + std::to_string(i)),
         at((i / 3) * 2'000L + i));
  }
  Quarantine.update(at(5'000));
  CHECK_FALSE(isRequestQuarantined(5, at(5'000)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_victim_of_one_crash_may_be_repeated") {
  lose(repeated(5), process("s-1"), at(0));
  lose(repeated(6), process("s-1"), at(0));
  CHECK(Quarantine.mayRepeat(repeated(5), at(1)));
  lose(repeated(5), process("s-2"), at(200));
  CHECK_FALSE(Quarantine.mayRepeat(repeated(5), at(201)));
  CHECK(Quarantine.mayRepeat(repeated(6), at(201)));
}

TEST_CASE_METHOD(
    CrashQuarantineFixture,
    "crash_quarantine_invented_requests_do_not_displace_evidence") {
  std::uint64_t invented = 100'000;
  for (int i = 0; i < 3; ++i) {
    const TargetProcess ended = process("s-" + std::to_string(i));
    for (int n = 0; n < 250; ++n) {
      lose(repeated(++invented), ended, at(i * 1'000L));
    }
    lose(repeated(5), ended, at(i * 1'000L));
  }
  Quarantine.update(at(3'500));
  CHECK_FALSE(isRequestQuarantined(invented, at(3'500)));
  CHECK(isRequestQuarantined(5, at(3'500)));
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_memory_of_causes_is_bounded") {
  std::vector<QuarantinedCause> many;
  for (std::uint64_t i = 1; i <= 1'000; ++i) {
    many.push_back(
        {{CrashCause::Kind::Request, i}, Duration{0}, 0, Duration{0}});
  }
  Quarantine.receive({{}, {}, many}, false, at(0));
  CHECK(Quarantine.takeOwnReport(at(1)).Quarantined.size() == 64);
  // The oldest yields once it is old.
  for (int i = 0; i < 3; ++i) {
    lose(repeated(5'000), process("s-" + std::to_string(i)),
         at(60'000 + i * 500L));
  }
  Quarantine.update(at(63'000));
  CHECK(isRequestQuarantined(5'000, at(63'000)));
  CHECK(Quarantine.takeOwnReport(at(63'001)).Quarantined.size() == 64);
}

TEST_CASE_METHOD(CrashQuarantineFixture,
                 "crash_quarantine_request_that_is_tried_in_vain_has_no_more") {
  for (int i = 0; i < 3; ++i) {
    lose(repeated(5), process("s-" + std::to_string(i)), at(i * 1'000L));
  }
  Quarantine.update(at(3'000));
  int trials = 0;
  for (std::int64_t ms = 3'000; ms < 3'000'000; ms += 500) {
    if (!isRequestQuarantined(5, at(ms))) {
      Quarantine.recordSent(repeated(5), at(ms));
      lose(repeated(5), process("s-9", ms), at(ms + 50));
      ++trials;
    }
    Quarantine.update(at(ms));
  }
  CHECK(trials == 3);
}

} // namespace nutmegsill::routing
