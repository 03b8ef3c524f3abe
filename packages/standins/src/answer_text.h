/// The answers that a model stand-in gives, so that callers can check them.
#pragma once

#include <string>

namespace nutmegsill::standin {

/// The `index`-th token of the answer to `prompt`.
std::string tokenOf(const std::string &prompt, int index);
/// The whole text of an answer of `tokens` tokens.
std::string answerText(const std::string &prompt, int tokens);
/// The server-sent event of one token.
std::string tokenEvent(const std::string &prompt, int index);

inline constexpr const char *DoneEvent = "data: [DONE]\n\n";

} // namespace nutmegsill::standin
