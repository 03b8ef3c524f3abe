#include "target_response.h"

#include "nutmegsill/transfer_coding.h"
#include "nutmegsill/whole_head.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint32_t MaxTargetHeaderBytes = 32U << 10U;
/// Largest body of a response to an earlier request that is skipped.
constexpr std::size_t MaxSkippedBodyBytes = 64U << 10U;
/// Heads that may precede that of the response: interim responses, and
/// duplicates of earlier ones.
constexpr int MaxSkippedHeads = 8;
constexpr unsigned FirstFinalStatus = 200;

} // namespace

bool BufferedBody::reserve(std::size_t bytes) {
  if (bytes <= Text.capacity()) {
    return true;
  }
  const std::size_t capacity = std::max(bytes, 2 * Text.capacity());
  if (!Memory.resize(capacity)) {
    return false;
  }
  Text.reserve(capacity);
  return true;
}

TargetResponse::TargetResponse(Socket &connection, BufferBudget &buffers,
                               ExpectedResponse expected)
    : Connection(connection), Buffers(buffers), Expected(std::move(expected)) {}

bool TargetResponse::fail(std::string reason) {
  Reason = std::move(reason);
  return false;
}

bool TargetResponse::leavesConnectionUsable() const {
  return isComplete() && Parser->get().keep_alive() && !Parser->need_eof() &&
         Buffer.size() == 0 && !Head.RequestId.empty();
}

asio::awaitable<bool> TargetResponse::readHead() {
  for (int skipped = 0; skipped <= MaxSkippedHeads; ++skipped) {
    Parser.emplace();
    Parser->body_limit(boost::none);
    Parser->skip(Expected.HasNoBody);
    HeadError = co_await readParsedHead(Connection, Buffer, *Parser,
                                        MaxTargetHeaderBytes);
    if (HeadError) {
      co_return fail("cannot read the response header: " + HeadError.message());
    }
    if (hasUnknownTransferCoding(Parser->get())) {
      co_return fail("unknown transfer coding");
    }
    Status = Parser->get().result_int();
    Head = platform::parseResponseHead(Parser->get().base());
    if (Status < FirstFinalStatus) {
      continue;
    }
    const bool isUnnamed = Head.RequestId.empty();
    if (isUnnamed && Expected.MustBeNamed) {
      co_return fail("response without a request id on a kept connection");
    }
    if (isUnnamed || Head.RequestId == Expected.RequestId) {
      co_return true;
    }
    Expected.OnLateHead(Head);
    // Skips a duplicate response to an earlier request on this connection.
    BufferedBody ignored(Buffers);
    const bool complete = co_await readBody(ignored, MaxSkippedBodyBytes);
    if (!complete || !Parser->get().keep_alive()) {
      co_return fail("response to another request");
    }
  }
  co_return fail("more than " + std::to_string(MaxSkippedHeads) +
                 " heads before the response");
}

asio::awaitable<boost::system::error_code> TargetResponse::readPart() {
  boost::system::error_code ec;
  PartBytes = 0;
  if (Parser->is_done()) {
    co_return ec;
  }
  http::buffer_body::value_type &body = Parser->get().body();
  body.data = PartBuffer.data();
  body.size = PartBuffer.size();
  co_await http::async_read_some(Connection, Buffer, *Parser,
                                 asio::redirect_error(asio::use_awaitable, ec));
  if (ec == http::error::need_buffer) {
    ec = {};
  }
  PartBytes = PartBuffer.size() - body.size;
  co_return ec;
}

asio::awaitable<bool> TargetResponse::readBody(BufferedBody &body,
                                               std::size_t maxBytes) {
  const boost::optional<std::uint64_t> stated = Parser->content_length();
  bool tooLarge = stated && !Parser->is_done() && *stated > maxBytes;
  while (!Parser->is_done() && !tooLarge) {
    const boost::system::error_code ec = co_await readPart();
    if (ec) {
      co_return fail("answer cut: " + ec.message());
    }
    const std::size_t size = body.Text.size() + PartBytes;
    if (size > maxBytes) {
      tooLarge = true;
      break;
    }
    if (!body.reserve(size)) {
      co_return fail("no memory to buffer more than " +
                     std::to_string(body.Text.size()) +
                     " bytes of the response body");
    }
    body.Text.append(part());
  }
  co_return !tooLarge ||
      fail("response body larger than " + std::to_string(maxBytes) + " bytes");
}

} // namespace nutmegsill::gateway
