/// Serves the requests of one caller's connection in order.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace nutmegsill::gateway {

struct SessionContext;

/// `relayedBy`: another host with this configuration relays the connection,
/// whose requests are served by no other one. The end of its sending side means
/// that no further request follows, not that the caller has left.
boost::asio::awaitable<void>
serveCaller(SessionContext &context, boost::asio::ip::tcp::socket caller,
            std::optional<ConfigRevision> relayedBy = std::nullopt);

} // namespace nutmegsill::gateway
