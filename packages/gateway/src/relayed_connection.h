/// One relayed connection. Only for `connection_relay.cpp` and its own source.
#pragma once

#include "connection_relay.h"
#include "nutmegsill/http_client.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace nutmegsill::gateway {

/// A connection of a caller and the one to the peer that serves it. Ends itself
/// and then removes itself from its owner.
class ConnectionRelays::Relay
    : public std::enable_shared_from_this<ConnectionRelays::Relay> {
public:
  Relay(ConnectionRelays &owner, int caller, HostId host, Time now)
      : Owner(owner), Host(std::move(host)), StartedAt(now),
        Caller(*this, caller, RequestBufferBytes),
        Peer(*this, -1, ResponseBufferBytes) {}
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// Bytes that are buffered in each direction.
  static constexpr std::size_t RequestBufferBytes = 4U << 10U;
  static constexpr std::size_t ResponseBufferBytes = 8U << 10U;

  /// One of the two sockets, and the bytes that were read from it and are not
  /// sent to the other one yet. The events of the epoll set point to it.
  struct Side {
    Side(Relay &owner, int fd, std::size_t size)
        : Owner(owner), Fd(fd), Bytes(size) {}
    bool isEmpty() const { return Begin == End; }
    bool wasFull() const { return End == Bytes.size(); }

    Relay &Owner;
    int Fd;
    std::vector<char> Bytes;
    std::size_t Begin = 0;
    std::size_t End = 0;
    Time BlockedSince{};
    bool Readable = false;
    /// The end of the connection is among what can be read.
    bool Ended = false;
    /// Events that the epoll set waits for; 0 if the socket is not in it.
    std::uint32_t Events = 0;
    /// Writes since the other direction had bytes.
    int Writes = 0;
    bool NoDelay = false;
  };

  bool connect(const Endpoint &address);
  /// Gives the caller's descriptor up.
  int releaseCaller() { return std::exchange(Caller.Fd, -1); }
  void handle(Side &side, std::uint32_t events);
  void checkTimes(Time now);
  void endSending();
  void endRequest();
  void reset();
  /// Whether no peer has taken the connection over yet.
  bool isConnecting() const { return State == Phase::Connecting; }

private:
  enum class Phase { Connecting, Relaying, Draining, Closed };

  void waitFor(Side &side, std::uint32_t events);
  /// Reads once into the buffer; returns the bytes, 0 if there are none now, or
  /// nothing at the end, of which `error` is 0 or the reason.
  std::optional<std::size_t> readSome(Side &from, int &error);
  /// Sends what the system takes at once; returns whether the connection lasts.
  bool flush(Side &from, Side &to);
  void readCaller();
  void readPeer();
  void takeOver();
  void forwardRequest();
  void forwardResponse();
  void onPeerEnd(int error);
  void serveHere();
  void finish();

  ConnectionRelays &Owner;
  const HostId Host;
  const Time StartedAt;
  Side Caller;
  Side Peer;
  Phase State = Phase::Connecting;
  /// Bytes of the response were forwarded since the last tick; more of them
  /// wait for the next.
  bool Paced = false;
  int QuietTicks = 0;
  /// Pieces of the response since the last bytes of the caller.
  int Pieces = 0;
  /// Bytes of the caller since the last ones towards it.
  std::size_t RequestBytes = 0;
  bool HasResponded = false;
  bool DetectsDeadPeer = false;
  /// Nothing more is sent to the peer.
  bool SendingEnds = false;
  bool SendingEnded = false;
  Time DrainUntil{};
};

} // namespace nutmegsill::gateway
