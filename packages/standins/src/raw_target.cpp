#include "raw_target.h"

#include "nutmegsill/http_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace nutmegsill::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string RawTargetConnection::head(const std::string &status) const {
  return "HTTP/1.1 " + status + "\r\nRequest-Id: " + RequestId +
         "\r\nSignature: s-" + RequestId + "\r\n";
}

asio::awaitable<void> RawTargetConnection::send(std::string bytes) {
  boost::system::error_code ec;
  co_await asio::async_write(Socket, asio::buffer(bytes),
                             asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void>
RawTargetConnection::sleep(std::chrono::milliseconds duration) {
  asio::steady_timer timer(Socket.get_executor(), duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> RawTargetConnection::readToReset() {
  std::array<char, 4'096> ignored{};
  boost::system::error_code ec;
  while (!ec) {
    co_await Socket.async_read_some(
        asio::buffer(ignored), asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return ec == asio::error::connection_reset;
}

void RawTargetConnection::endSending() {
  boost::system::error_code ec;
  Socket.shutdown(tcp::socket::shutdown_send, ec);
}

void RawTargetConnection::close() {
  boost::system::error_code ec;
  Socket.close(ec);
}

RawTarget::RawTarget(std::string address, Script script, int receiveBytes)
    : Address(std::move(address)), RunScript(std::move(script)),
      Acceptor(Io, *parseEndpoint(Address)) {
  if (receiveBytes > 0) {
    Acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
  }
  asio::co_spawn(Io, accept(), asio::detached);
  Thread = std::thread([this] { Io.run(); });
}

RawTarget::~RawTarget() {
  Io.stop();
  Thread.join();
}

asio::awaitable<void> RawTarget::accept() {
  for (;;) {
    tcp::socket socket = co_await Acceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(Io, serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> RawTarget::serve(tcp::socket socket) {
  constexpr std::string_view name = "\r\nRequest-Id: ";
  boost::system::error_code ec;
  std::string head;
  co_await asio::async_read_until(
      socket, asio::dynamic_buffer(head), "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    co_return;
  }
  std::string id;
  if (const std::size_t at = head.find(name); at != std::string::npos) {
    const std::size_t begin = at + name.size();
    id = head.substr(begin, head.find("\r\n", begin) - begin);
  }
  ++RequestCount;
  RawTargetConnection connection(socket, std::move(id));
  co_await RunScript(connection);
}

} // namespace nutmegsill::standin
