/// Sends a request to a target while its response is read.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <optional>
#include <string>

namespace nutmegsill::gateway {

/// Not thread-safe; must outlive its sending.
class RequestSender {
public:
  using Socket = boost::asio::ip::tcp::socket;

  /// The bytes must live until `isSending` is false.
  void start(Socket &connection,
             const std::array<boost::asio::const_buffer, 2> &parts);
  bool isSending() const { return Sending; }
  /// Waits until nothing is being sent.
  boost::asio::awaitable<void> wait();
  /// The request was handed to the system whole.
  bool isSent() const { return !Sending && !Error; }
  /// Time of the start, or of the end if it has ended.
  Time sentAt() const { return SentAt; }
  /// Whether a body that ended with the connection is whole: the peer ended in
  /// good order and its system has the request. Waits for the rest of the
  /// request as long as the peer takes it.
  boost::asio::awaitable<bool> endsInOrder(Socket &connection);
  /// What is unsent and why, for the log; empty if nothing is.
  std::string describe() const;

private:
  bool Sending = false;
  boost::system::error_code Error;
  std::size_t SentBytes = 0;
  std::size_t TotalBytes = 0;
  Time SentAt{};
  /// Expires when `Sending` ends.
  std::optional<boost::asio::steady_timer> End;
};

} // namespace nutmegsill::gateway
