#include "store_watcher.h"

#include "log.h"
#include "nutmegsill/platform/items.h"
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
/// during the delay, since every change ends one watch of every group.
constexpr milliseconds WatchDelayPerRouter{20};
/// Upper bound of that delay: a configuration must be applied within 2 s of its
/// acceptance, also by routers that get it after the next proof.
constexpr milliseconds MaxWatchDelay{500};
/// Longest time that other components wait while the watcher's calls fail:
/// their own calls may succeed.
constexpr milliseconds MaxReachabilityWait{1'500};
constexpr milliseconds ReachabilityPollInterval{50};
constexpr milliseconds ExpiryInterval{200};
/// Interval at which a router looks whether it has to read the store.
constexpr milliseconds RoleCheckInterval{200};
/// Changes with more bytes than this are not relayed; each router reads them
/// from the store, which has the larger link.
constexpr std::size_t MaxRelayedBytes = 64U << 10U;

} // namespace

asio::awaitable<void> sleepFor(asio::io_context &io, Duration duration) {
  boost::system::error_code ec;
  asio::steady_timer timer(io, duration);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

StoreWatcher::StoreWatcher(asio::io_context &io, const Instance &self,
                           Endpoint store, Metrics &metrics,
                           SharedState &shared, StoreLink link)
    : Io(io), Counters(metrics), Shared(shared),
      Store(std::move(store), StoreCallTimeout), Link(std::move(link)),
      State(self.Host, {}), Sharing(self, {}),
      Random(static_cast<std::uint32_t>(self.Incarnation.Value) | 1U) {}

std::unique_ptr<StoreWatcher>
StoreWatcher::create(asio::io_context &io, const Instance &self, Endpoint store,
                     Metrics &metrics, SharedState &shared,
                     std::string &reason) {
  std::optional<StoreLink> link = StoreLink::create({}, reason);
  if (!link) {
    return nullptr;
  }
  return std::unique_ptr<StoreWatcher>(new StoreWatcher(
      io, self, std::move(store), metrics, shared, std::move(*link)));
}

void StoreWatcher::start(StoreWatcherHandlers handlers) {
  Handlers = std::move(handlers);
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
  // A store that other routers have just read turns away only this one.
  if (unavailable && readsStore()) {
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
  std::string lastRole;
  for (;;) {
    const std::string role = watchesStore() ? "watching"
                             : readsStore() ? "checking"
                                            : "following";
    if (role != lastRole) {
      logLine("store", role,
              {{"known", std::to_string(Link.revision().Value)}});
      lastRole = role;
    }
    if (!watchesStore()) {
      co_await sleepFor(Io, RoleCheckInterval);
      continue;
    }
    const StoreCall call = Link.nextCall();
    if (const BackoffCall *it = std::get_if<BackoffCall>(&call)) {
      co_await sleepFor(Io, failureDelay(it->Delay));
    } else if (const WatchCall *it = std::get_if<WatchCall>(&call)) {
      const bool hasChanges = co_await watchChanges(*it);
      publishView();
      if (hasChanges) {
        co_await sleepFor(Io, watchDelay());
      }
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
    if (page.Ok->Revision.Era != revision->Era) {
      Link.recordFailure();
      co_return;
    }
    for (StoreUpdate &update : page.Ok->Updates) {
      updates.push_back(std::move(update));
    }
    hasMore = page.Ok->HasMore;
    afterKey = page.Ok->LastKey;
  }
  // Changes that a watch has returned since the first page are newer than the
  // listing.
  if (State.isComplete() && revision->Era > Link.revision().Era) {
    logLine("store", "restored",
            {{"known", std::to_string(Link.revision().Value)},
             {"store", std::to_string(revision->Value)},
             {"era", std::to_string(revision->Era.Value)}});
    State.applyRestoredListing(updates, bootTimeNow());
  } else if (*revision >= Link.revision()) {
    State.applyListing(updates, bootTimeNow());
  }
  Link.recordListing(*revision, sentAt);
}

Duration StoreWatcher::watchDelay() const {
  const std::size_t routers = View ? View->Routers.size() : 1;
  return std::min<Duration>(MaxWatchDelay, WatchDelayPerRouter * routers);
}

Duration StoreWatcher::failureDelay(Duration backoff) {
  if (Sharing.isPrimaryReader()) {
    return backoff;
  }
  const Duration base = Link.policy().StandInBackoff;
  std::uniform_int_distribution<std::int64_t> extra(0, base.count());
  return base + Duration(extra(Random));
}

/// Returns whether there were changes.
asio::awaitable<bool> StoreWatcher::watchChanges(WatchCall call) {
  platform::StoreResult<platform::StoreChanges> changes = co_await Store.watch(
      call.AfterRevision, call.MaxWait, Link.policy().ResponseMargin);
  recordCall("watch", changes);
  if (!changes.Ok) {
    if (changes.Failure == platform::StoreFailure::HistoryGone) {
      Link.recordHistoryGone();
    } else {
      Link.recordFailure();
    }
    co_return false;
  }
  const bool outdated = Link.revision() >= changes.Ok->Revision;
  Link.recordWatch(changes.Ok->Revision);
  if (outdated || changes.Ok->Items.empty()) {
    co_return false;
  }
  // If a listing or a relay has advanced the revision since, some changes are
  // applied again; the last of each item still comes last.
  applyItems(changes.Ok->Items);
  if (watchesStore()) {
    relay({call.AfterRevision, changes.Ok->Revision,
           State.outageGrace(bootTimeNow()), std::move(changes.Ok->Items)});
  }
  co_return true;
}

void StoreWatcher::applyItems(const std::vector<StoredItem> &items) {
  for (const StoredItem &it : items) {
    State.applyUpdate(platform::decodeItem(it.Key, it.Value), bootTimeNow());
  }
}

void StoreWatcher::relay(RelayedChanges changes) const {
  std::size_t bytes = 0;
  for (const StoredItem &it : changes.Items) {
    bytes += it.Key.size() + (it.Value ? it.Value->size() : 0);
  }
  if (bytes <= MaxRelayedBytes) {
    Handlers.SendToGroup(PeerMessage(std::move(changes)));
  }
}

void StoreWatcher::receive(const Instance & /*from*/,
                           const RelayedChanges &changes) {
  const bool known = changes.Revision <= Link.revision();
  // Changes that are missing before these are read after the next proof.
  if (known || !Link.recordRelayed(changes.After, changes.Revision)) {
    return;
  }
  State.adoptOutageGrace(changes.OutageGrace, bootTimeNow());
  applyItems(changes.Items);
  publishView();
}

void StoreWatcher::receive(const Instance &from, const StoreProof &proof) {
  const Time now = bootTimeNow();
  const std::optional<Time> knownAsOf =
      Sharing.recordProof(from.Host, proof, now);
  Handlers.SendToPeer(from.Host, ClockStamp{now});
  // A proof of an earlier history proves nothing in the present one.
  if (!knownAsOf || proof.Revision.Era < Link.revision().Era) {
    return;
  }
  if (proof.Revision.Era == Link.revision().Era) {
    State.adoptOutageGrace(proof.OutageGrace, now);
  }
  if (Link.confirmRevision(proof.Revision, *knownAsOf)) {
    publishView();
  } else if (!CatchingUp && !readsStore()) {
    CatchingUp = true;
    spawn(Io, catchUp(proof.Revision, *knownAsOf));
  }
}

void StoreWatcher::receive(const Instance &from, const ClockStamp &stamp) {
  Sharing.recordStamp(from, stamp.Stamp);
}

/// Reads the changes up to `revision` that were not relayed.
asio::awaitable<void> StoreWatcher::catchUp(StoreRevision revision,
                                            Time knownAsOf) {
  logLine("store", "catching_up",
          {{"known", std::to_string(Link.revision().Value)},
           {"store", std::to_string(revision.Value)}});
  if (revision.Era == Link.revision().Era) {
    co_await watchChanges(
        WatchCall{Link.revision(), Link.policy().MaxProbeWait});
  }
  if (!Link.confirmRevision(revision, knownAsOf)) {
    co_await listItems();
  }
  CatchingUp = false;
  publishView();
}

asio::awaitable<void> StoreWatcher::runCheckLoop() {
  Time nextCheckAt = bootTimeNow();
  for (;;) {
    co_await sleepFor(Io, RoleCheckInterval);
    if (bootTimeNow() >= nextCheckAt && Link.currentAsOf() && readsStore()) {
      nextCheckAt = bootTimeNow() + Link.policy().RevisionCheckInterval;
      co_await checkForMissedChanges();
      publishView();
    }
  }
}

asio::awaitable<void> StoreWatcher::checkForMissedChanges() {
  Duration backoff = Link.policy().InitialBackoff;
  while (readsStore()) {
    // Taken before the read: the proof holds for the time of each stamp.
    StoreProof proof;
    proof.Stamps = Sharing.stamps();
    const Time sentAt = bootTimeNow();
    const platform::StoreResult<StoreRevision> revision =
        co_await Store.readRevision();
    recordCall("check", revision);
    if (!revision.Ok) {
      co_await sleepFor(Io, failureDelay(backoff));
      backoff = std::min(Link.policy().MaxBackoff, backoff * 2);
      co_await waitUntilReachable();
      continue;
    }
    proof.Revision = *revision.Ok;
    const bool restored = revision.Ok->Era > Link.revision().Era;
    if (!restored && !Link.confirmRevision(*revision.Ok, sentAt)) {
      // The change may still arrive with the next watch or its relay.
      co_await sleepFor(Io, Link.policy().WatchLagTolerance + watchDelay());
    }
    if (!restored && !Link.confirmRevision(*revision.Ok, sentAt) &&
        !watchesStore()) {
      co_await watchChanges(
          WatchCall{Link.revision(), Link.policy().MaxProbeWait});
    }
    if (!Link.confirmRevision(*revision.Ok, sentAt)) {
      logLine("store", "change_missed",
              {{"known", std::to_string(Link.revision().Value)},
               {"store", std::to_string(revision.Ok->Value)}});
      co_await listItems();
    }
    if (Link.confirmRevision(*revision.Ok, sentAt)) {
      proof.OutageGrace = State.outageGrace(bootTimeNow());
      Handlers.SendToGroup(PeerMessage(std::move(proof)));
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
  std::shared_ptr<const FleetView> newest =
      State.isComplete() ? State.view() : View;
  if (newest != View) {
    View = newest;
    Handlers.OnView(View);
    Shared.setView(std::move(newest));
  }
  // After the view: its age must not be taken for that of an earlier one.
  if (Link.currentAsOf()) {
    Shared.setCurrentAsOf(*Link.currentAsOf());
  }
}

} // namespace nutmegsill::gateway
