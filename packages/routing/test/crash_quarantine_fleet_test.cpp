#include "crash_fleet.h"

#include <catch2/catch.hpp>
#include <functional>

namespace nutmegsill::routing {

namespace {

constexpr std::uint64_t DeadlyPart = 0xdead;
constexpr std::uint64_t OtherDeadlyPart = 0xbad;
constexpr std::uint64_t DeadlyRequest = 0xdead'0000'0001;
constexpr std::uint64_t OtherDeadlyRequest = 0xdead'0000'0002;
constexpr std::uint64_t ThirdDeadlyRequest = 0xdead'0000'0003;

} // namespace

class CrashQuarantineFleetFixture {
protected:
  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }

  static FleetLoad load(std::size_t routers, unsigned seed) {
    FleetLoad out;
    out.Routers = routers;
    out.Engines = routers;
    out.PromptsPerSecond = static_cast<int>(routers) * 13;
    out.Deadly = {{DeadlyPart, at(4'000)}};
    out.Seed = seed;
    return out;
  }
  static FleetLoad requestLoad(std::size_t routers, unsigned seed) {
    FleetLoad out = load(routers, seed);
    out.Deadly.clear();
    out.DeadlyRequests = {{DeadlyRequest, at(4'000)}};
    return out;
  }
  static FleetLoad plainLoad(std::size_t routers, unsigned seed) {
    FleetLoad out = requestLoad(routers, seed);
    out.Plain = true;
    out.Attempts = 2;
    return out;
  }
  static FleetOutcome play(const FleetLoad &load) {
    return CrashQuarantineFleet(load).play();
  }
  /// The users' bounds: three late sends, and no sound prompt kept away.
  static void checkBounds(const FleetLoad &load) {
    CAPTURE(load.Routers, load.DeadlyShare, load.DeadlyPosition,
            load.DeadlyRequestShare, load.Plain, load.Seed);
    const FleetOutcome outcome = play(load);
    CHECK(outcome.LateDeadlySends <= 3);
    CHECK(outcome.SoundRejected == 0);
    CHECK(outcome.QuarantinedParts.size() <= load.Deadly.size());
    if (load.Deadly.empty()) {
      CHECK(outcome.QuarantinedRequests.size() <= load.DeadlyRequests.size());
    }
  }
};

// Guards against prompts that crash one engine after the other.
TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_deadly_part_is_kept_from_engines") {
  for (const std::size_t routers : {9U, 75U, 300U}) {
    for (const double share : {0.01, 0.05, 0.2}) {
      FleetLoad it = load(routers, 7);
      it.DeadlyShare = share;
      it.Length = std::chrono::seconds(routers > 9 ? 10 : 30);
      checkBounds(it);
    }
  }
}

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_deadly_part_of_any_position_is_found") {
  for (const std::size_t position : {0U, 1U, 2U}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      FleetLoad it = load(9, seed);
      it.DeadlyPosition = position;
      checkBounds(it);
    }
  }
}

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_two_deadly_parts_are_both_found") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    FleetLoad it = load(9, seed);
    it.Deadly[OtherDeadlyPart] = at(6'000);
    const FleetOutcome outcome = play(it);
    CAPTURE(seed);
    CHECK(outcome.QuarantinedParts.size() == 2);
    CHECK(outcome.SoundRejected == 0);
  }
}

// A zone that loses power, again and again, is no reason to suspect prompts.
TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_zone_crashes_quarantine_nothing") {
  for (const std::size_t routers : {9U, 75U}) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      FleetLoad it = load(routers, seed);
      it.Deadly.clear();
      it.Length = std::chrono::seconds(routers > 9 ? 15 : 30);
      for (std::int64_t ms = 2'000; ms < 28'000; ms += 4'000) {
        it.ZoneCrashes.push_back(at(ms));
      }
      const FleetOutcome outcome = play(it);
      CAPTURE(routers, seed);
      CHECK(outcome.QuarantinedParts.empty());
      CHECK(outcome.SoundRejected == 0);
    }
  }
}

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_zone_crash_beside_deadly_part_is_borne") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    FleetLoad it = load(9, seed);
    it.ZoneCrashes = {at(4'500), at(9'000)};
    checkBounds(it);
  }
}

// Other routers see the crashes under the prompts of those that are cut off,
// but not these prompts.
TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_routers_cut_from_peers_learn_on_return") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    FleetLoad it = load(75, seed);
    it.CutRouters = 20;
    it.CutUntil = at(12'000);
    it.Length = std::chrono::seconds(20);
    CAPTURE(seed);
    const FleetOutcome outcome = play(it);
    CHECK(outcome.LateDeadlySends <= 3);
    // The users' bound of requests that are rejected by mistake.
    CHECK(outcome.SoundRejected <= 5 + outcome.Sound / 500);
  }
}

// Guards against one request that crashes server after server.
TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_deadly_request_is_kept_from_targets") {
  for (const bool plain : {false, true}) {
    for (const std::size_t routers : {9U, 75U, 300U}) {
      for (const double share : {0.001, 0.01, 0.1}) {
        FleetLoad it = plain ? plainLoad(routers, 7) : requestLoad(routers, 7);
        it.DeadlyRequestShare = share * 9 / static_cast<double>(routers);
        it.Length = std::chrono::seconds(routers > 9 ? 14 : 40);
        checkBounds(it);
      }
    }
  }
}

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_deadly_requests_at_once_are_all_found") {
  for (const bool plain : {false, true}) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      FleetLoad it = plain ? plainLoad(9, seed) : requestLoad(9, seed);
      it.DeadlyRequestShare = 0.01;
      it.DeadlyRequests[OtherDeadlyRequest] = at(4'300);
      it.DeadlyRequests[ThirdDeadlyRequest] = at(7'000);
      checkBounds(it);
    }
  }
}

TEST_CASE_METHOD(
    CrashQuarantineFleetFixture,
    "crash_quarantine_deadly_request_beside_deadly_part_is_found") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    FleetLoad it = load(9, seed);
    it.DeadlyRequests = {{DeadlyRequest, at(5'000)}};
    checkBounds(it);
  }
}

TEST_CASE_METHOD(
    CrashQuarantineFleetFixture,
    "crash_quarantine_other_crashes_beside_plain_request_are_borne") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    FleetLoad it = plainLoad(9, seed);
    it.OtherCrashesPerSecond = 1;
    it.ZoneCrashes = {at(4'500), at(9'000), at(12'000)};
    checkBounds(it);
  }
}

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_other_crashes_beside_prompt_are_borne") {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    FleetLoad it = requestLoad(9, seed);
    it.OtherCrashesPerSecond = 1;
    it.ZoneCrashes = {at(4'500), at(9'000), at(12'000)};
    checkBounds(it);
  }
}

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_routers_that_return_learn_of_request") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    FleetLoad cut = plainLoad(75, seed);
    cut.CutRouters = 20;
    cut.CutUntil = at(9'000);
    cut.Length = std::chrono::seconds(15);
    checkBounds(cut);
    FleetLoad frozen = plainLoad(75, seed);
    frozen.FrozenRouters = 20;
    frozen.FrozenFrom = at(5'000);
    frozen.FrozenUntil = at(9'000);
    frozen.Length = std::chrono::seconds(15);
    checkBounds(frozen);
    FleetLoad restarted = plainLoad(75, seed);
    restarted.RestartsFrom = at(5'000);
    restarted.Length = std::chrono::seconds(22);
    checkBounds(restarted);
  }
}

namespace {

/// Days with and without a deadly request, beside crashes of other causes.
void checkNoSoundRequestIsBlamed(
    unsigned days, const std::function<FleetLoad(unsigned)> &make) {
  for (unsigned seed = 1; seed <= days; ++seed) {
    FleetLoad it = make(seed);
    if (seed % 2 == 0) {
      it.DeadlyRequests.clear();
    }
    it.OtherCrashesPerSecond = seed % 3;
    it.Engines = seed % 5 == 0 ? 3 : it.Engines;
    it.Length = std::chrono::seconds(12);
    if (seed % 4 == 0) {
      it.ZoneCrashes = {Time(milliseconds(5'000)), Time(milliseconds(7'000)),
                        Time(milliseconds(9'100))};
    }
    const FleetOutcome outcome = CrashQuarantineFleet(it).play();
    CAPTURE(seed, it.Plain, outcome.QuarantinedParts);
    CHECK(outcome.LateDeadlySends <= 3);
    CHECK(outcome.SoundRejected == 0);
    CHECK(outcome.QuarantinedParts.empty());
    CHECK(outcome.QuarantinedRequests.size() <= it.DeadlyRequests.size());
  }
}

} // namespace

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_sound_plain_requests_are_never_blamed") {
  checkNoSoundRequestIsBlamed(40,
                              [](unsigned seed) { return plainLoad(9, seed); });
}

TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_sound_prompts_are_never_blamed") {
  checkNoSoundRequestIsBlamed(
      40, [](unsigned seed) { return requestLoad(9, seed); });
}

// Takes minutes.
TEST_CASE_METHOD(
    CrashQuarantineFleetFixture,
    "crash_quarantine_sound_plain_requests_of_many_days_are_never_blamed",
    "[.]") {
  checkNoSoundRequestIsBlamed(1'000,
                              [](unsigned seed) { return plainLoad(9, seed); });
}

// Takes minutes.
TEST_CASE_METHOD(CrashQuarantineFleetFixture,
                 "crash_quarantine_sound_prompts_of_many_days_are_never_blamed",
                 "[.]") {
  checkNoSoundRequestIsBlamed(
      1'000, [](unsigned seed) { return requestLoad(9, seed); });
}

} // namespace nutmegsill::routing
