/// HTTP/1.1 client for tests that checks whether responses are complete.
/// Test-only.
#pragma once

#include <chrono>
#include <cstddef>
#include <limits>
#include <map>
#include <memory>
#include <string>

namespace nutmegsill::standin {

/// A response as received. `Status` is 0 when no response header arrived.
struct RawResponse {
  unsigned Status = 0;
  std::map<std::string, std::string> HeaderFields;
  std::string Body;
  /// The body was received up to the end that its framing states.
  bool Complete = false;

  /// Value of a header field; empty when the field is absent. `name` must match
  /// the received name including its case.
  std::string headerField(const std::string &name) const;
  /// Time that the response asks its caller to wait; 0 if it does not.
  std::chrono::milliseconds retryAfter() const;
};

/// A request. Its header also holds "Deadline-Ms: 4000" and, when the path
/// starts with "/stream/", the fields that describe a prompt.
struct RawRequest {
  std::string Method = "POST";
  std::string Path;
  std::string RequestId;
  /// Sent as a bearer token unless empty.
  std::string ApiKey = "key-prints";
  /// Not sent with the method GET.
  std::string Body = "a request";
  /// Complete header lines, each with its line end.
  std::string ExtraHeaderFields;
  /// The caller stops reading when it has so many bytes of the body.
  std::size_t MaxBodyBytes = std::numeric_limits<std::size_t>::max();
};

/// One connection to a router.
class RawCaller {
public:
  /// Connects to `address` ("IP:port"). If that fails, all responses have
  /// status 0.
  explicit RawCaller(const std::string &address);
  ~RawCaller();
  /// Sends the request and reads the response.
  RawResponse send(const RawRequest &request);
  /// Sends bytes unchanged and reads one response.
  RawResponse
  exchange(const std::string &bytes,
           std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max());
  /// Sends bytes without waiting for a response.
  void write(const std::string &bytes);
  /// Whether the router closes the connection within `timeout` without sending
  /// anything.
  bool isClosedWithin(std::chrono::milliseconds timeout);
  /// Whether the connection was established.
  bool isConnected() const;
  /// Sends bytes and closes the connection without reading a response.
  void sendAndClose(const std::string &bytes);

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace nutmegsill::standin
