/// Estimates which parts of prompts engines have in their caches.
#pragma once

#include "nutmegsill/routing/load_report.h"
#include "nutmegsill/routing/prompt.h"

#include <map>
#include <unordered_map>

namespace nutmegsill::routing {

/// Follows what all routers send to engines. An engine drops the parts that it
/// has not used for the longest time, so a part counts as cached until the
/// engine has read as many tokens as its cache holds.
class PrefixCacheTracker {
public:
  /// Parts are forgotten `retention` after their last use.
  explicit PrefixCacheTracker(Duration retention) : Retention(retention) {}

  /// A target was sent prompts.
  void recordSent(const SentPrompts &prompts, Time now);
  /// Adds a prompt of this router; returns what other routers must hear, which
  /// leaves out parts whose use they know of.
  SentPrompts recordOwnPrompt(const TargetId &target,
                              const PromptDescription &prompt,
                              std::uint32_t tokens, Time now);

  /// Tokens at the beginning of the prompt that each target has cached, with
  /// caches of `cacheTokens`; targets without any are left out.
  std::map<TargetId, std::uint32_t>
  cachedTokens(const PromptDescription &prompt, double cacheTokens) const;
  /// Tokens that a target was sent lately.
  double recentTokens(const TargetId &target, Time now) const;

  /// The target has lost its cache.
  void removeTarget(const TargetId &target);
  /// Forgets old uses; call now and then.
  void expire(Time now);

private:
  /// The last use of a part at a target.
  struct LastUse {
    Time UsedAt{};
    /// `TokenCounts::TotalTokens` of the target at that time.
    std::uint64_t TokensReadBefore = 0;
  };
  /// Prompt tokens that a target was sent.
  struct TokenCounts {
    std::uint64_t TotalTokens = 0;
    /// The same, decayed exponentially.
    double RecentTokens = 0;
    Time RecentUpdatedAt{};
  };
  TokenCounts &addTokens(const TargetId &target, std::uint64_t tokens,
                         Time now);

  Duration Retention;
  std::map<TargetId, TokenCounts> Targets;
  std::unordered_map<std::uint64_t, std::map<TargetId, LastUse>> LastUses;
  Time NextExpiry{};
};

} // namespace nutmegsill::routing
