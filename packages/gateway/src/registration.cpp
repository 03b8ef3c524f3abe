#include "registration.h"

#include "log.h"
#include "spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

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

} // namespace

Registration::Registration(asio::io_context &io, StoreWatcher &watcher,
                           routing::RouterEntry ownEntry,
                           milliseconds minLeaseTtl)
    : Io(io), Watcher(watcher), OwnEntry(std::move(ownEntry)),
      LeaseTtl(std::max(RegistrationTtl, minLeaseTtl)), PauseTimer(io) {}

void Registration::start() { spawn(Io, keepRegistered()); }

void Registration::stop() {
  Stopped = true;
  PauseTimer.cancel();
}

asio::awaitable<void> Registration::pause(Duration duration) {
  if (Stopped) {
    co_return;
  }
  boost::system::error_code ec;
  PauseTimer.expires_after(duration);
  co_await PauseTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> Registration::keepRegistered() {
  Duration backoff = InitialBackoff;
  while (!Stopped) {
    if (!Watcher.isComplete()) {
      co_await pause(InitialBackoff);
      continue;
    }
    if (HeldLease && HeldLease->Era != Watcher.store().era()) {
      forgetLease("store_restored");
    }
    bool registered = co_await holdLease();
    if (registered && !EntryWritten && !Stopped) {
      registered = co_await writeEntry();
    }
    co_await pause(registered ? Duration(LeaseRenewalInterval) : backoff);
    if (registered) {
      backoff = InitialBackoff;
    } else {
      backoff = std::min<Duration>(MaxBackoff, backoff * 2);
      co_await Watcher.waitUntilReachable();
    }
  }
  co_await endLease();
}

/// Renews the lease, or has one granted.
asio::awaitable<bool> Registration::holdLease() {
  if (HeldLease) {
    const bool renewed = co_await renewLease();
    if (HeldLease || Stopped) {
      co_return renewed;
    }
  }
  platform::StoreResult<platform::Lease> lease =
      co_await Watcher.store().grantLease(LeaseTtl);
  Watcher.recordCall("grant_lease", lease);
  HeldLease = lease.Ok;
  co_return lease.Ok.has_value();
}

asio::awaitable<bool> Registration::writeEntry() {
  StoreRevision currentRevision;
  platform::StoreResult<StoreRevision> put = co_await Watcher.store().putRouter(
      OwnEntry, HeldLease->Id, EntryRevision, currentRevision);
  Watcher.recordCall("register", put);
  if (!put.Ok && put.Failure == platform::StoreFailure::Conflict) {
    EntryRevision = currentRevision;
    put = co_await Watcher.store().putRouter(OwnEntry, HeldLease->Id,
                                             EntryRevision, currentRevision);
    Watcher.recordCall("register", put);
  }
  if (!put.Ok) {
    // The entry may have been written although no response arrived; the next
    // attempt gets its revision from the conflict.
    if (put.Failure == platform::StoreFailure::NoLease) {
      forgetLease("lease_ended");
    }
    co_return false;
  }
  if (put.Ok->Era != HeldLease->Era) {
    // The entry may be bound to a lease of another router.
    HeldLease.reset();
    co_return false;
  }
  EntryWritten = true;
  EntryRevision = *put.Ok;
  logLine("registration", "registered",
          {{"revision", std::to_string(EntryRevision.Value)}});
  co_return true;
}

/// Forgets a lease that has ended.
asio::awaitable<bool> Registration::renewLease() {
  platform::StoreResult<platform::Lease> renewed =
      co_await Watcher.store().renewLease(HeldLease->Id);
  Watcher.recordCall("keep_lease", renewed);
  if (!renewed.Ok && renewed.Failure == platform::StoreFailure::NoLease) {
    forgetLease("lease_ended");
  } else if (renewed.Ok && renewed.Ok->Era != HeldLease->Era) {
    forgetLease("store_restored");
  }
  co_return renewed.Ok.has_value();
}

void Registration::forgetLease(const char *cause) {
  logLine("registration", cause, {});
  HeldLease.reset();
  EntryWritten = false;
  EntryRevision = StoreRevision{};
}

asio::awaitable<void> Registration::endLease() {
  while (HeldLease && HeldLease->Era == Watcher.store().era()) {
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
