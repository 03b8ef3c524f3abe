#include "nutmegsill/json_nesting.h"

namespace nutmegsill {

bool isNestedDeeperThan(std::string_view text, std::size_t levels) {
  std::size_t depth = 0;
  bool inString = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (inString) {
      i += c == '\\' ? 1 : 0;
      inString = c != '"';
    } else if (c == '"') {
      inString = true;
    } else if (c == '[' || c == '{') {
      if (++depth > levels) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

} // namespace nutmegsill
