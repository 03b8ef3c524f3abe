#include "raw_caller.h"

#include "nutmegsill/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string RawAnswer::field(const std::string &name) const {
  const auto it = Fields.find(name);
  return it == Fields.end() ? std::string() : it->second;
}

struct RawCaller::Parts {
  asio::io_context Io;
  beast::tcp_stream Stream{Io};
  beast::flat_buffer Buffer;
};

RawCaller::RawCaller(const std::string &address)
    : Impl(std::make_unique<Parts>()) {
  boost::system::error_code ec;
  Impl->Stream.socket().connect(*parseEndpoint(address), ec);
}

RawCaller::~RawCaller() = default;

RawAnswer RawCaller::exchange(const std::string &bytes) {
  constexpr timeval patience{15, 0};
  ::setsockopt(Impl->Stream.socket().native_handle(), SOL_SOCKET, SO_RCVTIMEO,
               &patience, sizeof(patience));
  boost::system::error_code ec;
  asio::write(Impl->Stream.socket(), asio::buffer(bytes), ec);
  RawAnswer answer;
  http::response_parser<http::string_body> parser;
  if (!ec) {
    http::read(Impl->Stream.socket(), Impl->Buffer, parser, ec);
  }
  if (parser.is_header_done()) {
    answer.Status = parser.get().result_int();
    for (const auto &it : parser.get()) {
      answer.Fields[std::string(it.name_string())] = std::string(it.value());
    }
    answer.Body = parser.get().body();
  }
  answer.Whole = !ec && parser.is_done();
  return answer;
}

void RawCaller::leaveAfter(const std::string &bytes) {
  boost::system::error_code ec;
  asio::write(Impl->Stream.socket(), asio::buffer(bytes), ec);
  Impl->Stream.socket().close(ec);
}

RawAnswer RawCaller::call(const RawCall &call) {
  std::string text =
      call.Method + " " + call.Path +
      " HTTP/1.1\r\nHost: models.example\r\nRequest-Id: " + call.Id +
      "\r\nDeadline-Ms: 4000\r\n";
  if (!call.Key.empty()) {
    text += "Authorization: Bearer " + call.Key + "\r\n";
  }
  if (call.Path.starts_with("/stream/")) {
    text += "Model: m\r\nTokens: 300,40\r\nPrefix-Hash: aa:200,bb:100\r\n";
  }
  const std::string body = call.Method == "GET" ? "" : call.Body;
  text += call.ExtraFields;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return exchange(text);
}

} // namespace nutmegsill::standin
