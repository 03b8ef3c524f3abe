/// Serves the requests of one caller's connection in order.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace nutmegsill::gateway {

struct SessionContext;

boost::asio::awaitable<void> serveCaller(SessionContext &context,
                                         boost::asio::ip::tcp::socket caller);

} // namespace nutmegsill::gateway
