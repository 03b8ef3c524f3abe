#include "fault_proxy.h"

#include "local_fleet.h"
#include "nutmegsill/http_client.h"

#include <array>
#include <boost/asio.hpp>
#include <set>
#include <thread>

namespace nutmegsill::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds Delay{40};
/// How often a connection that passes nothing looks for a new mode.
constexpr std::chrono::milliseconds HoldStep{20};
constexpr std::size_t BufferSize = 16U << 10U;

/// Both sides of one connection.
struct Pair {
  explicit Pair(asio::io_context &io) : Caller(io), Server(io) {}
  tcp::socket Caller;
  tcp::socket Server;

  void reset() {
    boost::system::error_code ec;
    for (tcp::socket *it : {&Caller, &Server}) {
      it->set_option(asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }
};

} // namespace

struct FaultProxy::Parts {
  Parts(const std::string &address, const std::string &server)
      : Server(*parseEndpoint(server)), Port(Io, *parseEndpoint(address)) {}

  asio::awaitable<void> accept() {
    for (;;) {
      const std::shared_ptr<Pair> pair = std::make_shared<Pair>(Io);
      boost::system::error_code ec;
      co_await Port.async_accept(pair->Caller,
                                 asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      if (Mode == ProxyMode::Reset) {
        pair->reset();
        continue;
      }
      asio::co_spawn(Io, serve(pair), asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<Pair> pair) {
    boost::system::error_code ec;
    co_await pair->Server.async_connect(
        Server, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      pair->reset();
      co_return;
    }
    Pairs.insert(pair);
    asio::co_spawn(Io, pass(pair, pair->Caller, pair->Server, true),
                   asio::detached);
    co_await pass(pair, pair->Server, pair->Caller, false);
    Pairs.erase(pair);
  }

  bool holds(bool forth) const {
    const ProxyMode mode = Mode;
    return mode == ProxyMode::Silent ||
           (forth && mode == ProxyMode::CutForth) ||
           (!forth && mode == ProxyMode::CutBack);
  }

  asio::awaitable<void> pass(std::shared_ptr<Pair> pair, tcp::socket &from,
                             tcp::socket &to, bool forth) {
    std::array<char, BufferSize> buffer{};
    boost::system::error_code ec;
    asio::steady_timer timer(Io);
    while (!ec) {
      const std::size_t size = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        break;
      }
      while (holds(forth)) {
        timer.expires_after(HoldStep);
        co_await timer.async_wait(asio::use_awaitable);
      }
      if (Mode == ProxyMode::Delayed) {
        timer.expires_after(Delay);
        co_await timer.async_wait(asio::use_awaitable);
      }
      co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    boost::system::error_code ignored;
    if (ec == asio::error::eof) {
      to.shutdown(tcp::socket::shutdown_send, ignored);
    } else {
      pair->reset();
    }
  }

  std::atomic<ProxyMode> Mode{ProxyMode::Open};
  asio::io_context Io{1};
  const tcp::endpoint Server;
  tcp::acceptor Port;
  std::set<std::shared_ptr<Pair>> Pairs;
  std::thread Thread;
};

FaultProxy::FaultProxy(const std::string &server)
    : Address(standin::loopback()),
      Impl(std::make_unique<Parts>(Address, server)) {
  asio::co_spawn(Impl->Io, Impl->accept(), asio::detached);
  Impl->Thread = std::thread([this] { Impl->Io.run(); });
}

FaultProxy::~FaultProxy() {
  Impl->Io.stop();
  Impl->Thread.join();
}

void FaultProxy::setMode(ProxyMode mode) {
  Impl->Mode = mode;
  if (mode == ProxyMode::Reset) {
    asio::post(Impl->Io, [this] {
      for (const std::shared_ptr<Pair> &it : Impl->Pairs) {
        it->reset();
      }
    });
  }
}

} // namespace nutmegsill::soak
