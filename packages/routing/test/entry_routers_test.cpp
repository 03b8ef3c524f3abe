#include "nutmegsill/routing/entry_routers.h"
#include "nutmegsill/routing/host_overload.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

class EntryRoutersFixture {
protected:
  /// Adds `count` routers "ZONE-N" whose addresses equal their names.
  void add(const std::string &zone, std::size_t count, double share) {
    for (std::size_t i = 0; i < count; ++i) {
      RouterEntry entry;
      entry.Host = HostId{zone + "-" + std::to_string(Routers.size())};
      entry.Zone = ZoneId{zone};
      entry.CallerAddress = entry.Host.Text;
      entry.ProcessorShare = share;
      Routers.push_back(entry);
    }
  }
  std::vector<std::string> addresses(const std::string &zone) const {
    return entryAddresses(Routers, ZoneId{zone}, [this](const RouterEntry &it) {
      return RouterHealth{Silent.count(it.Host.Text) == 0,
                          Overloaded.count(it.Host.Text) != 0};
    });
  }

  std::vector<RouterEntry> Routers;
  std::set<std::string> Silent;
  std::set<std::string> Overloaded;
};

TEST_CASE_METHOD(EntryRoutersFixture,
                 "entry_routers_equal_hosts_are_all_preferred") {
  add("a", 3, 0.25);
  add("b", 3, 0.25);
  CHECK(preferredRouters(Routers).size() == 6);
  CHECK(addresses("a").size() == 3);
}

TEST_CASE_METHOD(EntryRoutersFixture,
                 "entry_routers_large_hosts_are_preferred_to_small_ones") {
  add("a", 3, 0.5);
  add("b", 3, 0.5);
  add("a", 57, 0.12);
  add("b", 55, 0.12);
  CHECK(preferredRouters(Routers).size() == 6);
  CHECK(addresses("a") == std::vector<std::string>{"a-0", "a-1", "a-2"});
}

TEST_CASE_METHOD(EntryRoutersFixture,
                 "entry_routers_too_few_large_hosts_take_small_ones_along") {
  add("a", 1, 0.5);
  add("a", 57, 0.12);
  CHECK(preferredRouters(Routers).size() == 58);
}

TEST_CASE_METHOD(EntryRoutersFixture,
                 "entry_routers_silent_hosts_are_replaced_by_next_group") {
  add("a", 3, 0.5);
  add("b", 3, 0.5);
  add("a", 10, 0.12);
  Silent = {"a-0"};
  CHECK(addresses("a") == std::vector<std::string>{"a-1", "a-2"});
  Silent = {"a-0", "a-1"};
  CHECK(addresses("a") == std::vector<std::string>{"a-2", "b-3", "b-4", "b-5"});
  Silent = {"a-0", "a-1", "a-2", "b-3", "b-4", "b-5"};
  CHECK(addresses("a").size() == 10);
}

TEST_CASE_METHOD(EntryRoutersFixture, "entry_routers_all_silent_lists_all") {
  add("a", 2, 0.25);
  Silent = {"a-0", "a-1"};
  CHECK(addresses("a").size() == 2);
}

TEST_CASE_METHOD(EntryRoutersFixture,
                 "entry_routers_overloaded_zone_uses_other_zones_then_small") {
  add("a", 3, 0.5);
  add("b", 3, 0.5);
  add("a", 10, 0.12);
  Overloaded = {"a-0"};
  CHECK(addresses("a").size() == 3);
  Overloaded = {"a-0", "a-1"};
  CHECK(addresses("a").size() == 6);
  Overloaded = {"a-0", "a-1", "b-3", "b-4"};
  CHECK(addresses("a").size() == 13);
}

class HostOverloadFixture {
protected:
  /// Records `lag` each 100 ms for `span`.
  void record(Duration lag, Duration span) {
    for (Duration passed{0}; passed < span; passed += milliseconds(100)) {
      Now += milliseconds(100);
      Overload.recordLag(lag, Now);
    }
  }
  HostOverload Overload{HostOverloadPolicy()};
  Time Now{};
};

TEST_CASE_METHOD(HostOverloadFixture, "host_overload_one_long_step_is_none") {
  record(milliseconds(2), std::chrono::seconds(2));
  record(milliseconds(5'000), milliseconds(100));
  CHECK_FALSE(Overload.isOverloaded());
  record(milliseconds(2), std::chrono::seconds(1));
  CHECK_FALSE(Overload.isOverloaded());
}

TEST_CASE_METHOD(HostOverloadFixture,
                 "host_overload_processor_quota_pauses_are_none") {
  record(milliseconds(95), std::chrono::seconds(5));
  CHECK_FALSE(Overload.isOverloaded());
}

TEST_CASE_METHOD(HostOverloadFixture,
                 "host_overload_standing_lag_lasts_until_it_drains") {
  record(milliseconds(200), milliseconds(400));
  CHECK_FALSE(Overload.isOverloaded());
  record(milliseconds(200), milliseconds(400));
  CHECK(Overload.isOverloaded());
  record(milliseconds(20), milliseconds(100));
  CHECK_FALSE(Overload.isOverloaded());
}

TEST_CASE("host_overload_retry_after_is_spread") {
  std::set<std::int64_t> tenths;
  for (int i = 0; i < 200; ++i) {
    const Duration pause = overloadRetryAfter("request-" + std::to_string(i));
    CHECK(pause >= std::chrono::seconds(1));
    CHECK(pause < std::chrono::seconds(2));
    tenths.insert(toMilliseconds(pause) / 100);
  }
  CHECK(tenths.size() == 10);
}

} // namespace nutmegsill::routing
