/// What a model request asks an engine to read and write.
#pragma once

#include <cstdint>
#include <vector>

namespace nutmegsill::routing {

/// A part of a prompt that requests may share; known by a hash.
struct PromptPart {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

/// What a model request asks for. The last part is its own.
struct PromptDescription {
  std::vector<PromptPart> Parts;
  std::uint32_t InputTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// The caller's estimate, which is often far off; 0 without one.
  std::uint32_t ExpectedOutputTokens = 0;

  /// Tokens in the unit of `ServiceConfig::RatedTokensPerSecond`.
  double ratedTokens() const {
    const std::uint32_t output =
        ExpectedOutputTokens > 0 ? ExpectedOutputTokens : MaxOutputTokens;
    return static_cast<double>(InputTokens) + 2.0 * output;
  }
};

} // namespace nutmegsill::routing
