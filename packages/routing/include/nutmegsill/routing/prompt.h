/// Description of the prompt of a model request.
#pragma once

#include <cstdint>
#include <vector>

namespace nutmegsill::routing {

/// A part of a prompt, identified by a hash, that requests may share.
struct PromptPart {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

/// The size and parts of a prompt. The last part belongs to this request only.
struct PromptDescription {
  std::vector<PromptPart> Parts;
  std::uint32_t InputTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The caller's estimate, which is often far off; 0 if not stated.
  std::uint32_t ExpectedOutputTokens = 0;

  /// Tokens as counted for `ServiceConfig::RatedTokensPerSecond`.
  double ratedTokens() const {
    const std::uint32_t output =
        ExpectedOutputTokens > 0 ? ExpectedOutputTokens : MaxOutputTokens;
    return static_cast<double>(InputTokens) + 2.0 * output;
  }
};

} // namespace nutmegsill::routing
