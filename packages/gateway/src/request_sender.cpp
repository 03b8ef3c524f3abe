#include "request_sender.h"

#include "clock.h"
#include "nutmegsill/connection_end.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

/// Time without progress after which a target that has ended its response is
/// taken for one that reads no more.
constexpr milliseconds MaxStall{300};
constexpr milliseconds PollInterval{5};

} // namespace

void RequestSender::start(Socket &connection,
                          const std::array<asio::const_buffer, 2> &parts) {
  SentAt = bootTimeNow();
  Sending = true;
  TotalBytes = asio::buffer_size(parts);
  End.emplace(connection.get_executor(), asio::steady_timer::time_point::max());
  asio::async_write(
      connection, parts,
      [this](boost::system::error_code ec, std::size_t bytes) {
        SentBytes = bytes;
        return asio::transfer_all()(ec, bytes);
      },
      [this](boost::system::error_code ec, std::size_t bytes) {
        Sending = false;
        SentAt = bootTimeNow();
        Error = ec;
        SentBytes = bytes;
        End->cancel();
      });
}

asio::awaitable<void> RequestSender::wait() {
  boost::system::error_code ec;
  while (Sending) {
    co_await End->async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<bool> RequestSender::endsInOrder(Socket &connection) {
  boost::system::error_code ec;
  asio::steady_timer timer(connection.get_executor());
  std::size_t before = TotalBytes;
  for (milliseconds stalled{0};
       stalled < MaxStall && !Error && connection.is_open();) {
    const ConnectionEnd end = connectionEnd(connection.native_handle());
    const std::size_t left = TotalBytes - SentBytes + end.UnacknowledgedBytes;
    if (!end.IsOrderly || left == 0) {
      co_return end.IsOrderly;
    }
    stalled = left < before ? milliseconds(0) : stalled + PollInterval;
    before = left;
    timer.expires_after(PollInterval);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return false;
}

std::string RequestSender::describe() const {
  if (SentBytes == TotalBytes && !Error) {
    return {};
  }
  return std::to_string(TotalBytes - SentBytes) + " of " +
         std::to_string(TotalBytes) + " bytes of the request not sent" +
         (Error ? ": " + Error.message() : "");
}

} // namespace nutmegsill::gateway
