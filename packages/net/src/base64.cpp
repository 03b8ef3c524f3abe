#include "nutmegsill/base64.h"

#include <array>
#include <openssl/evp.h>

namespace nutmegsill {

std::string encodeBase64(const std::string &bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                      reinterpret_cast<const unsigned char *>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

std::optional<std::string> decodeBase64(const std::string &text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string out(text.size() / 4 * 3 + 1, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                      reinterpret_cast<const unsigned char *>(text.data()),
                      static_cast<int>(text.size()));
  if (n < 0) {
    return std::nullopt;
  }
  const std::size_t firstPadding = text.find('=');
  const std::size_t padding =
      firstPadding == std::string::npos ? 0 : text.size() - firstPadding;
  if (padding > 2 ||
      text.find_first_not_of('=', text.size() - padding) != std::string::npos) {
    return std::nullopt;
  }
  out.resize(static_cast<std::size_t>(n) - padding);
  return out;
}

std::string sha256Hex(const std::string &bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &n, EVP_sha256(),
             nullptr);
  constexpr const char *digits = "0123456789abcdef";
  std::string out;
  for (unsigned int i = 0; i < n; ++i) {
    out.push_back(digits[digest[i] >> 4U]);
    out.push_back(digits[digest[i] & 0xfU]);
  }
  return out;
}

} // namespace nutmegsill
