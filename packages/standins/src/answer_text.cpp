#include "answer_text.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace nutmegsill::standin {

namespace {

std::uint32_t fnv1a(const std::string &text) {
  std::uint32_t hash = 2166136261U;
  for (const unsigned char c : text) {
    hash = (hash ^ c) * 16777619U;
  }
  return hash;
}

} // namespace

std::string tokenOf(const std::string &prompt, int index) {
  return "t" + std::to_string(fnv1a(prompt + "#" + std::to_string(index))) +
         " ";
}

std::string answerText(const std::string &prompt, int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i) {
    text += tokenOf(prompt, i);
  }
  return text;
}

std::string tokenEvent(const std::string &prompt, int index) {
  const nlohmann::ordered_json event{
      {"object", "chat.completion.chunk"},
      {"choices",
       {{{"index", 0}, {"delta", {{"content", tokenOf(prompt, index)}}}}}}};
  return "data: " + event.dump() + "\n\n";
}

} // namespace nutmegsill::standin
