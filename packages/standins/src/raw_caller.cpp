#include "raw_caller.h"

#include "nutmegsill/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <poll.h>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string RawResponse::headerField(const std::string &name) const {
  const auto it = HeaderFields.find(name);
  return it == HeaderFields.end() ? std::string() : it->second;
}

std::chrono::milliseconds RawResponse::retryAfter() const {
  const std::string seconds = headerField("Retry-After");
  return std::chrono::milliseconds(
      seconds.empty() ? 0
                      : static_cast<std::int64_t>(std::stod(seconds) * 1'000));
}

struct RawCaller::Implementation {
  asio::io_context Io;
  beast::tcp_stream Stream{Io};
  beast::flat_buffer Buffer;
};

RawCaller::RawCaller(const std::string &address)
    : Impl(std::make_unique<Implementation>()) {
  boost::system::error_code ec;
  Impl->Stream.socket().connect(*parseEndpoint(address), ec);
}

RawCaller::~RawCaller() = default;

RawResponse RawCaller::exchange(const std::string &bytes,
                                std::size_t maxBodyBytes) {
  constexpr timeval receiveTimeout{15, 0};
  ::setsockopt(Impl->Stream.socket().native_handle(), SOL_SOCKET, SO_RCVTIMEO,
               &receiveTimeout, sizeof(receiveTimeout));
  boost::system::error_code ec;
  asio::write(Impl->Stream.socket(), asio::buffer(bytes), ec);
  RawResponse response;
  http::response_parser<http::string_body> parser;
  while (!ec && !parser.is_done() &&
         parser.get().body().size() < maxBodyBytes) {
    http::read_some(Impl->Stream.socket(), Impl->Buffer, parser, ec);
  }
  if (parser.is_header_done()) {
    response.Status = parser.get().result_int();
    for (const auto &it : parser.get()) {
      response.HeaderFields[std::string(it.name_string())] =
          std::string(it.value());
    }
    response.Body = parser.get().body();
  }
  response.Complete = !ec && parser.is_done();
  return response;
}

void RawCaller::write(const std::string &bytes) {
  boost::system::error_code ec;
  asio::write(Impl->Stream.socket(), asio::buffer(bytes), ec);
}

bool RawCaller::isClosedWithin(std::chrono::milliseconds timeout) {
  pollfd polled{Impl->Stream.socket().native_handle(), POLLIN, 0};
  char next = 0;
  return ::poll(&polled, 1, static_cast<int>(timeout.count())) == 1 &&
         ::recv(polled.fd, &next, 1, MSG_PEEK) <= 0;
}

bool RawCaller::isConnected() const {
  boost::system::error_code ec;
  Impl->Stream.socket().remote_endpoint(ec);
  return !ec;
}

void RawCaller::sendAndClose(const std::string &bytes) {
  boost::system::error_code ec;
  asio::write(Impl->Stream.socket(), asio::buffer(bytes), ec);
  Impl->Stream.socket().close(ec);
}

RawResponse RawCaller::send(const RawRequest &request) {
  std::string text =
      request.Method + " " + request.Path +
      " HTTP/1.1\r\nHost: models.example\r\nRequest-Id: " + request.RequestId +
      "\r\nDeadline-Ms: 4000\r\n";
  if (!request.ApiKey.empty()) {
    text += "Authorization: Bearer " + request.ApiKey + "\r\n";
  }
  if (request.Path.starts_with("/stream/")) {
    text += "Model: m\r\nTokens: 300,40\r\nPrefix-Hash: aa:200,bb:100\r\n";
  }
  const std::string body = request.Method == "GET" ? "" : request.Body;
  text += request.ExtraHeaderFields;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return exchange(text, request.MaxBodyBytes);
}

} // namespace nutmegsill::standin
