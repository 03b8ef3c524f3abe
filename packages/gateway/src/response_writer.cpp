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

void ResponseWriter::reset(bool keepAlive) {
  KeepAlive = keepAlive;
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
  std::string head = formatHead(response.Status, response.Fields, KeepAlive);
  head.append("Content-Length: ")
      .append(std::to_string(response.Body.size()))
      .append("\r\n\r\n");
  Finished = true;
  const bool sent = co_await sendBytes(head, response.Body);
  co_return sent;
}

asio::awaitable<bool> ResponseWriter::beginChunked(unsigned status,
                                                   const ResponseFields &fields,
                                                   std::string_view part) {
  std::string text = formatHead(status, fields, KeepAlive);
  text.append("Transfer-Encoding: chunked\r\n\r\n");
  appendChunk(text, part);
  const bool sent = co_await sendBytes(text);
  co_return sent;
}

asio::awaitable<bool> ResponseWriter::writeChunk(std::string_view part) {
  std::string text;
  appendChunk(text, part);
  if (text.empty()) {
    co_return true;
  }
  const bool sent = co_await sendBytes(text);
  co_return sent;
}

asio::awaitable<bool> ResponseWriter::finishChunked(std::string_view part) {
  std::string text;
  appendChunk(text, part);
  text.append(LastChunk);
  Finished = true;
  const bool sent = co_await sendBytes(text);
  co_return sent;
}

} // namespace nutmegsill::gateway
