#include "relayed_connection.h"

#include "target_connection_pool.h"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

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
bool isBlocked(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR ||
         error == ENOBUFS;
}

void setOption(int fd, int level, int name, const void *value, socklen_t size) {
  // Errors are ignored: without the options bytes are only later.
  (void)::setsockopt(fd, level, name, value, size);
}

/// Small later pieces would otherwise wait for an acknowledgement.
void setNoDelay(int fd) {
  const int on = 1;
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void resetConnection(int &fd) {
  if (fd >= 0) {
    const linger reset{1, 0};
    setOption(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::close(std::exchange(fd, -1));
  }
}

constexpr std::uint32_t ReadEvents = EPOLLIN | EPOLLRDHUP | EPOLLET;
constexpr std::uint32_t EndEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

void closeConnection(int &fd) {
  if (fd >= 0) {
    ::close(std::exchange(fd, -1));
  }
}

} // namespace

ConnectionRelays::Relay::~Relay() {
  closeConnection(Caller.Fd);
  closeConnection(Peer.Fd);
}

bool ConnectionRelays::Relay::connect(const Endpoint &address) {
  Peer.Fd = ::socket(address.protocol().family(),
                     SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Peer.Fd < 0) {
    return false;
  }
  const bool started = ::connect(Peer.Fd, address.data(),
                                 static_cast<socklen_t>(address.size())) == 0 ||
                       errno == EINPROGRESS;
  if (started) {
    waitFor(Peer, ReadEvents);
  }
  return started;
}

void ConnectionRelays::Relay::waitFor(Side &side, std::uint32_t events) {
  if (side.Events == events || side.Fd < 0) {
    return;
  }
  epoll_event event{};
  event.events = events;
  event.data.ptr = &side;
  const int operation = side.Events == 0 ? EPOLL_CTL_ADD
                        : events == 0    ? EPOLL_CTL_DEL
                                         : EPOLL_CTL_MOD;
  (void)::epoll_ctl(Owner.Events.native_handle(), operation, side.Fd, &event);
  side.Events = events;
}

void ConnectionRelays::Relay::handle(Side &side, std::uint32_t events) {
  if (State == Phase::Closed) {
    return;
  }
  Side &other = &side == &Caller ? Peer : Caller;
  side.Ended = side.Ended || (events & EndEvents) != 0;
  side.Readable = side.Readable || (events & (EPOLLIN | EndEvents)) != 0;
  if ((events & EPOLLOUT) != 0 && !other.isEmpty()) {
    if (&side == &Peer) {
      forwardRequest();
      readCaller();
    } else {
      forwardResponse();
      readPeer();
    }
  }
  if (!side.Readable) {
    return;
  }
  if (&side == &Caller) {
    readCaller();
  } else if (State == Phase::Connecting) {
    takeOver();
  } else if (!Paced) {
    readPeer();
  }
}

std::optional<std::size_t> ConnectionRelays::Relay::readSome(Side &from,
                                                             int &error) {
  const ssize_t n =
      ::recv(from.Fd, from.Bytes.data(), from.Bytes.size(), MSG_DONTWAIT);
  if (n > 0) {
    from.Begin = 0;
    from.End = static_cast<std::size_t>(n);
    from.Readable = from.wasFull() || from.Ended;
    Owner.NewBytes += from.End;
    return from.End;
  }
  if (n < 0 && isBlocked(errno)) {
    from.Readable = false;
    return 0;
  }
  error = n == 0 ? 0 : errno;
  return std::nullopt;
}

bool ConnectionRelays::Relay::flush(Side &from, Side &to) {
  if (++to.Writes == 2 && !to.NoDelay) {
    to.NoDelay = true;
    setNoDelay(to.Fd);
  }
  const ssize_t n = ::send(to.Fd, &from.Bytes[from.Begin],
                           from.End - from.Begin, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n < 0 && !isBlocked(errno)) {
    from.Begin = from.End;
    return false;
  }
  from.Begin += n > 0 ? static_cast<std::size_t>(n) : 0;
  if (!from.isEmpty()) {
    from.BlockedSince = Owner.Now;
    waitFor(to, ReadEvents | EPOLLOUT);
  } else if ((to.Events & EPOLLOUT) != 0) {
    waitFor(to, ReadEvents);
  }
  return true;
}

void ConnectionRelays::Relay::takeOver() {
  int error = 0;
  const std::optional<std::size_t> n = readSome(Peer, error);
  if (n && *n == 0) {
    return;
  }
  TakeOverBytes answer{};
  const bool isTaken = n && *n == answer.size();
  if (isTaken) {
    std::copy_n(Peer.Bytes.begin(), answer.size(), answer.begin());
  }
  // A peer with another configuration than this host serves none of its
  // callers.
  if (!isTaken || decodeTakeOver(answer) != Owner.Revision) {
    // A peer that closes at once is saturated.
    if (error == 0 || error == ECONNRESET) {
      Owner.Handover.recordRefusal(Host, Owner.Now);
    } else {
      Owner.Handover.recordFailure(Host, Owner.Now);
    }
    serveHere();
    return;
  }
  Peer.Begin = Peer.End;
  State = Phase::Relaying;
  // The request has usually arrived.
  Caller.Readable = true;
  readCaller();
  waitFor(Caller, ReadEvents);
  if (State == Phase::Relaying && SendingEnds) {
    endSending();
  }
}

void ConnectionRelays::Relay::readCaller() {
  while (Caller.Readable && Caller.isEmpty() &&
         (State == Phase::Relaying || State == Phase::Draining)) {
    if (State == Phase::Relaying && SendingEnds && SendingEnded) {
      // This host serves what follows, once the peer is done.
      if (Caller.Ended) {
        resetConnection(Peer.Fd);
        finish();
      }
      return;
    }
    int error = 0;
    const std::optional<std::size_t> n = readSome(Caller, error);
    if (!n) {
      // The caller has left: the peer cancels its request.
      resetConnection(Peer.Fd);
      finish();
      return;
    }
    if (*n == 0) {
      return;
    }
    if (SendingEnded || State == Phase::Draining) {
      Caller.Begin = Caller.End;
      continue;
    }
    if (RequestBytes == 0 && HasResponded) {
      Owner.Handover.recordRelayedRequest(Owner.Now);
    }
    RequestBytes += *n;
    Pieces = 0;
    Paced = false;
    Caller.Writes = 0;
    waitFor(Peer, ReadEvents);
    forwardRequest();
  }
}

void ConnectionRelays::Relay::forwardRequest() {
  if (!flush(Caller, Peer)) {
    // What the peer has sent before its end is still read.
    SendingEnded = true;
  }
  if (Caller.isEmpty() && SendingEnds) {
    endSending();
  }
}

void ConnectionRelays::Relay::readPeer() {
  while (Peer.Readable && Peer.isEmpty() && State == Phase::Relaying) {
    int error = 0;
    const std::optional<std::size_t> n = readSome(Peer, error);
    if (!n) {
      onPeerEnd(error);
      return;
    }
    if (*n == 0) {
      return;
    }
    Owner.Handover.recordRelayedPiece(Owner.Now);
    RequestBytes = 0;
    HasResponded = true;
    Peer.Writes = 0;
    ++Pieces;
    Paced = true;
    forwardResponse();
  }
  if (Pieces >= MinStreamPieces && State == Phase::Relaying &&
      Caller.isEmpty()) {
    waitFor(Peer, 0);
  }
}

void ConnectionRelays::Relay::forwardResponse() {
  if (!flush(Peer, Caller)) {
    resetConnection(Peer.Fd);
    finish();
  }
}

void ConnectionRelays::Relay::onPeerEnd(int error) {
  if (error != 0) {
    resetConnection(Caller.Fd);
    finish();
    return;
  }
  if (SendingEnds && SendingEnded) {
    serveHere();
    return;
  }
  if (RequestBytes < RequestBufferBytes) {
    finish();
    return;
  }
  // The caller may still be sending a body that the peer has rejected.
  State = Phase::Draining;
  DrainUntil = Owner.Now + MaxDrainTime;
  Caller.Begin = Caller.End;
  closeConnection(Peer.Fd);
  ::shutdown(Caller.Fd, SHUT_WR);
  readCaller();
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
      enableDeadPeerDetection(Peer.Fd);
    }
    if (!Peer.isEmpty()) {
      if (now - Peer.BlockedSince > Owner.StallTimeout) {
        reset();
      }
      return;
    }
    Paced = false;
    if (Peer.Events == 0) {
      const int pieces = Pieces;
      Peer.Readable = true;
      readPeer();
      QuietTicks = Pieces == pieces ? QuietTicks + 1 : 0;
      if (State == Phase::Relaying && QuietTicks > MaxQuietTicks) {
        QuietTicks = 0;
        waitFor(Peer, ReadEvents);
      }
    } else if (Peer.Readable) {
      readPeer();
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
  if (State == Phase::Relaying && Caller.isEmpty() && !SendingEnded) {
    SendingEnded = true;
    ::shutdown(Peer.Fd, SHUT_WR);
  }
}

void ConnectionRelays::Relay::endRequest() {
  if (State != Phase::Relaying || RequestBytes == 0 || !Peer.isEmpty()) {
    return;
  }
  constexpr std::string_view response = "HTTP/1.1 504 Gateway Timeout\r\n"
                                        "Content-Length: 0\r\n"
                                        "Connection: close\r\n\r\n";
  // A caller that takes no bytes now gets none before the process ends.
  (void)::send(Caller.Fd, response.data(), response.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
  resetConnection(Peer.Fd);
  finish();
}

void ConnectionRelays::Relay::serveHere() {
  State = Phase::Closed;
  closeConnection(Peer.Fd);
  waitFor(Caller, 0);
  boost::system::error_code ec;
  Socket caller(Owner.Io);
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  ::getsockname(Caller.Fd, reinterpret_cast<sockaddr *>(&address), &size);
  caller.assign(address.ss_family == AF_INET6 ? tcp::v6() : tcp::v4(),
                Caller.Fd, ec);
  if (!ec) {
    Caller.Fd = -1;
    Owner.ServeHere(std::move(caller));
  }
  finish();
}

void ConnectionRelays::Relay::reset() {
  resetConnection(Peer.Fd);
  resetConnection(Caller.Fd);
  finish();
}

void ConnectionRelays::Relay::finish() {
  State = Phase::Closed;
  closeConnection(Peer.Fd);
  closeConnection(Caller.Fd);
  Owner.Ended.push_back(shared_from_this());
  Owner.Relays.erase(shared_from_this());
}

} // namespace nutmegsill::gateway
