/// Standard base64 with padding, and SHA-256.
#pragma once

#include <optional>
#include <string>

namespace nutmegsill {

std::string encodeBase64(const std::string &bytes);
/// Returns nullopt if `text` is not valid base64.
std::optional<std::string> decodeBase64(const std::string &text);
/// Returns the SHA-256 digest in lower-case hexadecimal.
std::string sha256Hex(const std::string &bytes);

} // namespace nutmegsill
