/// HTTP/1.1 client with kept-alive connections, for requests whose responses
/// fit in memory.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace nutmegsill {

using Endpoint = boost::asio::ip::tcp::endpoint;

/// Parses "IP:port", an IPv6 address in brackets; returns nullopt for any other
/// form.
std::optional<Endpoint> parseEndpoint(const std::string &text);
std::string formatEndpoint(const Endpoint &endpoint);

struct HttpRequest {
  /// HTTP method in upper case.
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// A response. If none was received completely, `Status` is empty and `Reason`
/// describes the error.
struct HttpResponse {
  std::optional<unsigned> Status;
  boost::beast::http::fields Fields;
  std::string Body;
  std::string Reason;
  /// The timeout expired after the connection was established.
  bool TimedOut = false;
};

/// Not thread-safe: use from one executor only.
class HttpClient {
public:
  /// Sends `request` and reads the response. `timeout` limits sending and
  /// receiving of one attempt; connecting has a time limit of its own. With
  /// `mayRetry`, an idle connection is used if there is one; if it fails other
  /// than by timeout, for example because the server closed it, the request is
  /// sent once more on a new connection. Without `mayRetry`, a new connection
  /// is always used.
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
