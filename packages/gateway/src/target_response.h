/// Reads the response of a target.
#pragma once

#include "buffer_budget.h"
#include "nutmegsill/platform/headers.h"
#include "target_connection_pool.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace nutmegsill::gateway {

/// Largest response body that is buffered until it is complete.
constexpr std::size_t MaxBufferedBodyBytes = 8U << 20U;

/// A body whose capacity is part of the common budget.
struct BufferedBody {
  explicit BufferedBody(BufferBudget &budget) : Memory(budget) {}

  /// Makes room for `bytes` in all; returns false if the budget has none.
  bool reserve(std::size_t bytes);

  std::string Text;
  BufferBudget::Lease Memory;
};

/// What is known of a response before it arrives.
struct ExpectedResponse {
  std::string RequestId;
  /// It has no body, whatever its header says.
  bool HasNoBody = false;
  /// It must name the request: the connection has served an earlier one.
  bool MustBeNamed = false;
  /// Called with the headers of late responses to earlier requests.
  std::function<void(const platform::ResponseHead &)> OnLateHead;
};

/// The response on one connection. Not thread-safe; `connection` must outlive
/// the calls.
class TargetResponse {
public:
  using Socket = TargetConnectionPool::Socket;
  TargetResponse(Socket &connection, BufferBudget &buffers,
                 ExpectedResponse expected);

  /// Reads the header of the final response; skips interim responses and late
  /// ones. Returns false on errors, described by `reason`.
  boost::asio::awaitable<bool> readHead();
  /// Reads the next part of the body; a response without content is complete
  /// with its header.
  boost::asio::awaitable<boost::system::error_code> readPart();
  /// Reads the rest of the body. Returns false on errors, described by
  /// `reason`.
  boost::asio::awaitable<bool> readBody(BufferedBody &body,
                                        std::size_t maxBytes);

  const platform::ResponseHead &head() const { return Head; }
  unsigned status() const { return Status; }
  const boost::beast::http::fields &fields() const {
    return Parser->get().base();
  }
  /// What the last `readPart` has read.
  std::string_view part() const { return {PartBuffer.data(), PartBytes}; }
  bool isComplete() const { return Parser && Parser->is_done(); }
  /// The body has neither a length nor chunks.
  bool endsWithConnection() const { return Parser->need_eof(); }
  /// Another request may be sent on the connection.
  bool leavesConnectionUsable() const;
  const std::string &reason() const { return Reason; }
  /// The error of the connection that ended `readHead`, if any.
  boost::system::error_code headError() const { return HeadError; }

private:
  static constexpr std::size_t PartBufferBytes = 4U << 10U;
  /// The HTTP library throws at fields of 64 KB, also in trailers.
  static constexpr std::size_t MaxReadAheadBytes = 62U << 10U;

  bool fail(std::string reason);

  Socket &Connection;
  BufferBudget &Buffers;
  ExpectedResponse Expected;
  /// Bounded, since the parser waits for the end of a chunk's extension.
  boost::beast::flat_buffer Buffer{MaxReadAheadBytes};
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      Parser;
  std::array<char, PartBufferBytes> PartBuffer{};
  std::size_t PartBytes = 0;
  platform::ResponseHead Head;
  unsigned Status = 0;
  std::string Reason;
  boost::system::error_code HeadError;
};

} // namespace nutmegsill::gateway
