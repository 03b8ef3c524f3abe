/// Wakes the requests that wait for a place at a plain target.
#pragma once

#include "nutmegsill/routing/place_queue.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>

namespace nutmegsill::gateway {

/// Not thread-safe.
class PlaceWaiters {
public:
  /// Waits until `wake` is called for the ticket, at most for `time`.
  boost::asio::awaitable<void> wait(routing::PlaceTicket ticket, Duration time);
  void wake(routing::PlaceTicket ticket);

private:
  std::map<routing::PlaceTicket, boost::asio::steady_timer *> Timers;
};

} // namespace nutmegsill::gateway
