/// Identifies a request that callers repeat.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill::routing {

/// What two requests have in common if one repeats the other.
struct RequestContent {
  /// Empty on public routes.
  std::string_view Team;
  std::string_view Method;
  std::string_view HostName;
  /// Path and query.
  std::string_view Target;
  std::string_view Body;
};

/// Hash of a request's content. It is computed when first needed: until then
/// the content must not change.
class RequestIdentity {
public:
  RequestIdentity() = default;
  explicit RequestIdentity(std::uint64_t hash) : Hash(hash) {}
  explicit RequestIdentity(const RequestContent &content) : Content(content) {}

  /// 0 if unknown.
  std::uint64_t hash() const;

private:
  std::optional<RequestContent> Content;
  mutable std::optional<std::uint64_t> Hash;
};

/// 16 hexadecimal digits.
std::string formatHash(std::uint64_t hash);

} // namespace nutmegsill::routing
