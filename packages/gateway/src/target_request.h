/// Makes the request that is sent to a target from that of a caller.
#pragma once

#include "exchange.h"
#include "nutmegsill/platform/headers.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace nutmegsill::gateway {

using CallerMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Returns the head and body of the request; the body stays that of `message`.
/// The callbacks and the target's address are left empty.
ExchangeRequest
makeTargetRequest(const CallerMessage &message,
                  const platform::ForwardedRequestValues &values);

} // namespace nutmegsill::gateway
