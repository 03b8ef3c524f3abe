/// Serves the requests of one caller's connection in order.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace nutmegsill::gateway {

struct SessionContext;

enum class SessionMode {
  Serving,
  /// The first request is rejected as not run, and the connection closed.
  Rejecting,
};

boost::asio::awaitable<void> serveCaller(SessionContext &context,
                                         boost::asio::ip::tcp::socket caller,
                                         SessionMode mode);

} // namespace nutmegsill::gateway
