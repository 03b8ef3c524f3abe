#include "connection_relay.h"

#include "clock.h"
#include "log.h"
#include "nutmegsill/http_client.h"
#include "target_connection_pool.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Interval at which the later bytes of responses are collected: well under the
/// shortest bound for forwarding events, 120 ms.
constexpr milliseconds TickInterval{40};
/// Pieces of one response from which it is a stream: the peer's socket is then
/// read at the ticks only, and its events wake no one.
constexpr int MinStreamPieces = 2;
/// Ticks without a piece after which the socket is waited for again.
constexpr int MaxQuietTicks = 5;
/// Time for a peer to take a connection over: the shortest objective is 150 ms.
constexpr milliseconds TakeOverTimeout{150};
/// Age from which a dead peer is detected by probes. Setting them takes six
/// system calls, and most connections end before.
constexpr milliseconds DetectionDelay{500};
/// Time for which bytes of a caller are dropped after the peer's end: the
/// system resets a connection that is closed with unread bytes, and the caller
/// may lose the response.
constexpr std::chrono::seconds MaxDrainTime{2};
/// Bytes that are buffered in each direction.
constexpr std::size_t RequestBufferBytes = 4U << 10U;
constexpr std::size_t ResponseBufferBytes = 8U << 10U;
constexpr std::chrono::seconds FlushInterval{1};
constexpr std::chrono::seconds DefaultStallTimeout{15};

/// Sends what the system takes at once; returns the number of bytes, or nothing
/// if the connection is lost.
std::optional<std::size_t> sendNow(tcp::socket &to, const char *data,
                                   std::size_t size) {
  const ssize_t sent =
      ::send(to.native_handle(), data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent >= 0) {
    return static_cast<std::size_t>(sent);
  }
  const bool blocked = errno == EAGAIN || errno == EWOULDBLOCK ||
                       errno == EINTR || errno == ENOBUFS;
  return blocked ? std::optional<std::size_t>(0) : std::nullopt;
}

void resetConnection(tcp::socket &socket) {
  boost::system::error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

} // namespace

class ConnectionRelays::Relay
    : public std::enable_shared_from_this<ConnectionRelays::Relay> {
public:
  Relay(ConnectionRelays &owner, Socket caller, HostId host, Time now)
      : Owner(owner), Host(std::move(host)), StartedAt(now),
        Caller(std::move(caller)), Peer(owner.Io), Request(RequestBufferBytes),
        Response(ResponseBufferBytes) {}
  ~Relay();

  bool connect(const Endpoint &address);
  Socket takeCaller() { return std::move(Caller); }
  void checkTimes(Time now);
  void endSending();
  void reset();

private:
  enum class Phase { Connecting, Relaying, Draining, Closed };
  /// Bytes that were read and not sent yet.
  struct Buffer {
    explicit Buffer(std::size_t size) : Bytes(size) {}
    std::vector<char> Bytes;
    std::size_t Begin = 0;
    std::size_t End = 0;
    Time BlockedSince{};
    bool isEmpty() const { return Begin == End; }
    bool wasFull() const { return End == Bytes.size(); }
  };

  void readCaller();
  void readPeer();
  void onCallerBytes(boost::system::error_code ec, std::size_t n);
  void onPeerBytes(boost::system::error_code ec, std::size_t n);
  /// Takes the peer's socket out of the event loop, and back.
  void startPolling();
  void stopPolling();
  void pollPeer();
  void onTakeOver(boost::system::error_code ec, std::size_t n);
  void onPeerEnd(boost::system::error_code ec);
  void flushRequest();
  void flushResponse();
  /// Waits until `to` takes bytes again, then calls `flush`.
  void awaitWritable(Socket &to, Buffer &buffer, void (Relay::*flush)());
  void serveHere();
  void finish();

  ConnectionRelays &Owner;
  const HostId Host;
  const Time StartedAt;
  Socket Caller;
  Socket Peer;
  tcp PeerProtocol = tcp::v4();
  Buffer Request;
  Buffer Response;
  Phase State = Phase::Connecting;
  bool ReadingPeer = false;
  /// The peer's socket while it is polled, otherwise -1.
  int PolledPeer = -1;
  int QuietTicks = 0;
  /// Pieces of the response since the last bytes of the caller.
  int Pieces = 0;
  /// Bytes of the caller since the last ones towards it.
  std::size_t RequestBytes = 0;
  bool DetectsDeadPeer = false;
  /// Nothing more is sent to the peer.
  bool SendingEnds = false;
  bool SendingEnded = false;
  Time DrainUntil{};
};

ConnectionRelays::Relay::~Relay() {
  if (PolledPeer >= 0) {
    ::close(PolledPeer);
  }
}

bool ConnectionRelays::Relay::connect(const Endpoint &address) {
  const int fd = ::socket(address.protocol().family(),
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return false;
  }
  const int on = 1;
  (void)::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const bool started = ::connect(fd, address.data(),
                                 static_cast<socklen_t>(address.size())) == 0 ||
                       errno == EINPROGRESS;
  PeerProtocol = address.protocol();
  boost::system::error_code ec;
  Peer.assign(PeerProtocol, fd, ec);
  if (ec) {
    ::close(fd);
  }
  if (ec || !started) {
    return false;
  }
  readPeer();
  return true;
}

void ConnectionRelays::Relay::readCaller() {
  Caller.async_read_some(
      asio::buffer(Request.Bytes),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        self->onCallerBytes(ec, n);
      });
}

void ConnectionRelays::Relay::readPeer() {
  if (ReadingPeer) {
    return;
  }
  stopPolling();
  ReadingPeer = true;
  Peer.async_read_some(
      asio::buffer(Response.Bytes),
      [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        self->onPeerBytes(ec, n);
      });
}

void ConnectionRelays::Relay::onCallerBytes(boost::system::error_code ec,
                                            std::size_t n) {
  if (State == Phase::Closed) {
    return;
  }
  if (ec) {
    // The caller has left: the peer cancels its request.
    if (State == Phase::Relaying) {
      stopPolling();
      resetConnection(Peer);
    }
    finish();
    return;
  }
  if (SendingEnded || State == Phase::Draining) {
    readCaller();
    return;
  }
  if (RequestBytes == 0) {
    Owner.Handover.recordRelayedRequest(Owner.Now);
  }
  RequestBytes += n;
  Owner.NewBytes += n;
  Pieces = 0;
  stopPolling();
  Request.Begin = 0;
  Request.End = n;
  flushRequest();
  if (State == Phase::Relaying && Response.isEmpty()) {
    readPeer();
  }
}

void ConnectionRelays::Relay::flushRequest() {
  if (State != Phase::Relaying) {
    return;
  }
  const std::optional<std::size_t> sent =
      sendNow(Peer, &Request.Bytes[Request.Begin], Request.End - Request.Begin);
  if (!sent) {
    // What the peer has sent before its end is still read.
    SendingEnded = true;
  }
  Request.Begin = sent ? Request.Begin + *sent : Request.End;
  if (!Request.isEmpty()) {
    awaitWritable(Peer, Request, &Relay::flushRequest);
    return;
  }
  if (SendingEnds) {
    endSending();
  }
  readCaller();
}

void ConnectionRelays::Relay::awaitWritable(Socket &to, Buffer &buffer,
                                            void (Relay::*flush)()) {
  buffer.BlockedSince = Owner.Now;
  to.async_wait(tcp::socket::wait_write, [self = shared_from_this(),
                                          flush](boost::system::error_code ec) {
    if (!ec) {
      ((*self).*flush)();
    }
  });
}

void ConnectionRelays::Relay::onTakeOver(boost::system::error_code ec,
                                         std::size_t n) {
  if (ec || n != 1 || Response.Bytes[0] != TakenOver) {
    // A peer that closes at once is saturated.
    if (ec == asio::error::eof || ec == asio::error::connection_reset) {
      Owner.Handover.recordRefusal(Host, Owner.Now);
    } else {
      Owner.Handover.recordFailure(Host, Owner.Now);
    }
    serveHere();
    return;
  }
  State = Phase::Relaying;
  readCaller();
  readPeer();
  if (SendingEnds) {
    endSending();
  }
}

void ConnectionRelays::Relay::onPeerBytes(boost::system::error_code ec,
                                          std::size_t n) {
  ReadingPeer = false;
  if (State == Phase::Closed) {
    return;
  }
  if (State == Phase::Connecting) {
    onTakeOver(ec, n);
    return;
  }
  if (ec) {
    onPeerEnd(ec);
    return;
  }
  Owner.Handover.recordRelayedPiece(Owner.Now);
  Owner.NewBytes += n;
  RequestBytes = 0;
  ++Pieces;
  Response.Begin = 0;
  Response.End = n;
  flushResponse();
  if (Pieces >= MinStreamPieces) {
    startPolling();
  }
}

void ConnectionRelays::Relay::startPolling() {
  if (State != Phase::Relaying || PolledPeer >= 0 || ReadingPeer ||
      !Request.isEmpty() || !Response.isEmpty()) {
    return;
  }
  boost::system::error_code ec;
  const int fd = Peer.release(ec);
  if (!ec) {
    PolledPeer = fd;
    QuietTicks = 0;
  }
}

void ConnectionRelays::Relay::stopPolling() {
  if (PolledPeer < 0) {
    return;
  }
  boost::system::error_code ec;
  Peer.assign(PeerProtocol, PolledPeer, ec);
  if (ec) {
    ::close(PolledPeer);
  }
  PolledPeer = -1;
}

void ConnectionRelays::Relay::pollPeer() {
  const ssize_t n = ::recv(PolledPeer, Response.Bytes.data(),
                           Response.Bytes.size(), MSG_DONTWAIT);
  if (n > 0) {
    QuietTicks = 0;
    onPeerBytes({}, static_cast<std::size_t>(n));
  } else if (n == 0) {
    onPeerEnd(asio::error::eof);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    onPeerEnd(asio::error::connection_reset);
  } else if (++QuietTicks > MaxQuietTicks) {
    readPeer();
  }
}

void ConnectionRelays::Relay::flushResponse() {
  if (State != Phase::Relaying) {
    return;
  }
  const std::optional<std::size_t> sent = sendNow(
      Caller, &Response.Bytes[Response.Begin], Response.End - Response.Begin);
  if (!sent) {
    stopPolling();
    resetConnection(Peer);
    finish();
    return;
  }
  Response.Begin += *sent;
  if (!Response.isEmpty()) {
    awaitWritable(Caller, Response, &Relay::flushResponse);
  } else if (Response.wasFull()) {
    readPeer();
  }
  // What follows otherwise is read at the next tick.
}

void ConnectionRelays::Relay::onPeerEnd(boost::system::error_code ec) {
  if (ec != asio::error::eof) {
    resetConnection(Caller);
    finish();
    return;
  }
  if (RequestBytes < RequestBufferBytes) {
    finish();
    return;
  }
  // The caller may still be sending a body that the peer has rejected.
  State = Phase::Draining;
  DrainUntil = Owner.Now + MaxDrainTime;
  Caller.shutdown(tcp::socket::shutdown_send, ec);
  if (!Request.isEmpty()) {
    Request.Begin = Request.End;
    readCaller();
  }
}

void ConnectionRelays::Relay::checkTimes(Time now) {
  switch (State) {
  case Phase::Connecting:
    if (now - StartedAt > TakeOverTimeout) {
      Owner.Handover.recordFailure(Host, now);
      serveHere();
    }
    return;
  case Phase::Relaying:
    if (!DetectsDeadPeer && now - StartedAt > DetectionDelay) {
      DetectsDeadPeer = true;
      enableDeadPeerDetection(PolledPeer >= 0 ? PolledPeer
                                              : Peer.native_handle());
    }
    if (PolledPeer >= 0 && Response.isEmpty()) {
      pollPeer();
    } else if (Response.isEmpty()) {
      readPeer();
    } else if (now - Response.BlockedSince > Owner.StallTimeout) {
      reset();
    }
    return;
  case Phase::Draining:
    if (now >= DrainUntil) {
      finish();
    }
    return;
  case Phase::Closed:
    return;
  }
}

void ConnectionRelays::Relay::endSending() {
  SendingEnds = true;
  if (State == Phase::Relaying && Request.isEmpty() && !SendingEnded) {
    SendingEnded = true;
    stopPolling();
    boost::system::error_code ec;
    Peer.shutdown(tcp::socket::shutdown_send, ec);
  }
}

void ConnectionRelays::Relay::serveHere() {
  State = Phase::Closed;
  boost::system::error_code ec;
  Peer.close(ec);
  Owner.ServeHere(std::move(Caller));
  Owner.Relays.erase(shared_from_this());
}

void ConnectionRelays::Relay::reset() {
  stopPolling();
  if (Peer.is_open()) {
    resetConnection(Peer);
  }
  resetConnection(Caller);
  finish();
}

void ConnectionRelays::Relay::finish() {
  State = Phase::Closed;
  boost::system::error_code ec;
  if (PolledPeer >= 0) {
    ::close(std::exchange(PolledPeer, -1));
  } else {
    Peer.close(ec);
  }
  Caller.close(ec);
  Owner.Relays.erase(shared_from_this());
}

ConnectionRelays::ConnectionRelays(asio::io_context &io,
                                   routing::Handover &handover,
                                   Metrics &metrics, std::size_t maxRelays,
                                   ServeHandler serveHere)
    : Io(io), Handover(handover), Counters(metrics), MaxRelays(maxRelays),
      ServeHere(std::move(serveHere)), Tick(io),
      StallTimeout(DefaultStallTimeout) {}

ConnectionRelays::~ConnectionRelays() = default;

bool ConnectionRelays::isRelaying(Time now) {
  return Relays.size() < MaxRelays && Handover.isActive(now) &&
         Handover.hasPeer(now);
}

bool ConnectionRelays::take(Socket &caller, Time now) {
  if (!isRelaying(now)) {
    return false;
  }
  Now = now;
  const std::optional<routing::Handover::Peer> peer = Handover.choosePeer(now);
  const std::optional<Endpoint> address =
      peer ? parseEndpoint(peer->Address) : std::nullopt;
  if (!address) {
    return false;
  }
  const std::shared_ptr<Relay> relay =
      std::make_shared<Relay>(*this, std::move(caller), peer->Host, now);
  if (!relay->connect(*address)) {
    Handover.recordFailure(peer->Host, now);
    caller = relay->takeCaller();
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

void ConnectionRelays::endSending() {
  for (const std::shared_ptr<Relay> &it : Relays) {
    it->endSending();
  }
}

void ConnectionRelays::reset() {
  while (!Relays.empty()) {
    const std::shared_ptr<Relay> relay = *Relays.begin();
    relay->reset();
  }
}

} // namespace nutmegsill::gateway
