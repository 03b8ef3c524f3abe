#include "response_writer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <cstdio>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view LastChunk = "0\r\n\r\n";

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

void ResponseWriter::reset(bool keepAlive, bool isHead) {
  KeepAlive = keepAlive;
  HeaderOnly = isHead;
  Started = false;
  Finished = false;
}

asio::awaitable<bool> ResponseWriter::sendBytes(std::string_view head,
                                                std::string_view body) {
  const std::array<asio::const_buffer, 2> parts{
      asio::buffer(head.data(), head.size()),
      asio::buffer(body.data(), body.size())};
  boost::system::error_code ec;
  Started = true;
  co_await asio::async_write(CallerSocket, parts,
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
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
  Finished = true;
  const std::string_view body =
      HeaderOnly ? std::string_view() : std::string_view(response.Body);
  const bool sent = co_await sendBytes(head, body);
  co_return sent;
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
  const bool sent = co_await sendBytes(text);
  co_return sent;
}

asio::awaitable<bool> ResponseWriter::finishChunked(std::string_view part) {
  Finished = true;
  if (HeaderOnly) {
    co_return true;
  }
  std::string text;
  appendChunk(text, part);
  text.append(LastChunk);
  const bool sent = co_await sendBytes(text);
  co_return sent;
}

} // namespace nutmegsill::gateway
