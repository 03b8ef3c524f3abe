/// A caller that knows the published interfaces only. Test-only.
#pragma once

#include <functional>
#include <string>

namespace nutmegsill::standin {

/// What a caller saw. `Status` is 0 without an answer.
struct CallerAnswer {
  unsigned Status = 0;
  /// Text of the completion, or the body of a plain answer.
  std::string Text;
  /// "outcome" of a problem document.
  std::string Outcome;
  /// True when the answer ended as the protocol says.
  bool Whole = false;
};

/// Calls `POST /v1/chat/completions` and checks the framing of the answer.
/// `onToken` is called after each event of a stream.
CallerAnswer callModel(const std::string &entry, const std::string &key,
                       const std::string &model, const std::string &prompt,
                       int tokens, bool stream,
                       const std::function<void()> &onToken = {});

/// Calls `POST path` of a plain service with an idempotency key.
CallerAnswer callService(const std::string &entry, const std::string &key,
                         const std::string &path,
                         const std::string &idempotencyKey,
                         const std::string &body);

/// Sends raw bytes and returns all that comes back until the end.
std::string sendRaw(const std::string &entry, const std::string &bytes);

} // namespace nutmegsill::standin
