#include "store_watcher.h"

#include "log.h"
#include "spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using namespace routing;

namespace {

/// Timeout of a call to the store, which responds within milliseconds.
constexpr milliseconds StoreCallTimeout{700};
/// Delay before the next watch, per router of the fleet. Changes are collected
/// during the delay, since every change ends one watch of every router.
constexpr milliseconds WatchDelayPerRouter{10};
/// Upper bound of that delay: a configuration must be applied within 2 s of its
/// acceptance.
constexpr milliseconds MaxWatchDelay{750};
/// Longest time that other components wait while the watcher's calls fail:
/// their own calls may succeed.
constexpr milliseconds MaxReachabilityWait{1'500};
constexpr milliseconds ReachabilityPollInterval{50};
constexpr milliseconds ExpiryInterval{200};

} // namespace

asio::awaitable<void> sleepFor(asio::io_context &io, Duration duration) {
  boost::system::error_code ec;
  asio::steady_timer timer(io, duration);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

StoreWatcher::StoreWatcher(asio::io_context &io, const HostId &self,
                           Endpoint store, Metrics &metrics,
                           SharedState &shared, StoreLink link)
    : Io(io), Counters(metrics), Shared(shared),
      Store(std::move(store), StoreCallTimeout), Link(std::move(link)),
      State(self, {}) {}

std::unique_ptr<StoreWatcher>
StoreWatcher::create(asio::io_context &io, const HostId &self, Endpoint store,
                     Metrics &metrics, SharedState &shared,
                     std::string &reason) {
  std::optional<StoreLink> link = StoreLink::create({}, reason);
  if (!link) {
    return nullptr;
  }
  return std::unique_ptr<StoreWatcher>(new StoreWatcher(
      io, self, std::move(store), metrics, shared, std::move(*link)));
}

void StoreWatcher::start(ViewHandler onChange) {
  OnViewChanged = std::move(onChange);
  spawn(Io, runWatchLoop());
  spawn(Io, runCheckLoop());
  spawn(Io, runExpiryLoop());
}

void StoreWatcher::recordOutcome(
    const char *call, const std::optional<platform::StoreFailure> &failure,
    const std::string &reason) {
  Counters.countPlatformCall(
      call, failure ? platform::storeFailureName(*failure) : "ok");
  if (!failure) {
    State.recordStoreSuccess(bootTimeNow());
    return;
  }
  logLine("store", "call_failed",
          {{"call", call},
           {"failure", platform::storeFailureName(*failure)},
           {"reason", reason}});
  const bool unavailable = *failure == platform::StoreFailure::NoAnswer ||
                           *failure == platform::StoreFailure::Refused;
  if (unavailable) {
    State.recordStoreFailure(bootTimeNow());
  }
}

asio::awaitable<void> StoreWatcher::waitUntilReachable() {
  const Time deadline = bootTimeNow() + MaxReachabilityWait;
  while (Link.isFailing() && bootTimeNow() < deadline) {
    co_await sleepFor(Io, ReachabilityPollInterval);
  }
}

asio::awaitable<void> StoreWatcher::runWatchLoop() {
  for (;;) {
    const StoreCall call = Link.nextCall();
    if (const BackoffCall *it = std::get_if<BackoffCall>(&call)) {
      co_await sleepFor(Io, it->Delay);
    } else if (const WatchCall *it = std::get_if<WatchCall>(&call)) {
      co_await watchChanges(*it);
    } else {
      co_await listItems();
    }
    publishView();
  }
}

asio::awaitable<void> StoreWatcher::listItems() {
  const Time sentAt = bootTimeNow();
  std::vector<StoreUpdate> updates;
  std::optional<StoreRevision> revision;
  std::string afterKey;
  for (bool hasMore = true; hasMore;) {
    platform::StoreResult<platform::ItemsPage> page =
        co_await Store.listPage(afterKey);
    recordCall("list", page);
    if (!page.Ok) {
      Link.recordFailure();
      co_return;
    }
    // Pages are read one after the other; a watch from the revision of the
    // first page returns all changes made while the others were read.
    revision = revision.value_or(page.Ok->Revision);
    for (StoreUpdate &update : page.Ok->Updates) {
      updates.push_back(std::move(update));
    }
    hasMore = page.Ok->HasMore && page.Ok->LastKey > afterKey;
    afterKey = page.Ok->LastKey;
  }
  // Changes that a watch has returned since the first page are newer than the
  // listing.
  if (*revision >= Link.revision()) {
    State.applyListing(updates, bootTimeNow());
  }
  Link.recordListing(*revision, sentAt);
}

Duration StoreWatcher::watchDelay() const {
  const std::size_t routers = View ? View->Routers.size() : 1;
  return std::min<Duration>(MaxWatchDelay, WatchDelayPerRouter * routers);
}

asio::awaitable<void> StoreWatcher::watchChanges(WatchCall call) {
  platform::StoreResult<platform::StoreChanges> changes = co_await Store.watch(
      call.AfterRevision, call.MaxWait, Link.policy().ResponseMargin);
  recordCall("watch", changes);
  if (!changes.Ok) {
    if (changes.Failure == platform::StoreFailure::HistoryGone) {
      Link.recordHistoryGone();
    } else {
      Link.recordFailure();
    }
    co_return;
  }
  if (Link.revision() > call.AfterRevision) {
    // A listing during this watch has advanced the revision; the next watch
    // returns the changes after it.
    co_return;
  }
  const bool hasChanges = !changes.Ok->Updates.empty();
  Link.recordWatch(changes.Ok->Revision);
  for (const StoreUpdate &update : changes.Ok->Updates) {
    State.applyUpdate(update, bootTimeNow());
  }
  if (hasChanges) {
    publishView();
    co_await sleepFor(Io, watchDelay());
  }
}

asio::awaitable<void> StoreWatcher::runCheckLoop() {
  for (;;) {
    co_await sleepFor(Io, Link.policy().RevisionCheckInterval);
    if (Link.currentAsOf()) {
      co_await checkForMissedChanges();
      publishView();
    }
  }
}

asio::awaitable<void> StoreWatcher::checkForMissedChanges() {
  Duration backoff = Link.policy().InitialBackoff;
  for (;;) {
    const Time sentAt = bootTimeNow();
    const platform::StoreResult<StoreRevision> revision =
        co_await Store.readRevision();
    recordCall("check", revision);
    if (!revision.Ok) {
      co_await sleepFor(Io, backoff);
      backoff = std::min(Link.policy().MaxBackoff, backoff * 2);
      co_await waitUntilReachable();
      continue;
    }
    if (Link.confirmRevision(*revision.Ok, sentAt)) {
      co_return;
    }
    // The change may still arrive with the next watch.
    co_await sleepFor(Io, Link.policy().WatchLagTolerance + watchDelay());
    if (!Link.confirmRevision(*revision.Ok, sentAt)) {
      logLine("store", "change_missed",
              {{"known", std::to_string(Link.revision().Value)},
               {"store", std::to_string(revision.Ok->Value)}});
      co_await listItems();
    }
    co_return;
  }
}

asio::awaitable<void> StoreWatcher::runExpiryLoop() {
  for (;;) {
    co_await sleepFor(Io, ExpiryInterval);
    if (State.expire(bootTimeNow())) {
      publishView();
    }
  }
}

void StoreWatcher::publishView() {
  for (const FleetChange &it : State.takeChanges()) {
    Counters.countFleetChange(it.Event);
    logLine("belief", it.Event, it.Fields);
  }
  if (Link.currentAsOf()) {
    Shared.setCurrentAsOf(*Link.currentAsOf());
  }
  if (!State.isComplete()) {
    return;
  }
  std::shared_ptr<const FleetView> newest = State.view();
  if (newest == View) {
    return;
  }
  View = newest;
  OnViewChanged(View);
  Shared.setView(std::move(newest));
}

} // namespace nutmegsill::gateway
