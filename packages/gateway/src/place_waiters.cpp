#include "place_waiters.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

asio::awaitable<void> PlaceWaiters::wait(routing::PlaceTicket ticket,
                                         Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(time);
  Timers[ticket] = &timer;
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  Timers.erase(ticket);
}

void PlaceWaiters::wake(routing::PlaceTicket ticket) {
  const auto it = Timers.find(ticket);
  if (it != Timers.end()) {
    it->second->cancel();
  }
}

} // namespace nutmegsill::gateway
