/// Reads the heads of HTTP responses by the rules of RFC 9112. The HTTP library
/// accepts more: statuses from 000, and lines that continue the field before
/// them.
#pragma once

#include "nutmegsill/whole_head.h"

#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill {

/// Returns what is wrong with the head of a response, which ends with an empty
/// line; nullopt if nothing is. Lengths are checked for their form.
std::optional<std::string> findResponseHeadFault(std::string_view head);

/// Why there is no head.
struct ResponseHeadError {
  /// Error of the connection or of the HTTP library; not set for faults.
  boost::system::error_code Code;
  std::string Reason;
};

/// Reads and parses the head of a response of at most `maxBytes`; the rest of
/// what was read stays in `buffer`.
template <class Stream, class Body>
boost::asio::awaitable<std::optional<ResponseHeadError>>
readResponseHead(Stream &stream, boost::beast::flat_buffer &buffer,
                 boost::beast::http::response_parser<Body> &parser,
                 std::uint32_t maxBytes) {
  boost::system::error_code ec =
      co_await readWholeHead(stream, buffer, maxBytes, "HTTP/1.");
  if (!ec) {
    const std::string_view text(static_cast<const char *>(buffer.data().data()),
                                buffer.size());
    const std::size_t size = text.find(HeadEnd) + HeadEnd.size();
    std::optional<std::string> fault =
        findResponseHeadFault(text.substr(0, size));
    if (fault) {
      co_return ResponseHeadError{{}, std::move(*fault)};
    }
    parser.header_limit(maxBytes);
    parser.eager(false);
    buffer.consume(parser.put(buffer.data(), ec));
  }
  if (ec) {
    co_return ResponseHeadError{ec, ec.message()};
  }
  co_return std::nullopt;
}

} // namespace nutmegsill
