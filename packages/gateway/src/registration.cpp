#include "registration.h"

#include "log.h"
#include "spawn.h"

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using routing::StoreRevision;

namespace {

/// TTL of this router's registration. Callers must not be sent to a dead router
/// for longer than the contact bound plus three seconds (DRAIN).
constexpr milliseconds RegistrationTtl{4'000};
constexpr milliseconds LeaseRenewalInterval{1'300};
constexpr milliseconds InitialBackoff{250};
constexpr milliseconds MaxBackoff{500};
constexpr int LeaseEndAttempts = 4;

} // namespace

Registration::Registration(asio::io_context &io, StoreWatcher &watcher,
                           routing::RouterEntry ownEntry,
                           milliseconds minLeaseTtl)
    : Io(io), Watcher(watcher), OwnEntry(std::move(ownEntry)),
      LeaseTtl(std::max(RegistrationTtl, minLeaseTtl)) {}

void Registration::start() { spawn(Io, keepRegistered()); }

void Registration::stop() {
  Stopped = true;
  spawn(Io, endLease());
}

asio::awaitable<void> Registration::keepRegistered() {
  Duration backoff = InitialBackoff;
  while (!Stopped) {
    if (!Watcher.isComplete()) {
      co_await sleepFor(Io, InitialBackoff);
      continue;
    }
    if (HeldLease && HeldLease->Era != Watcher.store().era()) {
      forgetLease("store_restored");
    }
    bool registered = false;
    if (HeldLease) {
      registered = co_await renewLease();
    } else {
      registered = co_await registerRouter();
    }
    co_await sleepFor(Io,
                      registered ? Duration(LeaseRenewalInterval) : backoff);
    if (registered) {
      backoff = InitialBackoff;
    } else {
      backoff = std::min<Duration>(MaxBackoff, backoff * 2);
      co_await Watcher.waitUntilReachable();
    }
  }
}

asio::awaitable<bool> Registration::registerRouter() {
  platform::StoreResult<platform::Lease> lease =
      co_await Watcher.store().grantLease(LeaseTtl);
  Watcher.recordCall("grant_lease", lease);
  if (!lease.Ok) {
    co_return false;
  }
  StoreRevision currentRevision;
  platform::StoreResult<StoreRevision> put = co_await Watcher.store().putRouter(
      OwnEntry, lease.Ok->Id, EntryRevision, currentRevision);
  Watcher.recordCall("register", put);
  if (!put.Ok && put.Failure == platform::StoreFailure::Conflict) {
    EntryRevision = currentRevision;
    put = co_await Watcher.store().putRouter(OwnEntry, lease.Ok->Id,
                                             EntryRevision, currentRevision);
    Watcher.recordCall("register", put);
  }
  if (!put.Ok) {
    // The entry may have been written although no response arrived; the next
    // attempt gets its revision from the conflict.
    co_return false;
  }
  if (put.Ok->Era != lease.Ok->Era) {
    // The entry may be bound to a lease of another router.
    co_return false;
  }
  HeldLease = lease.Ok;
  EntryRevision = *put.Ok;
  logLine("registration", "registered",
          {{"revision", std::to_string(EntryRevision.Value)}});
  co_return true;
}

asio::awaitable<bool> Registration::renewLease() {
  platform::StoreResult<platform::Lease> renewed =
      co_await Watcher.store().renewLease(HeldLease->Id);
  Watcher.recordCall("keep_lease", renewed);
  if (!renewed.Ok && renewed.Failure == platform::StoreFailure::NoLease) {
    forgetLease("lease_ended");
    co_return false;
  }
  if (renewed.Ok && renewed.Ok->Era != HeldLease->Era) {
    forgetLease("store_restored");
    co_return co_await registerRouter();
  }
  co_return renewed.Ok.has_value();
}

void Registration::forgetLease(const char *cause) {
  logLine("registration", cause, {});
  HeldLease.reset();
  EntryRevision = StoreRevision{};
}

asio::awaitable<void> Registration::endLease() {
  for (int i = 0; i < LeaseEndAttempts && HeldLease; ++i) {
    if (HeldLease->Era != Watcher.store().era()) {
      co_return;
    }
    platform::StoreResult<platform::LeaseId> ended =
        co_await Watcher.store().endLease(HeldLease->Id);
    Watcher.recordCall("end_lease", ended);
    if (ended.Ok) {
      HeldLease.reset();
    } else {
      co_await sleepFor(Io, InitialBackoff);
    }
  }
}

} // namespace nutmegsill::gateway
