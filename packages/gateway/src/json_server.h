/// HTTP server for directory queries of callers and for the platform's
/// readiness checks.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace nutmegsill::gateway {

struct JsonResponse {
  unsigned Status = 404;
  std::string Body;
};

/// Returns the response to a request for `requestTarget`; the method is not
/// passed on.
using JsonHandler = std::function<JsonResponse(std::string_view requestTarget)>;

/// Opens a listening socket; sets `ec` on failure.
boost::asio::ip::tcp::acceptor
listenAt(boost::asio::io_context &io,
         const boost::asio::ip::tcp::endpoint &endpoint,
         boost::system::error_code &ec);

/// Accepts connections and serves them until `acceptor` is closed. Keeps
/// `maxConnections` open: for a new one, the one that was served least recently
/// is closed, and `onClosed` is called.
boost::asio::awaitable<void> serveJson(boost::asio::ip::tcp::acceptor &acceptor,
                                       JsonHandler handler,
                                       std::size_t maxConnections,
                                       std::function<void()> onClosed);

} // namespace nutmegsill::gateway
