#include "nutmegsill/strict_head.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace nutmegsill {

namespace {

using boost::beast::iequals;

constexpr std::string_view LineEnd = "\r\n";
constexpr std::size_t VersionBytes = std::string_view("HTTP/1.1").size();
constexpr std::size_t StatusDigits = 3;
constexpr unsigned FirstStatus = 100;
constexpr unsigned SwitchingStatus = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
/// Bytes of a field's name that are quoted.
constexpr std::size_t MaxQuotedBytes = 32;

bool isDigit(char c) { return c >= '0' && c <= '9'; }

/// RFC 9110, 5.6.2.
bool isTokenCharacter(char c) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         marks.find(c) != std::string_view::npos;
}

bool isControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

bool hasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), isControl);
}

std::string quote(std::string_view text) {
  std::string out = "\"";
  for (const char c : text.substr(0, MaxQuotedBytes)) {
    if (isTokenCharacter(c) || c == ' ') {
      out += c;
    } else {
      std::array<char, 8> formatted{};
      std::snprintf(formatted.data(), formatted.size(), "\\x%02x",
                    static_cast<unsigned>(static_cast<unsigned char>(c)));
      out += formatted.data();
    }
  }
  return out + "\"";
}

std::string_view trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// Framing that the fields of a head state.
struct StatedFraming {
  std::optional<std::string_view> Length;
  bool HasCoding = false;
};

std::optional<std::string> findFieldFault(std::string_view line,
                                          StatedFraming &framing) {
  if (line.front() == ' ' || line.front() == '\t') {
    return "line that continues a field";
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return "line " + quote(line) + " has no colon";
  }
  const std::string_view name = line.substr(0, colon);
  if (name.empty() ||
      !std::all_of(name.begin(), name.end(), isTokenCharacter)) {
    return "field name " + quote(name) + " is not a token";
  }
  if (hasControl(line.substr(colon + 1))) {
    return "value of field " + quote(name) + " has control characters";
  }
  if (iequals(name, "Transfer-Encoding")) {
    framing.HasCoding = true;
  } else if (iequals(name, "Content-Length")) {
    const std::string_view length = trim(line.substr(colon + 1));
    if (framing.Length) {
      return "several lengths";
    }
    if (length.empty() || !std::all_of(length.begin(), length.end(), isDigit)) {
      return "length is not a number";
    }
    framing.Length = length;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string> findResponseHeadFault(std::string_view head) {
  const std::size_t firstEnd = head.find(LineEnd);
  const std::string_view first = head.substr(0, firstEnd);
  const std::string_view digits =
      first.substr(std::min(first.size(), VersionBytes + 1), StatusDigits);
  const std::string_view phrase =
      first.substr(std::min(first.size(), VersionBytes + 1 + StatusDigits));
  const bool isFormed =
      first.starts_with("HTTP/1.") && digits.size() == StatusDigits &&
      isDigit(first[VersionBytes - 1]) && first[VersionBytes] == ' ' &&
      std::all_of(digits.begin(), digits.end(), isDigit) &&
      (phrase.empty() || phrase.front() == ' ');
  if (!isFormed || hasControl(phrase)) {
    return "malformed status line";
  }
  unsigned status = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), status);
  if (status < FirstStatus || status > LastStatus) {
    return "status " + std::string(digits) + " does not exist";
  }
  if (status == SwitchingStatus) {
    return "switch of protocols that was not requested";
  }
  StatedFraming framing;
  std::string_view rest = head.substr(firstEnd + LineEnd.size());
  while (!rest.starts_with(LineEnd)) {
    const std::size_t end = rest.find(LineEnd);
    std::optional<std::string> fault =
        findFieldFault(rest.substr(0, end), framing);
    if (fault) {
      return fault;
    }
    rest.remove_prefix(end + LineEnd.size());
  }
  if (framing.Length && framing.HasCoding) {
    return "both a length and a transfer coding";
  }
  const bool statesBody = framing.HasCoding ||
                          framing.Length.value_or("0").find_first_not_of('0') !=
                              std::string_view::npos;
  if (status < FirstFinalStatus && statesBody) {
    return "interim response with a body";
  }
  return std::nullopt;
}

} // namespace nutmegsill
