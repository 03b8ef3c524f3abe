#include "registration.h"

#include "log.h"
#include "spawn.h"

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using routing::StoreRevision;

namespace {

/// Life of this router's registration. Callers must not be sent to a dead
/// router for longer than the contact bound and three seconds (DRAIN).
constexpr milliseconds RegistrationLife{4'000};
constexpr milliseconds Renewal{1'300};
constexpr milliseconds FirstRetry{250};
constexpr milliseconds LastRetry{500};
constexpr int RemovalAttempts = 4;

} // namespace

Registration::Registration(asio::io_context &io, StoreFollower &follower,
                           routing::RouterEntry self,
                           milliseconds shortestLease)
    : Io(io), Follower(follower), Self(std::move(self)),
      LeaseLife(std::max(RegistrationLife, shortestLease)) {}

void Registration::start() { spawn(Io, stay()); }

void Registration::end() {
  Ended = true;
  spawn(Io, remove());
}

asio::awaitable<void> Registration::stay() {
  Duration retry = FirstRetry;
  while (!Ended) {
    if (!Follower.complete()) {
      co_await pauseFor(Io, FirstRetry);
      continue;
    }
    bool held = false;
    if (Held) {
      held = co_await renew();
    } else {
      held = co_await write();
    }
    co_await pauseFor(Io, held ? Duration(Renewal) : retry);
    if (held) {
      retry = FirstRetry;
    } else {
      retry = std::min<Duration>(LastRetry, retry * 2);
      co_await Follower.untilReachable();
    }
  }
}

asio::awaitable<bool> Registration::write() {
  platform::StoreResult<platform::Lease> lease =
      co_await Follower.store().grantLease(LeaseLife);
  Follower.noteCall("grant_lease", lease);
  if (!lease.Ok) {
    co_return false;
  }
  StoreRevision present;
  platform::StoreResult<StoreRevision> put =
      co_await Follower.store().putRouter(Self, lease.Ok->Id, Entry, present);
  Follower.noteCall("register", put);
  if (!put.Ok && put.Failure == platform::StoreFailure::Conflict) {
    Entry = present;
    put =
        co_await Follower.store().putRouter(Self, lease.Ok->Id, Entry, present);
    Follower.noteCall("register", put);
  }
  if (!put.Ok) {
    // The entry may have been written without an answer; the next attempt
    // finds it by its revision.
    co_return false;
  }
  Held = lease.Ok;
  Entry = *put.Ok;
  logLine("registration", "registered",
          {{"revision", std::to_string(Entry.Value)}});
  co_return true;
}

asio::awaitable<bool> Registration::renew() {
  platform::StoreResult<platform::Lease> kept =
      co_await Follower.store().renewLease(Held->Id);
  Follower.noteCall("keep_lease", kept);
  if (!kept.Ok && kept.Failure == platform::StoreFailure::NoLease) {
    logLine("registration", "lease_ended", {});
    Held.reset();
    Entry = StoreRevision{0};
  }
  co_return kept.Ok.has_value();
}

asio::awaitable<void> Registration::remove() {
  for (int i = 0; i < RemovalAttempts && Held; ++i) {
    platform::StoreResult<platform::LeaseId> ended =
        co_await Follower.store().endLease(Held->Id);
    Follower.noteCall("end_lease", ended);
    if (ended.Ok) {
      Held.reset();
    } else {
      co_await pauseFor(Io, FirstRetry);
    }
  }
}

} // namespace nutmegsill::gateway
