/// Serves the requests of one caller's connection in order.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace nutmegsill::gateway {

struct SessionContext;

/// `handedOver`: another host relays the connection. The end of its sending
/// side means that no further request follows, not that the caller has left.
boost::asio::awaitable<void> serveCaller(SessionContext &context,
                                         boost::asio::ip::tcp::socket caller,
                                         bool handedOver = false);

} // namespace nutmegsill::gateway
