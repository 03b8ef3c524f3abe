/// Reads the heads of HTTP messages within a limit.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace nutmegsill {

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// Reads until `buffer` holds a whole head that begins with `begin`, of
/// `maxBytes` at most. The HTTP library parses fields as they arrive, at 16
/// bytes of memory for a byte of short fields, and its limit does not count
/// those that it has parsed.
template <class Stream>
boost::asio::awaitable<boost::system::error_code>
readWholeHead(Stream &stream, boost::beast::flat_buffer &buffer,
              std::size_t maxBytes, std::string_view begin) {
  constexpr std::size_t pieceBytes = 2U << 10U;
  boost::system::error_code ec;
  for (std::size_t searched = 0;;) {
    const std::string_view text(static_cast<const char *>(buffer.data().data()),
                                buffer.size());
    const std::size_t compared = std::min(text.size(), begin.size());
    if (text.substr(0, compared) != begin.substr(0, compared)) {
      co_return boost::beast::http::error::bad_version;
    }
    const std::size_t end = text.find(HeadEnd, searched);
    if (end != std::string_view::npos && end + HeadEnd.size() <= maxBytes) {
      co_return boost::system::error_code();
    }
    if (end != std::string_view::npos || text.size() >= maxBytes) {
      co_return boost::beast::http::error::header_limit;
    }
    searched = text.size() < HeadEnd.size() ? 0 : text.size() - HeadEnd.size();
    const std::size_t room =
        std::min(pieceBytes, buffer.max_size() - buffer.size());
    const auto space = buffer.prepare(room);
    const std::size_t n = co_await stream.async_read_some(
        space, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec) {
      co_return ec;
    }
    buffer.commit(n);
  }
}

/// Reads and parses the head of a request, of at most `maxBytes`; the rest of
/// what was read stays in `buffer`.
template <class Stream, class Parser>
boost::asio::awaitable<boost::system::error_code>
readRequestHead(Stream &stream, boost::beast::flat_buffer &buffer,
                Parser &parser, std::uint32_t maxBytes) {
  boost::system::error_code ec =
      co_await readWholeHead(stream, buffer, maxBytes, "");
  if (!ec) {
    parser.header_limit(maxBytes);
    parser.eager(false);
    buffer.consume(parser.put(buffer.data(), ec));
  }
  co_return ec;
}

} // namespace nutmegsill
