#include "target_probe.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

/// The system of a host that runs no process at the address refuses within a
/// round trip.
constexpr milliseconds ProbeTimeout{100};
/// The system closes the sockets of a killed process one after the other.
constexpr milliseconds ClosingTime{5};

} // namespace

asio::awaitable<ProbeResult>
probeTarget(TargetConnectionPool::Endpoint target) {
  boost::beast::tcp_stream probe(co_await asio::this_coro::executor);
  probe.expires_after(ProbeTimeout);
  boost::system::error_code ec;
  co_await probe.async_connect(target,
                               asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    co_return ProbeResult::Accepted;
  }
  co_return ec == asio::error::connection_refused ? ProbeResult::Refused
                                                  : ProbeResult::Unknown;
}

asio::awaitable<bool> stillAccepts(TargetConnectionPool::Endpoint target) {
  asio::steady_timer timer(co_await asio::this_coro::executor, ClosingTime);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  const ProbeResult result = co_await probeTarget(std::move(target));
  co_return result == ProbeResult::Accepted;
}

} // namespace nutmegsill::gateway
