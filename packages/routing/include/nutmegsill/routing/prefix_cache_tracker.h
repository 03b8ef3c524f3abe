/// Estimates which prompt parts the model engines have in their prefix caches.
#pragma once

#include "nutmegsill/routing/load_report.h"
#include "nutmegsill/routing/prompt.h"

#include <map>
#include <unordered_map>

namespace nutmegsill::routing {

/// Tracks the prompts that all routers send to engines. Engines evict the least
/// recently used parts, so a part is assumed to be cached until the engine has
/// read as many further tokens as its cache holds.
class PrefixCacheTracker {
public:
  /// Parts are removed `retention` after their last use.
  explicit PrefixCacheTracker(Duration retention) : Retention(retention) {}

  /// Records prompts that were sent to a target, as reported by a router.
  void recordSent(const SentPrompts &prompts, Time now);
  /// Records a prompt that this router sends, of which the target prefills
  /// `prefillTokens`. Returns the update for the other routers, which omits
  /// parts whose use was reported recently.
  SentPrompts recordOwnPrompt(const TargetId &target,
                              const PromptDescription &prompt,
                              std::uint32_t prefillTokens, Time now);

  /// Returns the number of leading prompt tokens that each target has cached,
  /// if its cache holds `cacheTokens` tokens; omits targets that have none.
  std::map<TargetId, std::uint32_t>
  cachedTokens(const PromptDescription &prompt, double cacheTokens) const;
  /// Returns the prompt tokens sent to a target, decayed exponentially.
  double recentTokens(const TargetId &target, Time now) const;

  /// Removes a target whose cache was lost.
  void removeTarget(const TargetId &target);
  /// Removes parts past their retention; call periodically.
  void expire(Time now);

private:
  /// The last use of a part by a target.
  struct LastUse {
    /// Time of the last reported use; up to `UseReportInterval` before the last
    /// use by a prompt of this router.
    Time UsedAt{};
    /// `TokenCounts::TotalTokens` of the target at the last use, including the
    /// tokens of that prompt.
    std::uint64_t TotalTokensAtUse = 0;
  };
  /// Prompt tokens sent to a target.
  struct TokenCounts {
    std::uint64_t TotalTokens = 0;
    /// `TotalTokens`, decayed exponentially.
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
