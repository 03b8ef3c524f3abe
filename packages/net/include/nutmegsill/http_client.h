/// A small HTTP/1.1 client with kept-alive connections for calls whose answers
/// fit in memory.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmegsill {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses "IP:port"; nothing for any other form.
std::optional<Endpoint> parseEndpoint(const std::string &text);

struct HttpRequest {
  /// A method of HTTP, in capitals.
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// An answer, or the reason why there is none.
struct HttpResponse {
  std::optional<unsigned> Status;
  std::string Body;
  std::string Reason;
  /// The time was used up after the connection stood.
  bool TimedOut = false;
};

/// Serves one executor; not for use from several threads.
class HttpClient {
public:
  /// Sends `request`; the whole exchange takes at most `timeout`. A call on a
  /// kept connection that the server has closed is tried once more on a new
  /// one when `mayRetry`.
  boost::asio::awaitable<HttpResponse> send(Endpoint to, HttpRequest request,
                                            Duration timeout, bool mayRetry);

private:
  using Stream = boost::beast::tcp_stream;
  boost::asio::awaitable<HttpResponse>
  exchange(Stream &stream, Endpoint to, const HttpRequest &request,
           Duration timeout, bool connectFirst, bool &reusable);
  std::map<Endpoint, std::vector<Stream>> IdleStreams;
};

} // namespace nutmegsill
