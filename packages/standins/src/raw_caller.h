/// A caller that sees the bytes of its answers. Test-only.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace nutmegsill::standin {

/// What a caller saw on its socket. `Status` is 0 without an answer.
struct RawAnswer {
  unsigned Status = 0;
  std::map<std::string, std::string> Fields;
  std::string Body;
  /// The answer ended as its framing says.
  bool Whole = false;

  /// The value of a field; empty without it.
  std::string field(const std::string &name) const;
};

struct RawCall {
  std::string Method = "POST";
  std::string Path;
  std::string Id;
  std::string Key = "key-prints";
  std::string Body = "a request";
  std::string ExtraFields;
};

/// One connection of a caller.
class RawCaller {
public:
  explicit RawCaller(const std::string &address);
  ~RawCaller();
  RawAnswer call(const RawCall &call);
  /// Sends bytes as they are and reads one answer.
  RawAnswer exchange(const std::string &bytes);
  /// Sends bytes and closes the connection.
  void leaveAfter(const std::string &bytes);

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace nutmegsill::standin
