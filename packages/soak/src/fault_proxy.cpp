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
/// Interval at which a blocked connection checks whether the mode has changed.
constexpr std::chrono::milliseconds BlockedPollInterval{20};
constexpr std::size_t BufferSize = 16U << 10U;

/// The accepted socket of a client and the socket connected to the server.
struct ProxiedConnection {
  explicit ProxiedConnection(asio::io_context &io) : Client(io), Server(io) {}
  tcp::socket Client;
  tcp::socket Server;

  void reset() {
    boost::system::error_code ec;
    for (tcp::socket *it : {&Client, &Server}) {
      it->set_option(asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }
};

} // namespace

struct FaultProxy::Implementation {
  Implementation(const std::string &address, const std::string &server)
      : ServerEndpoint(*parseEndpoint(server)),
        Acceptor(Io, *parseEndpoint(address)) {}

  asio::awaitable<void> acceptConnections() {
    for (;;) {
      const std::shared_ptr<ProxiedConnection> connection =
          std::make_shared<ProxiedConnection>(Io);
      boost::system::error_code ec;
      co_await Acceptor.async_accept(
          connection->Client, asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      if (Mode == ProxyMode::Resetting) {
        connection->reset();
        continue;
      }
      asio::co_spawn(Io, serveConnection(connection), asio::detached);
    }
  }

  asio::awaitable<void>
  serveConnection(std::shared_ptr<ProxiedConnection> connection) {
    boost::system::error_code ec;
    co_await connection->Server.async_connect(
        ServerEndpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      connection->reset();
      co_return;
    }
    Connections.insert(connection);
    asio::co_spawn(
        Io, forward(connection, connection->Client, connection->Server, true),
        asio::detached);
    co_await forward(connection, connection->Server, connection->Client, false);
    Connections.erase(connection);
  }

  /// True when the current mode forwards nothing in this direction.
  bool blocks(bool toServer) const {
    const ProxyMode mode = Mode;
    return mode == ProxyMode::Blocking ||
           (toServer && mode == ProxyMode::BlockingToServer) ||
           (!toServer && mode == ProxyMode::BlockingToClient);
  }

  asio::awaitable<void> forward(std::shared_ptr<ProxiedConnection> connection,
                                tcp::socket &from, tcp::socket &to,
                                bool toServer) {
    std::array<char, BufferSize> buffer{};
    boost::system::error_code ec;
    asio::steady_timer timer(Io);
    while (!ec) {
      const std::size_t size = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        break;
      }
      while (blocks(toServer)) {
        timer.expires_after(BlockedPollInterval);
        co_await timer.async_wait(asio::use_awaitable);
      }
      if (Mode == ProxyMode::Delaying) {
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
      connection->reset();
    }
  }

  std::atomic<ProxyMode> Mode{ProxyMode::Forwarding};
  asio::io_context Io{1};
  const tcp::endpoint ServerEndpoint;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<ProxiedConnection>> Connections;
  std::thread Thread;
};

FaultProxy::FaultProxy(const std::string &server)
    : Address(standin::freeLoopbackAddress()),
      Impl(std::make_unique<Implementation>(Address, server)) {
  asio::co_spawn(Impl->Io, Impl->acceptConnections(), asio::detached);
  Impl->Thread = std::thread([this] { Impl->Io.run(); });
}

FaultProxy::~FaultProxy() {
  Impl->Io.stop();
  Impl->Thread.join();
}

void FaultProxy::setMode(ProxyMode mode) {
  Impl->Mode = mode;
  if (mode == ProxyMode::Resetting) {
    asio::post(Impl->Io, [this] {
      for (const std::shared_ptr<ProxiedConnection> &it : Impl->Connections) {
        it->reset();
      }
    });
  }
}

} // namespace nutmegsill::soak
