/// Standard base64 with padding.
#pragma once

#include <optional>
#include <string>

namespace nutmegsill {

std::string encodeBase64(const std::string &bytes);
/// Nothing for text that is no base64.
std::optional<std::string> decodeBase64(const std::string &text);
/// Lower-case hexadecimal SHA-256.
std::string sha256Hex(const std::string &bytes);

} // namespace nutmegsill
