/// Transfer codings of HTTP/1.1 messages (RFC 9112, 6.1).
#pragma once

#include <boost/beast/http/fields.hpp>

namespace nutmegsill {

/// Whether a message has a body whose coding, and so whose end, is not known:
/// all fields `Transfer-Encoding` together must say "chunked" and nothing else.
/// The HTTP library ignores other codings and takes such a body for empty or,
/// in a response, for one without a length.
bool hasUnknownTransferCoding(const boost::beast::http::fields &fields);

} // namespace nutmegsill
