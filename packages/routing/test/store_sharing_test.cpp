#include "nutmegsill/routing/store_sharing.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace nutmegsill::routing {

class StoreSharingFixture {
protected:
  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }
  static Instance instance(std::size_t i) {
    return {HostId{"host-" + std::to_string(i)}, IncarnationId{1}};
  }
  static std::vector<HostId> othersThan(std::size_t self, std::size_t count) {
    std::vector<HostId> out;
    for (std::size_t i = 0; i < count; ++i) {
      if (i != self) {
        out.push_back(instance(i).Host);
      }
    }
    return out;
  }
  static std::vector<StoreSharing> group(std::size_t count) {
    std::vector<StoreSharing> out;
    for (std::size_t i = 0; i < count; ++i) {
      out.emplace_back(instance(i), StoreSharingPolicy());
      out.back().setGroup(othersThan(i, count));
    }
    return out;
  }
  /// Every member that reads at `now` proves to all others; returns how many
  /// read.
  static std::size_t proveAll(std::vector<StoreSharing> &members, Time now,
                              const std::vector<bool> &alive) {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (alive[i] && members[i].readsStore(now, now)) {
        readers.push_back(i);
      }
    }
    for (const std::size_t reader : readers) {
      for (std::size_t i = 0; i < members.size(); ++i) {
        if (i != reader) {
          members[i].recordProof(instance(reader).Host, StoreProof(), now);
        }
      }
    }
    return readers.size();
  }
};

TEST_CASE_METHOD(StoreSharingFixture,
                 "store_sharing_calm_group_has_two_readers") {
  std::vector<StoreSharing> members = group(17);
  const std::vector<bool> alive(17, true);
  CHECK(proveAll(members, at(0), alive) == 17);
  CHECK(proveAll(members, at(800), alive) == 2);
  CHECK(proveAll(members, at(1'600), alive) == 2);
}

TEST_CASE_METHOD(StoreSharingFixture,
                 "store_sharing_calm_group_has_one_watcher") {
  std::vector<StoreSharing> members = group(17);
  const std::vector<bool> alive(17, true);
  proveAll(members, at(0), alive);
  proveAll(members, at(800), alive);
  std::size_t watchers = 0;
  for (const StoreSharing &it : members) {
    watchers += it.watchesStore(at(900), at(900)) ? 1 : 0;
    CHECK(it.watchesStore(std::nullopt, at(900)));
  }
  CHECK(watchers == 1);
}

TEST_CASE_METHOD(StoreSharingFixture,
                 "store_sharing_silent_readers_are_replaced") {
  std::vector<StoreSharing> members = group(17);
  std::vector<bool> alive(17, true);
  proveAll(members, at(0), alive);
  for (std::size_t i = 0; i < members.size(); ++i) {
    alive[i] = !members[i].isPrimaryReader();
  }
  proveAll(members, at(1'800), alive);
  CHECK(proveAll(members, at(2'600), alive) == 2);
}

TEST_CASE_METHOD(StoreSharingFixture,
                 "store_sharing_old_knowledge_makes_router_read") {
  std::vector<StoreSharing> members = group(5);
  const std::vector<bool> alive(5, true);
  proveAll(members, at(0), alive);
  proveAll(members, at(800), alive);
  for (StoreSharing &it : members) {
    CHECK(it.readsStore(std::nullopt, at(900)));
    // Proofs still arrive, but none holds a stamp of this router.
    CHECK(it.readsStore(
        at(900) - StoreSharingPolicy().MaxProofAge - milliseconds(1), at(900)));
  }
}

TEST_CASE_METHOD(StoreSharingFixture,
                 "store_sharing_stamp_of_other_process_proves_nothing") {
  StoreSharing sharing(instance(0), {});
  sharing.setGroup(othersThan(0, 2));
  StoreProof proof;
  proof.Stamps = {{Instance{instance(0).Host, IncarnationId{7}}, at(100)}};
  CHECK_FALSE(sharing.recordProof(instance(1).Host, proof, at(200)));
  proof.Stamps = {{instance(0), at(100)}};
  CHECK(sharing.recordProof(instance(1).Host, proof, at(200)) == at(100));
  // A stamp from the future shows a clock that went back.
  CHECK_FALSE(sharing.recordProof(instance(1).Host, proof, at(50)));
  CHECK_FALSE(sharing.recordProof(HostId{"stranger"}, proof, at(200)));
}

TEST_CASE_METHOD(StoreSharingFixture,
                 "store_sharing_late_stamp_of_ended_process_is_ignored") {
  StoreSharing sharing(instance(0), {});
  sharing.setGroup(othersThan(0, 2));
  const Instance restarted{instance(1).Host, IncarnationId{2}};
  sharing.recordStamp(restarted, at(10));
  sharing.recordStamp(instance(1), at(9'000));
  REQUIRE(sharing.stamps().size() == 1);
  CHECK(sharing.stamps().front().Router == restarted);
  CHECK(sharing.stamps().front().Stamp == at(10));
}

/// A group in virtual time. Clocks of the routers differ by hours; messages and
/// calls are late or lost; routers freeze; a change reaches a router by its own
/// watch, by a relay or by a call after a proof. `Known` of a router is the
/// revision up to which it has all changes.
class SharingSimulation {
public:
  SharingSimulation(std::size_t count, std::uint32_t seed, bool faults)
      : Faults(faults), Random(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      Routers.push_back(std::make_unique<Router>(instance(i)));
      std::vector<HostId> others;
      for (std::size_t j = 0; j < count; ++j) {
        if (j != i) {
          others.push_back(instance(j).Host);
        }
      }
      Routers.back()->Sharing.setGroup(others);
      Routers.back()->ClockOffset = std::chrono::hours(draw(0, 1'000));
      after(milliseconds(draw(0, 800)), [this, i] { check(i); });
    }
    after(milliseconds(500), [this] { change(); });
  }

  void run(Duration duration) {
    const Time end = Now + duration;
    while (!Events.empty() && Events.top().At <= end) {
      const Event event = Events.top();
      Events.pop();
      Now = event.At;
      event.Work();
      verify();
    }
    Now = end;
  }

  std::uint64_t Calls = 0;
  std::size_t Violations = 0;
  Duration OldestKnowledge{0};

private:
  struct Router {
    explicit Router(Instance self) : Sharing(std::move(self), {}) {}
    StoreSharing Sharing;
    Duration ClockOffset{0};
    std::uint64_t Known = 0;
    /// On the router's own clock.
    std::optional<Time> CurrentAsOf;
    Time NextCheck{};
    Time FrozenUntil{};
  };
  struct Event {
    Time At;
    std::uint64_t Order = 0;
    std::function<void()> Work;
    bool operator<(const Event &other) const {
      return std::tie(other.At, other.Order) < std::tie(At, Order);
    }
  };

  static Instance instance(std::size_t i) {
    return {HostId{"host-" + std::to_string(i)}, IncarnationId{1}};
  }
  std::int64_t draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(Random);
  }
  bool fails() { return Faults && draw(0, 9) == 0; }
  Duration delay() {
    return milliseconds(fails() ? draw(100, 3'000) : draw(1, 10));
  }
  void after(Duration span, std::function<void()> work) {
    Events.push({Now + span, ++LastOrder, std::move(work)});
  }
  Time clockOf(const Router &it) const { return Now + it.ClockOffset; }
  /// Runs `work` at a router after a delay and the end of its freeze, or never.
  void deliver(std::size_t to, std::function<void()> work) {
    if (fails()) {
      return;
    }
    const Time at = std::max(Now + delay(), Routers[to]->FrozenUntil);
    after(at - Now, std::move(work));
  }

  void change() {
    ChangeTimes.push_back(Now);
    const std::uint64_t revision = ChangeTimes.size();
    for (std::size_t i = 0; i < Routers.size(); ++i) {
      Router &it = *Routers[i];
      if (it.Sharing.watchesStore(it.CurrentAsOf, clockOf(it))) {
        deliver(i, [this, i, revision] { learn(i, revision); });
      }
    }
    if (Faults) {
      Routers[static_cast<std::size_t>(
                  draw(0, static_cast<std::int64_t>(Routers.size()) - 1))]
          ->FrozenUntil = Now + milliseconds(draw(0, 4'000));
    }
    after(milliseconds(draw(10, 2'000)), [this] { change(); });
  }

  /// A watch or a relay brings the change after the ones that are known.
  void learn(std::size_t i, std::uint64_t revision) {
    Router &it = *Routers[i];
    if (it.Known + 1 != revision) {
      return;
    }
    it.Known = revision;
    for (std::size_t j = 0; j < Routers.size(); ++j) {
      if (j != i) {
        deliver(j, [this, j, revision] {
          if (Routers[j]->Known + 1 == revision) {
            Routers[j]->Known = revision;
          }
        });
      }
    }
  }

  void check(std::size_t i) {
    Router &it = *Routers[i];
    after(std::max<Duration>(milliseconds(200), it.FrozenUntil - Now),
          [this, i] { check(i); });
    const bool due = clockOf(it) >= it.NextCheck;
    if (Now < it.FrozenUntil || !due ||
        !it.Sharing.readsStore(it.CurrentAsOf, clockOf(it))) {
      return;
    }
    it.NextCheck = clockOf(it) + milliseconds(800);
    const std::vector<StampEcho> stamps = it.Sharing.stamps();
    const Time sentAt = clockOf(it);
    readStore(i, [this, i, stamps, sentAt](std::uint64_t revision) {
      Router &reader = *Routers[i];
      // Stands for the watch or listing that follows a check.
      reader.Known = std::max(reader.Known, revision);
      reader.CurrentAsOf =
          std::max(reader.CurrentAsOf.value_or(sentAt), sentAt);
      const StoreProof proof{StoreRevision{revision}, Duration{0}, stamps};
      for (std::size_t j = 0; j < Routers.size(); ++j) {
        if (j != i) {
          deliver(j, [this, i, j, proof] { receiveProof(i, j, proof); });
        }
      }
    });
  }

  void readStore(std::size_t i, std::function<void(std::uint64_t)> work) {
    ++Calls;
    if (fails()) {
      return;
    }
    after(delay(), [this, i, work = std::move(work)] {
      const std::uint64_t revision = ChangeTimes.size();
      deliver(i, [work, revision] { work(revision); });
    });
  }

  void receiveProof(std::size_t from, std::size_t to, const StoreProof &proof) {
    Router &it = *Routers[to];
    const std::optional<Time> knownAsOf =
        it.Sharing.recordProof(instance(from).Host, proof, clockOf(it));
    const Time stamp = clockOf(it);
    deliver(from, [this, from, to, stamp] {
      Routers[from]->Sharing.recordStamp(instance(to), stamp);
    });
    if (!knownAsOf) {
      return;
    }
    if (it.Known >= proof.Revision.Value) {
      it.CurrentAsOf =
          std::max(it.CurrentAsOf.value_or(*knownAsOf), *knownAsOf);
      return;
    }
    readStore(to, [&it](std::uint64_t revision) {
      it.Known = std::max(it.Known, revision);
    });
  }

  /// Every change made before `CurrentAsOf` must be known.
  void verify() {
    for (const std::unique_ptr<Router> &it : Routers) {
      if (!it->CurrentAsOf) {
        continue;
      }
      const Time asOf = *it->CurrentAsOf - it->ClockOffset;
      const bool unknownChange =
          it->Known < ChangeTimes.size() && ChangeTimes[it->Known] < asOf;
      Violations += unknownChange ? 1 : 0;
      if (it->FrozenUntil <= Now && Now > Time(std::chrono::seconds(5))) {
        OldestKnowledge = std::max<Duration>(OldestKnowledge, Now - asOf);
      }
    }
  }

  bool Faults;
  std::mt19937 Random;
  Time Now{};
  std::uint64_t LastOrder = 0;
  std::priority_queue<Event> Events;
  std::vector<std::unique_ptr<Router>> Routers;
  /// Time of each change; the revision of a change is its index plus one.
  std::vector<Time> ChangeTimes;
};

TEST_CASE("store_sharing_any_faults_never_prove_what_is_unknown") {
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    SharingSimulation simulation(17, seed, true);
    simulation.run(std::chrono::seconds(60));
    CHECK(simulation.Violations == 0);
  }
}

// Eighteen groups of 17 routers are a fleet of 306.
TEST_CASE("store_sharing_calm_group_makes_few_calls_and_stays_current") {
  SharingSimulation simulation(17, 5, false);
  simulation.run(std::chrono::seconds(10));
  const std::uint64_t before = simulation.Calls;
  simulation.run(std::chrono::seconds(60));
  const double callsPerRouter =
      static_cast<double>(simulation.Calls - before) / 60 / 17;
  // Two readers check each 0.8 s; the relays bring most changes.
  CHECK(callsPerRouter < 0.2);
  CHECK(simulation.OldestKnowledge <= StoreSharingPolicy().MaxProofAge);
}

} // namespace nutmegsill::routing
