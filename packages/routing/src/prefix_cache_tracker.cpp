#include "nutmegsill/routing/prefix_cache_tracker.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Time constant of the decay of `TokenCounts::RecentTokens`.
constexpr double RecentTimeConstantSeconds = 4.0;
/// Interval at which expired parts are removed.
constexpr Duration ExpiryInterval = std::chrono::seconds(5);
/// Minimum time between two reports of the use of a part. An engine reads only
/// a small fraction of its cache size in this time.
constexpr Duration UseReportInterval = std::chrono::seconds(1);

double decayFactor(Duration span) {
  return std::exp(-std::chrono::duration<double>(span).count() /
                  RecentTimeConstantSeconds);
}

} // namespace

PrefixCacheTracker::TokenCounts &
PrefixCacheTracker::addTokens(const TargetId &target, std::uint64_t tokens,
                              Time now) {
  TokenCounts &counts = Targets[target];
  counts.TotalTokens += tokens;
  counts.RecentTokens =
      counts.RecentTokens * decayFactor(now - counts.RecentUpdatedAt) +
      static_cast<double>(tokens);
  counts.RecentUpdatedAt = now;
  return counts;
}

void PrefixCacheTracker::recordSent(const SentPrompts &prompts, Time now) {
  const TokenCounts &counts =
      addTokens(prompts.Target, prompts.PrefillTokens, now);
  for (const std::uint64_t part : prompts.Parts) {
    LastUses[part][prompts.Target] = LastUse{now, counts.TotalTokens};
  }
}

SentPrompts PrefixCacheTracker::recordOwnPrompt(const TargetId &target,
                                                const PromptDescription &prompt,
                                                std::uint32_t prefillTokens,
                                                Time now) {
  const TokenCounts &counts = addTokens(target, prefillTokens, now);
  SentPrompts update{target, prefillTokens, {}};
  for (std::size_t i = 0; i < prompt.Parts.size(); ++i) {
    const std::uint64_t part = prompt.Parts[i].Hash;
    const auto [use, isNew] = LastUses[part].try_emplace(target);
    const bool reportedRecently =
        !isNew && now - use->second.UsedAt < UseReportInterval;
    if (!reportedRecently) {
      use->second.UsedAt = now;
    }
    use->second.TotalTokensAtUse = counts.TotalTokens;
    const bool shared = i + 1 < prompt.Parts.size();
    if (shared && !reportedRecently) {
      update.Parts.push_back(part);
    }
  }
  return update;
}

std::map<TargetId, std::uint32_t>
PrefixCacheTracker::cachedTokens(const PromptDescription &prompt,
                                 double cacheTokens) const {
  std::map<TargetId, std::uint32_t> out;
  for (std::size_t i = 0; i < prompt.Parts.size(); ++i) {
    const auto uses = LastUses.find(prompt.Parts[i].Hash);
    if (uses == LastUses.end()) {
      break;
    }
    std::uint32_t before = 0;
    for (std::size_t j = 0; j < i; ++j) {
      before += prompt.Parts[j].Tokens;
    }
    for (const auto &[target, use] : uses->second) {
      const auto counts = Targets.find(target);
      const bool kept = counts != Targets.end() &&
                        static_cast<double>(counts->second.TotalTokens -
                                            use.TotalTokensAtUse) < cacheTokens;
      const auto known = out.find(target);
      const bool contiguous =
          i == 0 || (known != out.end() && known->second == before);
      if (kept && contiguous) {
        out[target] = before + prompt.Parts[i].Tokens;
      }
    }
  }
  for (auto &[target, tokens] : out) {
    tokens = std::min(tokens, prompt.InputTokens);
  }
  return out;
}

double PrefixCacheTracker::recentTokens(const TargetId &target,
                                        Time now) const {
  const auto it = Targets.find(target);
  return it == Targets.end()
             ? 0
             : it->second.RecentTokens *
                   decayFactor(now - it->second.RecentUpdatedAt);
}

void PrefixCacheTracker::removeTarget(const TargetId &target) {
  Targets.erase(target);
  for (auto &[part, uses] : LastUses) {
    uses.erase(target);
  }
}

void PrefixCacheTracker::expire(Time now) {
  if (now < NextExpiry) {
    return;
  }
  NextExpiry = now + ExpiryInterval;
  for (auto it = LastUses.begin(); it != LastUses.end();) {
    std::erase_if(it->second, [this, now](const auto &use) {
      return now - use.second.UsedAt > Retention;
    });
    it = it->second.empty() ? LastUses.erase(it) : std::next(it);
  }
}

} // namespace nutmegsill::routing
