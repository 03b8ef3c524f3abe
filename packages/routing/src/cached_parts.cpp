#include "nutmegsill/routing/cached_parts.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Time constant of recently sent prompts.
constexpr double RecentSeconds = 4.0;
/// How often forgotten parts are dropped.
constexpr Duration ExpiryInterval = std::chrono::seconds(5);
/// A use is not reported again within this time after the last known one; an
/// engine reads a small part of its cache meanwhile.
constexpr Duration UseKnownFor = std::chrono::seconds(1);

double decay(Duration span) {
  return std::exp(-std::chrono::duration<double>(span).count() / RecentSeconds);
}

} // namespace

CachedParts::Reading &CachedParts::addTokens(const TargetId &target,
                                             std::uint64_t tokens, Time now) {
  Reading &reading = Targets[target];
  reading.Total += tokens;
  reading.Recent = reading.Recent * decay(now - reading.RecentAt) +
                   static_cast<double>(tokens);
  reading.RecentAt = now;
  return reading;
}

void CachedParts::sent(const SentPrompts &prompts, Time now) {
  const Reading &reading = addTokens(prompts.Target, prompts.Tokens, now);
  for (const std::uint64_t part : prompts.Parts) {
    Uses[part][prompts.Target] = Use{now, reading.Total};
  }
}

SentPrompts CachedParts::sentHere(const TargetId &target, const Prompt &prompt,
                                  std::uint32_t tokens, Time now) {
  const Reading &reading = addTokens(target, tokens, now);
  SentPrompts news{target, tokens, {}};
  for (std::size_t i = 0; i < prompt.Parts.size(); ++i) {
    const std::uint64_t part = prompt.Parts[i].Hash;
    const auto [use, isNew] = Uses[part].try_emplace(target);
    const bool known = !isNew && now - use->second.At < UseKnownFor;
    if (!known) {
      use->second.At = now;
    }
    use->second.ReadBefore = reading.Total;
    const bool shared = i + 1 < prompt.Parts.size();
    if (shared && !known) {
      news.Parts.push_back(part);
    }
  }
  return news;
}

std::map<TargetId, std::uint32_t>
CachedParts::cached(const Prompt &prompt, double cacheTokens) const {
  std::map<TargetId, std::uint32_t> out;
  for (std::size_t i = 0; i < prompt.Parts.size(); ++i) {
    const auto uses = Uses.find(prompt.Parts[i].Hash);
    if (uses == Uses.end()) {
      break;
    }
    std::uint32_t before = 0;
    for (std::size_t j = 0; j < i; ++j) {
      before += prompt.Parts[j].Tokens;
    }
    for (const auto &[target, use] : uses->second) {
      const auto reading = Targets.find(target);
      const bool kept = reading != Targets.end() &&
                        static_cast<double>(reading->second.Total -
                                            use.ReadBefore) < cacheTokens;
      const auto known = out.find(target);
      const bool follows =
          i == 0 || (known != out.end() && known->second == before);
      if (kept && follows) {
        out[target] = before + prompt.Parts[i].Tokens;
      }
    }
  }
  for (auto &[target, tokens] : out) {
    tokens = std::min(tokens, prompt.InputTokens);
  }
  return out;
}

double CachedParts::recentTokens(const TargetId &target, Time now) const {
  const auto it = Targets.find(target);
  return it == Targets.end()
             ? 0
             : it->second.Recent * decay(now - it->second.RecentAt);
}

void CachedParts::drop(const TargetId &target) {
  Targets.erase(target);
  for (auto &[part, uses] : Uses) {
    uses.erase(target);
  }
}

void CachedParts::expire(Time now) {
  if (now < NextExpiry) {
    return;
  }
  NextExpiry = now + ExpiryInterval;
  for (auto it = Uses.begin(); it != Uses.end();) {
    std::erase_if(it->second, [this, now](const auto &use) {
      return now - use.second.At > Memory;
    });
    it = it->second.empty() ? Uses.erase(it) : std::next(it);
  }
}

} // namespace nutmegsill::routing
