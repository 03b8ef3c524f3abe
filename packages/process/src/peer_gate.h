/// Accepts connections at the port for other routers and passes them on to
/// ZeroMQ, within limits that the library does not have.
#pragma once

#include "caller_refusals.h"
#include "nutmegsill/http_client.h"
#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <string>

namespace nutmegsill {

struct PeerGateLimits {
  /// Connections that are open at once; each takes three descriptors. For a new
  /// one, the one without a message for longest is closed.
  std::size_t MaxConnections = 64;
  /// Largest frame; a peer that sends a larger one is disconnected.
  std::uint64_t MaxFrameBytes = 1U << 20U;
  /// Bytes of unfinished frames of all connections. Beyond it, the connection
  /// that has most is closed.
  std::size_t MaxUnfinishedBytes = 4U << 20U;
  /// Time for the handshake, and for a frame: a report takes milliseconds.
  Duration FrameTimeout = std::chrono::seconds(3);
  /// Messages may have several parts. Encrypted ones come from routers only.
  bool AllowsParts = false;
};

/// Follows the frames of one connection (ZMTP 3). Without I/O.
class PeerFrames {
public:
  explicit PeerFrames(const PeerGateLimits &limits) : Limits(limits) {}

  /// Follows the next bytes; returns what is wrong with them, or null.
  const char *append(std::string_view bytes);
  /// Bytes of the frame that is not complete.
  std::size_t unfinishedBytes() const { return Unfinished; }
  bool isBetweenFrames() const { return Current == State::Flags; }
  /// Messages, without the commands of the protocol, that were complete.
  std::size_t messages() const { return Messages; }

private:
  enum class State { Greeting, Flags, Size, Content };

  const char *beginFrame(std::uint8_t flags);

  const PeerGateLimits &Limits;
  State Current = State::Greeting;
  std::size_t GreetingBytes = 0;
  bool IsCommand = false;
  int SizeBytesLeft = 0;
  std::uint64_t ContentLeft = 0;
  std::size_t Unfinished = 0;
  std::size_t Messages = 0;
};

/// For use from one executor only.
class PeerGate {
public:
  /// Listens at `endpoint`; ZeroMQ listens at the loopback address `inner`.
  /// Throws if it cannot listen.
  PeerGate(boost::asio::io_context &io, const Endpoint &endpoint,
           const Endpoint &inner, PeerGateLimits limits, Metrics &metrics);
  ~PeerGate();
  PeerGate(const PeerGate &) = delete;
  PeerGate &operator=(const PeerGate &) = delete;

private:
  struct Connection;
  struct State;
  static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);
  static boost::asio::awaitable<void> checkTimes(std::shared_ptr<State> state);
  static boost::asio::awaitable<void>
  relayIn(std::shared_ptr<State> state, std::shared_ptr<Connection> connection);
  static boost::asio::awaitable<void>
  relayOut(std::shared_ptr<State> state,
           std::shared_ptr<Connection> connection);

  std::shared_ptr<State> Shared;
};

} // namespace nutmegsill
