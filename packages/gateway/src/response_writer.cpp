#include "response_writer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view LastChunk = "0\r\n\r\n";
/// Bytes of one stream that are held for a caller that does not read: some ten
/// seconds of a usual stream, for which a target would not wait.
constexpr std::size_t MaxHeldBytes = 256U << 10U;

/// Whether responses with this status end with their header (RFC 9112, 6.3).
bool hasNoBody(unsigned status) { return status == 204 || status == 304; }

std::string formatHead(unsigned status, const ResponseFields &fields,
                       bool keepAlive) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  const boost::beast::string_view reason =
      http::obsolete_reason(http::int_to_status(status));
  text.append(reason.data(), reason.size()).append("\r\n");
  for (const auto &it : fields) {
    text.append(it.name_string().data(), it.name_string().size());
    text.append(": ");
    text.append(it.value().data(), it.value().size());
    text.append("\r\n");
  }
  if (!keepAlive) {
    text.append("Connection: close\r\n");
  }
  return text;
}

void appendChunk(std::string &text, std::string_view part) {
  if (part.empty()) {
    return;
  }
  std::array<char, 24> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
  text.append(size.data(), static_cast<std::size_t>(n));
  text.append(part);
  text.append("\r\n");
}

} // namespace

ResponseWriter::ResponseWriter(asio::ip::tcp::socket &caller,
                               BufferBudget *budget)
    : CallerSocket(caller), HeldTimer(caller.get_executor()) {
  if (budget != nullptr) {
    HeldMemory.emplace(*budget);
  }
}

void ResponseWriter::reset(bool keepAlive, bool isHead) {
  KeepAlive = keepAlive;
  HeaderOnly = isHead;
  Started = false;
  Finished = false;
}

asio::awaitable<std::size_t>
ResponseWriter::sendSome(std::span<const asio::const_buffer> parts,
                         boost::system::error_code &ec) {
  asio::steady_timer timer(CallerSocket.get_executor(), StallTimeout);
  const std::shared_ptr<bool> waiting = std::make_shared<bool>(true);
  timer.async_wait([this, waiting = std::weak_ptr<bool>(waiting)](
                       boost::system::error_code timerError) {
    if (!timerError && !waiting.expired()) {
      boost::system::error_code ignored;
      CallerSocket.cancel(ignored);
    }
  });
  const std::size_t n = co_await CallerSocket.async_write_some(
      parts, asio::redirect_error(asio::use_awaitable, ec));
  co_return n;
}

asio::awaitable<bool> ResponseWriter::sendBytes(std::string_view head,
                                                std::string_view body) {
  std::array<asio::const_buffer, 2> parts{
      asio::buffer(head.data(), head.size()),
      asio::buffer(body.data(), body.size())};
  Started = true;
  boost::system::error_code ec;
  CallerSocket.non_blocking(true, ec);
  std::size_t n = CallerSocket.write_some(parts, ec);
  if (ec == asio::error::would_block) {
    ec = {};
  }
  for (;;) {
    for (asio::const_buffer &it : parts) {
      const std::size_t taken = std::min(n, it.size());
      it += taken;
      n -= taken;
    }
    if (ec || asio::buffer_size(parts) == 0) {
      break;
    }
    n = co_await sendSome(parts, ec);
  }
  co_return !ec;
}

bool ResponseWriter::mayHold(std::size_t bytes) {
  return bytes <= MaxHeldBytes && (!HeldMemory || HeldMemory->resize(bytes));
}

void ResponseWriter::flush() {
  while (heldBytes() > 0 && !HeldError) {
    const std::size_t n = CallerSocket.write_some(
        asio::buffer(Held.data() + HeldSent, heldBytes()), HeldError);
    HeldSent += n;
    if (n > 0) {
      HeldTimer.cancel();
    }
  }
  if (HeldError == asio::error::would_block) {
    HeldError = {};
    waitToFlush();
    return;
  }
  HeldTimer.cancel();
  if (!HeldError) {
    Held = std::string();
    HeldSent = 0;
    mayHold(0);
  }
}

void ResponseWriter::waitToFlush() {
  if (Flushing) {
    return;
  }
  Flushing = true;
  CallerSocket.async_wait(asio::ip::tcp::socket::wait_write,
                          [this, lifetime = std::weak_ptr<bool>(LifetimeToken)](
                              boost::system::error_code ec) {
                            if (lifetime.expired()) {
                              return;
                            }
                            Flushing = false;
                            // A wait for bytes of the caller may have been
                            // cancelled.
                            if (ec && ec != asio::error::operation_aborted) {
                              HeldError = ec;
                            }
                            flush();
                          });
}

asio::awaitable<bool> ResponseWriter::waitForHeld(std::size_t bytes) {
  while (heldBytes() > bytes && !HeldError) {
    const std::size_t before = heldBytes();
    boost::system::error_code ec;
    HeldTimer.expires_after(StallTimeout);
    co_await HeldTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && heldBytes() == before) {
      HeldError = asio::error::timed_out;
    }
  }
  co_return !HeldError;
}

asio::awaitable<bool> ResponseWriter::sendChunk(std::string_view text) {
  if (HeldError) {
    co_return false;
  }
  if (heldBytes() == 0) {
    boost::system::error_code ec;
    CallerSocket.non_blocking(true, ec);
    const std::size_t n =
        CallerSocket.write_some(asio::buffer(text.data(), text.size()), ec);
    if (ec && ec != asio::error::would_block) {
      co_return false;
    }
    text.remove_prefix(n);
  }
  if (text.empty()) {
    co_return true;
  }
  if (heldBytes() > 0 && !mayHold(heldBytes() + text.size())) {
    const bool drained = co_await waitForHeld(0);
    if (!drained) {
      co_return false;
    }
  }
  Held.erase(0, HeldSent);
  HeldSent = 0;
  Held.append(text);
  mayHold(Held.size());
  waitToFlush();
  co_return true;
}

asio::awaitable<bool> ResponseWriter::write(const BufferedResponse &response) {
  HeaderOnly = HeaderOnly || hasNoBody(response.Status);
  std::string head = formatHead(response.Status, response.Fields, KeepAlive);
  if (!HeaderOnly || !response.Body.empty()) {
    head.append("Content-Length: ")
        .append(std::to_string(response.Body.size()))
        .append("\r\n");
  }
  head.append("\r\n");
  const std::string_view body =
      HeaderOnly ? std::string_view() : std::string_view(response.Body);
  Finished = co_await sendBytes(head, body);
  co_return Finished;
}

asio::awaitable<bool> ResponseWriter::beginChunked(unsigned status,
                                                   const ResponseFields &fields,
                                                   std::string_view part) {
  HeaderOnly = HeaderOnly || hasNoBody(status);
  std::string text = formatHead(status, fields, KeepAlive);
  if (HeaderOnly) {
    text.append("\r\n");
  } else {
    text.append("Transfer-Encoding: chunked\r\n\r\n");
    appendChunk(text, part);
  }
  const bool sent = co_await sendBytes(text);
  co_return sent;
}

asio::awaitable<bool> ResponseWriter::writeChunk(std::string_view part) {
  if (part.empty() || HeaderOnly) {
    co_return true;
  }
  std::string text;
  appendChunk(text, part);
  const bool sent = co_await sendChunk(text);
  co_return sent;
}

asio::awaitable<bool> ResponseWriter::finishChunked(std::string_view part) {
  if (HeaderOnly) {
    Finished = true;
    co_return true;
  }
  std::string text;
  appendChunk(text, part);
  text.append(LastChunk);
  const bool drained = co_await waitForHeld(0);
  if (drained) {
    Finished = co_await sendBytes(text);
  }
  co_return Finished;
}

} // namespace nutmegsill::gateway
