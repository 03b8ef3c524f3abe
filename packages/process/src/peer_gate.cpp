#include "peer_gate.h"

#include "spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace nutmegsill {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t GreetingSize = 64;
constexpr std::size_t SignatureEnd = 9;
constexpr std::size_t VersionIndex = 10;
constexpr std::uint8_t MinVersion = 3;
constexpr std::uint8_t MoreFlag = 1;
constexpr std::uint8_t LongFlag = 2;
constexpr std::uint8_t CommandFlag = 4;
constexpr std::size_t RelayBytes = 4U << 10U;
constexpr milliseconds CheckInterval{500};
/// Delay after a failed accept, for example when no file descriptor is free.
constexpr milliseconds AcceptRetryDelay{50};

Time steadyNow() {
  return Time(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace

const char *PeerFrames::beginFrame(std::uint8_t flags) {
  if ((flags & ~(MoreFlag | LongFlag | CommandFlag)) != 0) {
    return "frame";
  }
  if ((flags & MoreFlag) != 0 && !Limits.AllowsParts) {
    return "parts";
  }
  IsCommand = (flags & CommandFlag) != 0;
  SizeBytesLeft = (flags & LongFlag) != 0 ? 8 : 1;
  ContentLeft = 0;
  Current = State::Size;
  return nullptr;
}

const char *PeerFrames::append(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto next = static_cast<std::uint8_t>(bytes.front());
    std::size_t taken = 1;
    if (Current == State::Greeting) {
      const bool isForeign =
          (GreetingBytes == 0 && next != 0xffU) ||
          (GreetingBytes == SignatureEnd && next != 0x7fU) ||
          (GreetingBytes == VersionIndex && next < MinVersion);
      if (isForeign) {
        return "foreign";
      }
      if (++GreetingBytes == GreetingSize) {
        Current = State::Flags;
      }
    } else if (Current == State::Flags) {
      const char *fault = beginFrame(next);
      if (fault != nullptr) {
        return fault;
      }
    } else if (Current == State::Size) {
      ContentLeft = ContentLeft << 8U | next;
      if (--SizeBytesLeft == 0) {
        if (ContentLeft > Limits.MaxFrameBytes) {
          return "frame_size";
        }
        Current = State::Content;
      }
    } else {
      taken = static_cast<std::size_t>(
          std::min<std::uint64_t>(ContentLeft, bytes.size()));
      ContentLeft -= taken;
      Unfinished += taken;
    }
    if (Current == State::Content && ContentLeft == 0) {
      Current = State::Flags;
      Unfinished = 0;
      Messages += IsCommand ? 0 : 1;
    }
    bytes.remove_prefix(taken);
  }
  return nullptr;
}

struct PeerGate::Connection {
  Connection(tcp::socket outer, const PeerGateLimits &limits, Time now)
      : Outer(std::move(outer)), Inner(Outer.get_executor()), Frames(limits),
        FrameSince(now), MessageAt(now) {}

  void close() {
    boost::system::error_code ec;
    Outer.close(ec);
    Inner.close(ec);
  }

  tcp::socket Outer;
  tcp::socket Inner;
  PeerFrames Frames;
  /// When the handshake, or the unfinished frame, began.
  Time FrameSince;
  Time MessageAt;
};

struct PeerGate::State {
  State(asio::io_context &io, const Endpoint &inner, PeerGateLimits limits,
        Metrics &metrics)
      : Io(io), Acceptor(io), Timer(io), Inner(inner), Limits(limits),
        Refusals(metrics, "peers") {}

  void close(const std::shared_ptr<Connection> &connection,
             const char *reason) {
    if (connection->Outer.is_open()) {
      Refusals.count(reason, steadyNow());
    }
    connection->close();
    Open.remove(connection);
  }
  void makeRoom();
  void boundUnfinished();

  asio::io_context &Io;
  tcp::acceptor Acceptor;
  asio::steady_timer Timer;
  Endpoint Inner;
  PeerGateLimits Limits;
  CallerRefusals Refusals;
  std::list<std::shared_ptr<Connection>> Open;
};

void PeerGate::State::makeRoom() {
  while (Open.size() >= Limits.MaxConnections) {
    const auto oldest = std::min_element(
        Open.begin(), Open.end(), [](const auto &left, const auto &right) {
          return left->MessageAt < right->MessageAt;
        });
    close(std::shared_ptr<Connection>(*oldest), "connections");
  }
}

void PeerGate::State::boundUnfinished() {
  for (;;) {
    std::size_t sum = 0;
    std::shared_ptr<Connection> largest;
    for (const std::shared_ptr<Connection> &it : Open) {
      sum += it->Frames.unfinishedBytes();
      if (!largest ||
          it->Frames.unfinishedBytes() > largest->Frames.unfinishedBytes()) {
        largest = it;
      }
    }
    if (sum <= Limits.MaxUnfinishedBytes) {
      return;
    }
    close(largest, "unfinished_frames");
  }
}

PeerGate::PeerGate(asio::io_context &io, const Endpoint &endpoint,
                   const Endpoint &inner, PeerGateLimits limits,
                   Metrics &metrics)
    : Shared(std::make_shared<State>(io, inner, limits, metrics)) {
  Shared->Acceptor.open(endpoint.protocol());
  Shared->Acceptor.set_option(asio::socket_base::reuse_address(true));
  Shared->Acceptor.bind(endpoint);
  Shared->Acceptor.listen();
  spawn(io, accept(Shared));
  spawn(io, checkTimes(Shared));
}

PeerGate::~PeerGate() {
  boost::system::error_code ec;
  Shared->Acceptor.close(ec);
  Shared->Timer.cancel();
  for (const std::shared_ptr<Connection> &it : Shared->Open) {
    it->close();
  }
  Shared->Open.clear();
}

asio::awaitable<void> PeerGate::accept(std::shared_ptr<State> state) {
  while (state->Acceptor.is_open()) {
    boost::system::error_code ec;
    tcp::socket outer = co_await state->Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      if (state->Acceptor.is_open()) {
        asio::steady_timer pause(state->Io, AcceptRetryDelay);
        co_await pause.async_wait(asio::use_awaitable);
      }
      continue;
    }
    state->makeRoom();
    outer.set_option(tcp::no_delay(true), ec);
    auto connection = std::make_shared<Connection>(std::move(outer),
                                                   state->Limits, steadyNow());
    connection->Inner.connect(state->Inner, ec);
    if (!ec) {
      connection->Inner.set_option(tcp::no_delay(true), ec);
    }
    if (ec) {
      state->Refusals.count("not_passed_on", steadyNow());
      continue;
    }
    state->Open.push_back(connection);
    spawn(state->Io, relayIn(state, connection));
    spawn(state->Io, relayOut(state, connection));
  }
}

asio::awaitable<void> PeerGate::checkTimes(std::shared_ptr<State> state) {
  while (state->Acceptor.is_open()) {
    state->Timer.expires_after(CheckInterval);
    boost::system::error_code ec;
    co_await state->Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    const Time now = steadyNow();
    const std::list<std::shared_ptr<Connection>> open = state->Open;
    for (const std::shared_ptr<Connection> &it : open) {
      if (!it->Frames.isBetweenFrames() &&
          now - it->FrameSince > state->Limits.FrameTimeout) {
        state->close(it, "stalled");
      }
    }
  }
}

asio::awaitable<void>
PeerGate::relayIn(std::shared_ptr<State> state,
                  std::shared_ptr<Connection> connection) {
  std::array<char, RelayBytes> bytes{};
  boost::system::error_code ec;
  while (!ec) {
    const std::size_t n = co_await connection->Outer.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    const std::size_t messages = connection->Frames.messages();
    const bool wasBetween = connection->Frames.isBetweenFrames();
    const char *fault =
        connection->Frames.append(std::string_view(bytes.data(), n));
    if (fault != nullptr) {
      state->close(connection, fault);
      break;
    }
    const bool hasNewMessage = connection->Frames.messages() != messages;
    if (hasNewMessage) {
      connection->MessageAt = steadyNow();
    }
    if (hasNewMessage || wasBetween) {
      connection->FrameSince = steadyNow();
    }
    state->boundUnfinished();
    if (!connection->Inner.is_open()) {
      break;
    }
    co_await asio::async_write(connection->Inner, asio::buffer(bytes.data(), n),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  connection->close();
  state->Open.remove(connection);
}

asio::awaitable<void>
PeerGate::relayOut(std::shared_ptr<State> state,
                   std::shared_ptr<Connection> connection) {
  std::array<char, RelayBytes> bytes{};
  boost::system::error_code ec;
  while (!ec) {
    const std::size_t n = co_await connection->Inner.async_read_some(
        asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      co_await asio::async_write(connection->Outer,
                                 asio::buffer(bytes.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }
  connection->close();
  state->Open.remove(connection);
}

} // namespace nutmegsill
