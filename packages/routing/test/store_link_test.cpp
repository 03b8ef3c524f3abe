#include "nutmegsill/routing/store_link.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

class StoreLinkFixture {
protected:
  StoreLinkFixture() {
    std::string reason;
    std::optional<StoreLink> link = StoreLink::create({}, reason);
    REQUIRE(link);
    Link = std::move(link);
  }
  static Time at(std::int64_t ms) { return Time(milliseconds(ms)); }
  std::optional<StoreLink> Link;
};

TEST_CASE_METHOD(StoreLinkFixture, "store_link_start_lists_then_watches") {
  CHECK(std::holds_alternative<ListCall>(Link->nextCall()));
  Link->recordListing(StoreRevision{7}, at(100));
  const StoreCall call = Link->nextCall();
  REQUIRE(std::holds_alternative<WatchCall>(call));
  CHECK(std::get<WatchCall>(call).AfterRevision == StoreRevision{7});
  CHECK(Link->currentAsOf() == at(100));
}

TEST_CASE_METHOD(StoreLinkFixture, "store_link_history_gone_lists_again") {
  Link->recordListing(StoreRevision{7}, at(0));
  Link->recordHistoryGone();
  CHECK(std::holds_alternative<ListCall>(Link->nextCall()));
}

// Guards against a watch with the full wait after a failure: one that was sent
// while the store did not respond delayed a configuration until 2.6 s after the
// store had recovered (hunt 9d4a, trouble-3, seed 631637740310).
TEST_CASE_METHOD(StoreLinkFixture,
                 "store_link_after_failure_backs_off_and_probes") {
  Link->recordListing(StoreRevision{7}, at(0));
  Link->recordFailure();
  CHECK(std::holds_alternative<BackoffCall>(Link->nextCall()));
  const StoreCall call = Link->nextCall();
  REQUIRE(std::holds_alternative<WatchCall>(call));
  CHECK(std::get<WatchCall>(call).MaxWait == Link->policy().MaxProbeWait);
  Link->recordWatch(StoreRevision{7});
  const StoreCall nextCall = Link->nextCall();
  REQUIRE(std::holds_alternative<WatchCall>(nextCall));
  CHECK(std::get<WatchCall>(nextCall).MaxWait == Link->policy().MaxWatchWait);
}

// Guards against treating an idle watch as proof that nothing changed: a watch
// stayed silent for three seconds during two key revocations (scale-1 of tvh).
// Replaces a test that took an idle watch as such proof.
TEST_CASE_METHOD(StoreLinkFixture,
                 "store_link_watch_alone_does_not_advance_current_as_of") {
  Link->recordListing(StoreRevision{7}, at(0));
  Link->recordWatch(StoreRevision{9});
  CHECK(Link->currentAsOf() == at(0));
  CHECK_FALSE(Link->confirmRevision(StoreRevision{10}, at(1'000)));
  CHECK(Link->currentAsOf() == at(0));
  CHECK(Link->confirmRevision(StoreRevision{9}, at(1'000)));
  CHECK(Link->currentAsOf() == at(1'000));
  CHECK(Link->confirmRevision(StoreRevision{9}, at(500)));
  CHECK(Link->currentAsOf() == at(1'000));
}

TEST_CASE_METHOD(StoreLinkFixture,
                 "store_link_repeated_failures_increase_backoff") {
  Link->recordListing(StoreRevision{7}, at(0));
  Duration last{0};
  for (int i = 0; i < 6; ++i) {
    Link->recordFailure();
    const StoreCall call = Link->nextCall();
    REQUIRE(std::holds_alternative<BackoffCall>(call));
    CHECK(std::get<BackoffCall>(call).Delay >= last);
    last = std::get<BackoffCall>(call).Delay;
    CHECK(std::holds_alternative<WatchCall>(Link->nextCall()));
  }
  CHECK(last == Link->policy().MaxBackoff);
}

// Guards against a store at a lower revision that counts as unchanged.
TEST_CASE_METHOD(StoreLinkFixture,
                 "store_link_lower_revision_of_later_era_is_newer") {
  Link->recordListing({26, StoreEra{1}}, at(0));
  CHECK_FALSE(Link->confirmRevision({20, StoreEra{2}}, at(1'000)));
  CHECK(Link->currentAsOf() == at(0));
  Link->recordHistoryGone();
  Link->recordListing({20, StoreEra{2}}, at(1'100));
  CHECK(Link->revision() == StoreRevision{20, StoreEra{2}});
  CHECK(Link->confirmRevision({20, StoreEra{2}}, at(1'200)));
  CHECK_FALSE(Link->confirmRevision({21, StoreEra{2}}, at(1'300)));
}

TEST_CASE_METHOD(StoreLinkFixture,
                 "store_link_late_response_of_earlier_era_changes_nothing") {
  Link->recordListing({20, StoreEra{2}}, at(0));
  Link->recordWatch({27, StoreEra{1}});
  CHECK(Link->revision() == StoreRevision{20, StoreEra{2}});
  Link->recordListing({27, StoreEra{1}}, at(10));
  CHECK(Link->revision() == StoreRevision{20, StoreEra{2}});
}

TEST_CASE_METHOD(StoreLinkFixture,
                 "store_link_relayed_changes_of_another_era_are_refused") {
  Link->recordListing({26, StoreEra{1}}, at(0));
  CHECK_FALSE(Link->recordRelayed({20, StoreEra{2}}, {21, StoreEra{2}}));
  CHECK_FALSE(Link->recordRelayed({26, StoreEra{1}}, {27, StoreEra{2}}));
  CHECK(Link->recordRelayed({26, StoreEra{1}}, {27, StoreEra{1}}));
}

// Guards against a pause of up to 2 s before a restored store is listed.
TEST_CASE_METHOD(StoreLinkFixture,
                 "store_link_history_gone_after_failures_lists_at_once") {
  Link->recordListing({26, StoreEra{1}}, at(0));
  Link->recordFailure();
  Link->nextCall();
  Link->nextCall();
  Link->recordHistoryGone();
  CHECK(std::holds_alternative<ListCall>(Link->nextCall()));
}

} // namespace nutmegsill::routing
