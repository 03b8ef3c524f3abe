#include "nutmegsill/routing/prompt_quarantine.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace nutmegsill::routing {

class PromptQuarantineFixture {
protected:
  static constexpr std::uint64_t Root = 1;
  static constexpr std::uint64_t Deadly = 7;

  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }
  static TargetProcess process(const std::string &engine,
                               std::int64_t startedAtMs = 1) {
    return {TargetId{engine}, startedAtMs};
  }
  PromptDescription prompt(const std::vector<std::uint64_t> &shared) {
    PromptDescription out;
    for (const std::uint64_t it : shared) {
      out.Parts.push_back({it, 500});
    }
    out.Parts.push_back({++LastOwn, 500});
    return out;
  }
  /// Three engines end under the deadly part, one second apart.
  void crashThreeTimes() {
    for (int i = 0; i < 3; ++i) {
      Quarantine.recordLoss({}, prompt({Root, Deadly}),
                            process("e-" + std::to_string(i)), at(i * 1'000L));
    }
    Quarantine.update(at(3'000));
  }
  bool isQuarantined(std::uint64_t part, Time now) {
    return Quarantine.findQuarantined(prompt({part}), now) == part;
  }

  PromptQuarantine Quarantine{HostId{"host-1"}};
  std::uint64_t LastOwn = 1'000;
};

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_third_crash_quarantines_later_part") {
  crashThreeTimes();
  CHECK(isQuarantined(Deadly, at(3'000)));
  CHECK_FALSE(isQuarantined(Root, at(3'000)));
  CHECK(Quarantine.findQuarantined(prompt({Root, Deadly}), at(3'000)));
}

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_own_part_of_prompt_is_never_suspected") {
  for (int i = 0; i < 5; ++i) {
    PromptDescription own;
    own.Parts = {{Deadly, 500}};
    Quarantine.recordLoss({}, own, process("e-" + std::to_string(i)),
                          at(i * 1'000L));
  }
  Quarantine.update(at(6'000));
  CHECK_FALSE(isQuarantined(Deadly, at(6'000)));
}

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_part_that_survives_is_not_quarantined") {
  for (int i = 0; i < 5; ++i) {
    const Time crash = at(i * 1'000L);
    Quarantine.recordLoss({}, prompt({Root}), process("e-" + std::to_string(i)),
                          crash);
    Quarantine.recordSurvival(prompt({Root}), crash + milliseconds(10),
                              crash + milliseconds(400));
  }
  Quarantine.update(at(6'000));
  CHECK_FALSE(isQuarantined(Root, at(6'000)));
}

TEST_CASE_METHOD(
    PromptQuarantineFixture,
    "prompt_quarantine_response_sent_before_crash_does_not_acquit") {
  Quarantine.recordLoss({}, prompt({Deadly}), process("e-0"), at(1'000));
  Quarantine.recordSurvival(prompt({Deadly}), at(900), at(1'400));
  Quarantine.recordLoss({}, prompt({Deadly}), process("e-1"), at(2'000));
  Quarantine.recordLoss({}, prompt({Deadly}), process("e-2"), at(3'000));
  Quarantine.update(at(4'000));
  CHECK(isQuarantined(Deadly, at(4'000)));
}

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_engines_that_end_together_count_once") {
  for (int i = 0; i < 9; ++i) {
    Quarantine.recordLoss({}, prompt({Root}), process("e-" + std::to_string(i)),
                          at(5L * i));
  }
  Quarantine.update(at(3'000));
  CHECK_FALSE(isQuarantined(Root, at(3'000)));
}

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_many_prompts_of_one_crash_count_once") {
  for (int i = 0; i < 9; ++i) {
    Quarantine.recordLoss({}, prompt({Root}), process("e-1"), at(i * 200L));
  }
  Quarantine.update(at(3'000));
  CHECK_FALSE(isQuarantined(Root, at(3'000)));
}

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_suspected_prompt_is_not_repeated") {
  Quarantine.recordLoss({}, prompt({Root, Deadly}), process("e-1"), at(0));
  CHECK(Quarantine.mayRepeat(prompt({Root, Deadly}), at(1)));
  Quarantine.recordLoss({}, prompt({Root, Deadly}), process("e-2"), at(500));
  CHECK_FALSE(Quarantine.mayRepeat(prompt({Root, Deadly}), at(501)));
  CHECK(Quarantine.mayRepeat(prompt({33}), at(501)));
  // The root is sound.
  Quarantine.recordSurvival(prompt({Root}), at(600), at(900));
  CHECK(Quarantine.mayRepeat(prompt({Root}), at(901)));
}

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_trials_are_rare_and_sound_part_returns") {
  crashThreeTimes();
  int trials = 0;
  for (std::int64_t ms = 3'000; ms < 300'000; ms += 50) {
    if (!Quarantine.findQuarantined(prompt({Root, Deadly}), at(ms))) {
      Quarantine.recordSent(prompt({Root, Deadly}), at(ms));
      Quarantine.recordLoss({}, prompt({Root, Deadly}), process("e-3", ms), at(ms));
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

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_only_one_router_has_the_turn_of_a_trial") {
  const std::vector<HostId> hosts{HostId{"host-1"}, HostId{"host-2"},
                                  HostId{"host-3"}};
  std::vector<PromptQuarantine> routers;
  for (const HostId &it : hosts) {
    routers.emplace_back(it);
    routers.back().setRouters(hosts);
    routers.back().receive({{}, {}, {{Deadly, Duration{0}, 0}}}, false, at(0));
  }
  for (std::int64_t ms = 0; ms < 60'000; ms += 500) {
    const auto mayTry = std::count_if(
        routers.begin(), routers.end(), [&](const PromptQuarantine &it) {
          return !it.findQuarantined(prompt({Deadly}), at(ms));
        });
    CHECK(mayTry == (ms < 15'000 ? 0 : 1));
  }
}

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_release_reaches_router_that_missed_it") {
  PromptQuarantine other{HostId{"host-2"}};
  crashThreeTimes();
  other.receive(Quarantine.takeOwnReport(at(3'000)), true, at(3'001));
  REQUIRE(other.findQuarantined(prompt({Deadly}), at(3'002)) == Deadly);
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

TEST_CASE_METHOD(PromptQuarantineFixture,
                 "prompt_quarantine_invented_parts_do_not_displace_evidence") {
  // Each crash loses many prompts with parts of their own.
  for (int i = 0; i < 3; ++i) {
    for (std::uint64_t part = 0; part < 60; ++part) {
      Quarantine.recordLoss(
          {}, prompt({1'000 + 100 * static_cast<std::uint64_t>(i) + part}),
          process("e-" + std::to_string(i)), at(i * 1'000L));
    }
    Quarantine.recordLoss({}, prompt({Deadly}), process("e-" + std::to_string(i)),
                          at(i * 1'000L));
  }
  Quarantine.update(at(3'000));
  CHECK(isQuarantined(Deadly, at(3'000)));
}

} // namespace nutmegsill::routing
