#include "connection_relay.h"

#include "clock.h"
#include "nutmegsill/http_client.h"
#include "relayed_connection.h"

#include <array>
#include <sys/epoll.h>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

/// Interval at which the later bytes of responses are collected: well under the
/// shortest bound for forwarding events, 120 ms.
constexpr milliseconds TickInterval{40};
constexpr std::chrono::seconds FlushInterval{1};
constexpr std::chrono::seconds DefaultStallTimeout{15};

/// Events that are handled at once.
constexpr std::size_t MaxEvents = 64;

} // namespace

TakeOverBytes encodeTakeOver(ConfigRevision revision) {
  TakeOverBytes out{};
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i] = static_cast<char>(revision.Value >> (8 * i));
  }
  return out;
}

ConfigRevision decodeTakeOver(const TakeOverBytes &bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]))
             << (8 * i);
  }
  return ConfigRevision{value};
}

ConnectionRelays::ConnectionRelays(asio::io_context &io,
                                   routing::Handover &handover,
                                   Metrics &metrics, std::size_t maxRelays,
                                   ServeHandler serveHere)
    : Io(io), Handover(handover), Counters(metrics), MaxRelays(maxRelays),
      ServeHere(std::move(serveHere)), Tick(io),
      StallTimeout(DefaultStallTimeout), Events(io) {}

ConnectionRelays::~ConnectionRelays() = default;

bool ConnectionRelays::isRelaying(Time now) {
  return Relays.size() < MaxRelays && Handover.isActive(now) &&
         Handover.hasPeer(now);
}

bool ConnectionRelays::take(int caller, Time now) {
  if (!isRelaying(now)) {
    return false;
  }
  if (!Events.is_open()) {
    Events.assign(::epoll_create1(EPOLL_CLOEXEC));
    awaitEvents();
  }
  Now = now;
  const std::optional<routing::Handover::Peer> peer = Handover.choosePeer(now);
  const std::optional<Endpoint> address =
      peer ? parseEndpoint(peer->Address) : std::nullopt;
  if (!address) {
    return false;
  }
  const std::shared_ptr<Relay> relay =
      std::make_shared<Relay>(*this, caller, peer->Host, now);
  if (!relay->connect(*address)) {
    Handover.recordFailure(peer->Host, now);
    relay->releaseCaller();
    return false;
  }
  Handover.recordRelayedConnection(now);
  ++NewRelays;
  Relays.insert(relay);
  if (!Ticking) {
    Ticking = true;
    runTick();
  }
  return true;
}

void ConnectionRelays::awaitEvents() {
  Events.async_wait(asio::posix::stream_descriptor::wait_read,
                    [this](boost::system::error_code ec) {
                      if (!ec) {
                        handleEvents();
                        awaitEvents();
                      }
                    });
}

void ConnectionRelays::handleEvents() {
  std::array<epoll_event, MaxEvents> events{};
  const int n = ::epoll_wait(Events.native_handle(), events.data(),
                             static_cast<int>(events.size()), 0);
  for (int i = 0; i < n; ++i) {
    const epoll_event &event = events[static_cast<std::size_t>(i)];
    Relay::Side &side = *static_cast<Relay::Side *>(event.data.ptr);
    side.Owner.handle(side, event.events);
  }
  Ended.clear();
}

void ConnectionRelays::runTick() {
  Tick.expires_after(TickInterval);
  Tick.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    Now = bootTimeNow();
    for (auto it = Relays.begin(); it != Relays.end();) {
      // The relay may end and remove itself.
      const std::shared_ptr<Relay> relay = *it++;
      relay->checkTimes(Now);
    }
    Ended.clear();
    if (Now >= NextFlushAt || Relays.empty()) {
      flushCounters();
    }
    Ticking = !Relays.empty();
    if (Ticking) {
      runTick();
    }
  });
}

void ConnectionRelays::flushCounters() {
  NextFlushAt = Now + FlushInterval;
  Counters.countRelayed(NewRelays, NewBytes);
  NewRelays = 0;
  NewBytes = 0;
}

void ConnectionRelays::setRevision(ConfigRevision revision) {
  if (revision == Revision) {
    return;
  }
  Revision = revision;
  for (const std::shared_ptr<Relay> &it : Relays) {
    if (!it->isConnecting()) {
      it->endSending();
    }
  }
}

void ConnectionRelays::endSending() {
  for (const std::shared_ptr<Relay> &it : Relays) {
    it->endSending();
  }
}

void ConnectionRelays::endRequests() {
  for (auto it = Relays.begin(); it != Relays.end();) {
    // The relay may end and remove itself.
    const std::shared_ptr<Relay> relay = *it++;
    relay->endRequest();
  }
}

void ConnectionRelays::reset() {
  while (!Relays.empty()) {
    const std::shared_ptr<Relay> relay = *Relays.begin();
    relay->reset();
  }
}

} // namespace nutmegsill::gateway
