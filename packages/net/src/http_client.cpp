#include "nutmegsill/http_client.h"

#include "nutmegsill/connection_end.h"
#include "nutmegsill/strict_head.h"
#include "nutmegsill/transfer_coding.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>

namespace nutmegsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// A response with a larger body is an error; a page of the store's listing has
/// about 1 MB.
constexpr std::uint64_t MaxResponseBodyBytes = 8ULL << 20U;
/// Bounds what the parser keeps while it waits for the end of a chunk's
/// extension, or of a trailer: the HTTP library throws at fields of 64 KB.
constexpr std::size_t MaxReadAheadBytes = 62U << 10U;
constexpr std::uint32_t MaxHeadBytes = 8U << 10U;
constexpr unsigned FirstFinalStatus = 200;
constexpr std::size_t MaxIdlePerEndpoint = 8;
/// Time limit for connecting. A lost SYN is sent again only after a second; the
/// shorter limit lets a new attempt start earlier.
constexpr milliseconds ConnectTimeout{700};

http::request<http::string_body> makeRequest(const Endpoint &to,
                                             const HttpRequest &request) {
  const http::verb verb = http::string_to_verb(request.Method);
  http::request<http::string_body> message{verb, request.Path, 11};
  message.set(http::field::host, formatEndpoint(to));
  for (const auto &[name, value] : request.Headers) {
    message.set(name, value);
  }
  message.body() = request.Body;
  message.prepare_payload();
  return message;
}

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string &text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || text.find('\0') != std::string::npos) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const asio::ip::address address = asio::ip::make_address(host, ec);
  std::uint16_t port = 0;
  const char *end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data() + colon + 1, end, port);
  if (ec || address.is_v6() != bracketed || parsed.ec != std::errc() ||
      parsed.ptr != end) {
    return std::nullopt;
  }
  return Endpoint(address, port);
}

std::string formatEndpoint(const Endpoint &endpoint) {
  const std::string host = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + host + "]:" + port
                                    : host + ":" + port;
}

asio::awaitable<HttpResponse>
HttpClient::exchange(Stream &stream, Endpoint to, const HttpRequest &request,
                     Duration timeout, bool connectFirst, bool &reusable) {
  boost::system::error_code ec;
  const auto completionToken = [&ec] {
    return asio::redirect_error(asio::use_awaitable, ec);
  };
  HttpResponse response;
  if (connectFirst) {
    stream.expires_after(std::min<Duration>(timeout, ConnectTimeout));
    co_await stream.async_connect(to, completionToken());
    if (ec) {
      response.Reason = "cannot connect: " + ec.message();
      co_return response;
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  }
  stream.expires_after(timeout);
  const http::request<http::string_body> message = makeRequest(to, request);
  co_await http::async_write(stream, message, completionToken());
  if (ec) {
    response.Reason = "cannot send: " + ec.message();
    response.TimedOut = ec == beast::error::timeout;
    co_return response;
  }
  beast::flat_buffer buf(MaxReadAheadBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(MaxResponseBodyBytes);
  const std::optional<ResponseHeadError> headError =
      co_await readResponseHead(stream, buf, parser, MaxHeadBytes);
  const bool isCoded = !headError && hasUnknownTransferCoding(parser.get());
  // What follows an interim response would answer the next request.
  const bool isInterim =
      !headError && parser.get().result_int() < FirstFinalStatus;
  if (headError || isCoded || isInterim) {
    response.Reason = headError   ? headError->Reason
                      : isInterim ? "interim response"
                                  : "unknown transfer coding";
    response.Reason.insert(0, "no response: ");
    response.TimedOut = headError && headError->Code == beast::error::timeout;
    co_return response;
  }
  // The library adds trailers to the fields of the head.
  response.Fields = parser.get().base();
  if (!parser.is_done()) {
    co_await http::async_read(stream, buf, parser, completionToken());
  }
  if (!ec && parser.need_eof()) {
    const ConnectionEnd end = connectionEnd(stream.socket().native_handle());
    if (!end.IsOrderly || end.UnacknowledgedBytes > 0) {
      ec = http::error::partial_message;
    }
  }
  if (ec) {
    response.Reason = "incomplete response: " + ec.message();
    response.TimedOut = ec == beast::error::timeout;
    co_return response;
  }
  reusable = parser.get().keep_alive() && !parser.need_eof() && buf.size() == 0;
  response.Status = parser.get().result_int();
  response.Body = std::move(parser.get().body());
  co_return response;
}

asio::awaitable<HttpResponse> HttpClient::send(Endpoint to, HttpRequest request,
                                               Duration timeout,
                                               bool mayRetry) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  bool reusable = false;
  std::vector<Stream> &idle = IdleStreams[to];
  while (!idle.empty() && !isQuiet(idle.back().socket().native_handle())) {
    idle.pop_back();
  }
  if (mayRetry && !idle.empty()) {
    Stream reused = std::move(idle.back());
    idle.pop_back();
    HttpResponse response =
        co_await exchange(reused, to, request, timeout, false, reusable);
    if (response.Status) {
      if (reusable && IdleStreams[to].size() < MaxIdlePerEndpoint) {
        IdleStreams[to].push_back(std::move(reused));
      }
      co_return response;
    }
    if (response.TimedOut) {
      co_return response;
    }
  }
  Stream opened(executor);
  HttpResponse response =
      co_await exchange(opened, to, request, timeout, true, reusable);
  if (response.Status && reusable &&
      IdleStreams[to].size() < MaxIdlePerEndpoint) {
    IdleStreams[to].push_back(std::move(opened));
  }
  co_return response;
}

} // namespace nutmegsill
