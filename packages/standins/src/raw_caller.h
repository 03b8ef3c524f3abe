/// A caller that sees the bytes of its answers. Test-only.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace nutmegsill::standin {

/// What a caller saw on its socket. `Status` is 0 without an answer.
struct RawResponse {
  unsigned Status = 0;
  std::map<std::string, std::string> HeaderFields;
  std::string Body;
  /// The answer ended as its framing says.
  bool Complete = false;

  /// The value of a field; empty without it.
  std::string headerField(const std::string &name) const;
};

struct RawRequest {
  std::string Method = "POST";
  std::string Path;
  std::string RequestId;
  std::string ApiKey = "key-prints";
  std::string Body = "a request";
  std::string ExtraHeaderFields;
};

/// One connection of a caller.
class RawCaller {
public:
  explicit RawCaller(const std::string &address);
  ~RawCaller();
  RawResponse send(const RawRequest &request);
  /// Sends bytes as they are and reads one answer.
  RawResponse exchange(const std::string &bytes);
  /// Sends bytes and closes the connection.
  void sendAndClose(const std::string &bytes);

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace nutmegsill::standin
