/// Writes responses to one caller's connection.
#pragma once

#include "buffer_budget.h"
#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace nutmegsill::gateway {

using ResponseFields = boost::beast::http::fields;

/// A response that is sent in one piece.
struct BufferedResponse {
  unsigned Status = 0;
  ResponseFields Fields;
  std::string Body;
  /// Memory of `Body`, if it is part of a common budget.
  std::optional<BufferBudget::Lease> Memory;
};

/// Functions that send return false when the caller cannot be reached. The
/// chunks of a stream that the caller does not take yet are held, within a
/// bound, so that the target is read on.
class ResponseWriter {
public:
  /// `budget` is the memory for held chunks; without it, only the bound of one
  /// stream applies.
  explicit ResponseWriter(boost::asio::ip::tcp::socket &caller,
                          BufferBudget *budget = nullptr);

  /// Sets the time after which a caller that takes no byte counts as gone.
  void setStallTimeout(Duration timeout) { StallTimeout = timeout; }

  /// Prepares for the next response on the connection. The response to a HEAD
  /// request has no body.
  void reset(bool keepAlive, bool isHead);

  boost::asio::awaitable<bool> write(const BufferedResponse &response);
  /// Sends the header and the first part of a chunked response.
  boost::asio::awaitable<bool> beginChunked(unsigned status,
                                            const ResponseFields &fields,
                                            std::string_view part);
  boost::asio::awaitable<bool> writeChunk(std::string_view part);
  /// Sends the last part and the last chunk, which is empty.
  boost::asio::awaitable<bool> finishChunked(std::string_view part);

  bool hasStarted() const { return Started; }
  bool hasFinished() const { return Finished; }
  bool keepsAlive() const { return KeepAlive; }
  void disableKeepAlive() { KeepAlive = false; }

private:
  boost::asio::awaitable<bool> sendBytes(std::string_view head,
                                         std::string_view body = {});

  /// Sends `text` after what is held, or holds it; waits while the bound is
  /// reached.
  boost::asio::awaitable<bool> sendChunk(std::string_view text);
  /// Sends what the caller takes of the held bytes.
  void flush();
  void waitToFlush();
  /// Waits until at most `bytes` are held; returns false if the caller takes
  /// none for too long.
  boost::asio::awaitable<bool> waitForHeld(std::size_t bytes);
  bool mayHold(std::size_t bytes);
  std::size_t heldBytes() const { return Held.size() - HeldSent; }

  /// Waits until the caller takes some bytes; returns their number.
  boost::asio::awaitable<std::size_t>
  sendSome(std::span<const boost::asio::const_buffer> parts,
           boost::system::error_code &ec);

  boost::asio::ip::tcp::socket &CallerSocket;
  Duration StallTimeout = std::chrono::seconds(15);
  bool KeepAlive = true;
  /// Only the header of the response is sent.
  bool HeaderOnly = false;
  bool Started = false;
  bool Finished = false;
  /// Bytes of chunks, of which the first `HeldSent` are sent.
  std::string Held;
  std::size_t HeldSent = 0;
  std::optional<BufferBudget::Lease> HeldMemory;
  boost::system::error_code HeldError;
  bool Flushing = false;
  /// Expires when bytes were taken, or too late.
  boost::asio::steady_timer HeldTimer;
  /// Reset with this object; pending handlers hold a weak pointer.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>();
};

} // namespace nutmegsill::gateway
