#include "store_follower.h"

#include "log.h"
#include "spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using namespace routing;

namespace {

/// Longest time of a call to the store; it answers in milliseconds.
constexpr milliseconds StoreTimeout{700};
/// Changes are collected for this long before the next watch, for each router
/// of the fleet: every change ends one watch of every router.
constexpr milliseconds WatchPausePerRouter{10};
/// A configuration must be in force 2 s after it was accepted.
constexpr milliseconds LongestWatchPause{750};
/// Longest wait of other parts for the follower: it may fail alone.
constexpr milliseconds LongestHold{1'500};
constexpr milliseconds HoldStep{50};
constexpr milliseconds ExpiryInterval{200};

} // namespace

asio::awaitable<void> pauseFor(asio::io_context &io, Duration span) {
  boost::system::error_code ec;
  asio::steady_timer timer(io, span);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

StoreFollower::StoreFollower(asio::io_context &io, const HostId &self,
                             Endpoint store, Metrics &metrics,
                             SharedState &shared, StoreLink link)
    : Io(io), Counters(metrics), Shared(shared),
      Store(std::move(store), StoreTimeout), Link(std::move(link)),
      State(self, {}) {}

std::unique_ptr<StoreFollower>
StoreFollower::create(asio::io_context &io, const HostId &self, Endpoint store,
                      Metrics &metrics, SharedState &shared,
                      std::string &reason) {
  std::optional<StoreLink> link = StoreLink::create({}, reason);
  if (!link) {
    return nullptr;
  }
  return std::unique_ptr<StoreFollower>(new StoreFollower(
      io, self, std::move(store), metrics, shared, std::move(*link)));
}

void StoreFollower::start(ViewChanged changed) {
  OnChange = std::move(changed);
  spawn(Io, follow());
  spawn(Io, check());
  spawn(Io, expire());
}

void StoreFollower::noteOutcome(
    const char *call, const std::optional<platform::StoreFailure> &failure,
    const std::string &reason) {
  Counters.platformCall(call,
                        failure ? platform::storeFailureName(*failure) : "ok");
  if (!failure) {
    State.recordStoreSuccess(bootNow());
    return;
  }
  logLine("store", "call_failed",
          {{"call", call},
           {"failure", platform::storeFailureName(*failure)},
           {"reason", reason}});
  const bool away = *failure == platform::StoreFailure::NoAnswer ||
                    *failure == platform::StoreFailure::Refused;
  if (away) {
    State.recordStoreFailure(bootNow());
  }
}

asio::awaitable<void> StoreFollower::untilReachable() {
  const Time end = bootNow() + LongestHold;
  while (Link.isFailing() && bootNow() < end) {
    co_await pauseFor(Io, HoldStep);
  }
}

asio::awaitable<void> StoreFollower::follow() {
  for (;;) {
    const StoreCall call = Link.nextCall();
    if (const BackoffCall *it = std::get_if<BackoffCall>(&call)) {
      co_await pauseFor(Io, it->Delay);
    } else if (const WatchCall *it = std::get_if<WatchCall>(&call)) {
      co_await watch(*it);
    } else {
      co_await list();
    }
    publish();
  }
}

asio::awaitable<void> StoreFollower::list() {
  const Time sentAt = bootNow();
  std::vector<StoreUpdate> facts;
  std::optional<StoreRevision> at;
  std::string after;
  for (bool more = true; more;) {
    platform::StoreResult<platform::ItemsPage> page =
        co_await Store.listPage(after);
    noteCall("list", page);
    if (!page.Ok) {
      Link.recordFailure();
      co_return;
    }
    // Pages are read one after the other; watching from the first revision
    // repeats whatever changed meanwhile.
    at = at.value_or(page.Ok->Revision);
    for (StoreUpdate &fact : page.Ok->Updates) {
      facts.push_back(std::move(fact));
    }
    more = page.Ok->HasMore && page.Ok->LastKey > after;
    after = page.Ok->LastKey;
  }
  // A change that arrived meanwhile is newer than the pages.
  if (*at >= Link.revision()) {
    State.applyListing(facts, bootNow());
  }
  Link.recordListing(*at, sentAt);
}

Duration StoreFollower::watchPause() const {
  const std::size_t routers = View ? View->Routers.size() : 1;
  return std::min<Duration>(LongestWatchPause, WatchPausePerRouter * routers);
}

asio::awaitable<void> StoreFollower::watch(WatchCall call) {
  platform::StoreResult<platform::StoreChanges> changes =
      co_await Store.watch(call.AfterRevision, call.MaxWait, Link.policy().ResponseMargin);
  noteCall("watch", changes);
  if (!changes.Ok) {
    if (changes.Failure == platform::StoreFailure::HistoryGone) {
      Link.recordHistoryGone();
    } else {
      Link.recordFailure();
    }
    co_return;
  }
  if (Link.revision() > call.AfterRevision) {
    // A listing overtook this answer.
    co_return;
  }
  const bool events = !changes.Ok->Updates.empty();
  Link.recordWatch(changes.Ok->Revision);
  for (const StoreUpdate &fact : changes.Ok->Updates) {
    State.applyUpdate(fact, bootNow());
  }
  if (events) {
    publish();
    co_await pauseFor(Io, watchPause());
  }
}

asio::awaitable<void> StoreFollower::check() {
  for (;;) {
    co_await pauseFor(Io, Link.policy().RevisionCheckInterval);
    if (Link.currentAsOf()) {
      co_await checkOnce();
      publish();
    }
  }
}

asio::awaitable<void> StoreFollower::checkOnce() {
  Duration retry = Link.policy().InitialBackoff;
  for (;;) {
    const Time sentAt = bootNow();
    const platform::StoreResult<StoreRevision> at =
        co_await Store.readRevision();
    noteCall("check", at);
    if (!at.Ok) {
      co_await pauseFor(Io, retry);
      retry = std::min(Link.policy().MaxBackoff, retry * 2);
      co_await untilReachable();
      continue;
    }
    if (Link.confirmRevision(*at.Ok, sentAt)) {
      co_return;
    }
    // The change may still wait for the next watch.
    co_await pauseFor(Io, Link.policy().WatchLagTolerance + watchPause());
    if (!Link.confirmRevision(*at.Ok, sentAt)) {
      logLine("store", "change_missed",
              {{"known", std::to_string(Link.revision().Value)},
               {"store", std::to_string(at.Ok->Value)}});
      co_await list();
    }
    co_return;
  }
}

asio::awaitable<void> StoreFollower::expire() {
  for (;;) {
    co_await pauseFor(Io, ExpiryInterval);
    if (State.expire(bootNow())) {
      publish();
    }
  }
}

void StoreFollower::publish() {
  for (const FleetChange &it : State.takeChanges()) {
    Counters.decision(it.Event);
    logLine("belief", it.Event, it.Fields);
  }
  if (Link.currentAsOf()) {
    Shared.setProvenAt(*Link.currentAsOf());
  }
  if (!State.isComplete()) {
    return;
  }
  std::shared_ptr<const FleetView> fresh = State.view();
  if (fresh == View) {
    return;
  }
  View = fresh;
  OnChange(View);
  Shared.setView(std::move(fresh));
}

} // namespace nutmegsill::gateway
