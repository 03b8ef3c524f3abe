#include "nutmegsill/routing/crash_evidence.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Number of requests that explain the crashes, those under most of them first;
/// at most `CrashEvidence::MaxExplainingRequests`. A request that is not known
/// explains one.
std::size_t countRequests(std::map<Time, std::set<std::uint64_t>> crashes) {
  std::size_t out = 0;
  while (!crashes.empty() && out < CrashEvidence::MaxExplainingRequests) {
    std::map<std::uint64_t, std::size_t> counts;
    for (const auto &[at, requests] : crashes) {
      for (const std::uint64_t it : requests) {
        counts[it] += it != 0 ? 1 : 0;
      }
    }
    const auto best = std::max_element(
        counts.begin(), counts.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    if (best == counts.end() || best->first == 0) {
      crashes.erase(crashes.begin());
    } else {
      for (auto it = crashes.begin(); it != crashes.end();) {
        it = it->second.count(best->first) > 0 ? crashes.erase(it)
                                               : std::next(it);
      }
    }
    ++out;
  }
  return out;
}

} // namespace

std::vector<std::uint64_t>
CrashEvidence::sharedParts(const PromptDescription &prompt) const {
  std::vector<std::uint64_t> out;
  for (std::size_t i = 0;
       i + 1 < prompt.Parts.size() && i < Policy.MaxPartsPerPrompt; ++i) {
    out.push_back(prompt.Parts[i].Hash);
  }
  return out;
}

std::vector<CrashCause>
CrashEvidence::causesOf(const SuspectRequest &request) const {
  std::vector<CrashCause> out;
  if (request.Identity.hash() != 0) {
    out.push_back({CrashCause::Kind::Request, request.Identity.hash()});
  }
  for (const std::uint64_t it : sharedParts(request.Prompt)) {
    out.push_back({CrashCause::Kind::PromptPart, it});
  }
  return out;
}

bool CrashEvidence::addLoss(Loss loss) {
  const bool isUseless =
      loss.Request == 0 && (loss.Parts.empty() || loss.At < PartsFrom);
  if (isUseless || isDone(loss)) {
    return false;
  }
  const bool known =
      std::any_of(Losses.begin(), Losses.end(), [&loss](const Loss &it) {
        return it.Process == loss.Process && it.Request == loss.Request &&
               it.Parts == loss.Parts;
      });
  if (known ||
      (Losses.size() >= Policy.MaxLostRequests && !replaceWeakest(loss))) {
    return false;
  }
  noteLatest(loss);
  Losses.push_back(std::move(loss));
  return true;
}

void CrashEvidence::noteLatest(const Loss &loss) {
  const auto note = [this, &loss](const CrashCause &cause) {
    Time &latest = LatestCrashAt.emplace(cause, loss.At).first->second;
    latest = std::max(latest, loss.At);
  };
  if (loss.Request != 0) {
    note({CrashCause::Kind::Request, loss.Request});
  }
  if (loss.At >= PartsFrom) {
    for (const std::uint64_t it : loss.Parts) {
      note({CrashCause::Kind::PromptPart, it});
    }
  }
}

bool CrashEvidence::replaceWeakest(const Loss &loss) {
  std::map<std::uint64_t, std::size_t> crashes;
  for (const Loss &it : Losses) {
    ++crashes[it.Request];
  }
  const auto isRepeated = [&](const Loss &it) {
    return it.Request != 0 && crashes[it.Request] > 1 &&
           Explained.count(it.Process) == 0;
  };
  const auto weakest = std::min_element(
      Losses.begin(), Losses.end(), [&](const Loss &a, const Loss &b) {
        return std::pair(isRepeated(a), a.At) < std::pair(isRepeated(b), b.At);
      });
  const bool repeats = loss.Request != 0 && crashes.count(loss.Request) > 0;
  const bool isOld = loss.At - weakest->At >= Policy.MinReplacedAge;
  if (!isOld && (!repeats || isRepeated(*weakest))) {
    return false;
  }
  Losses.erase(weakest);
  HasStaleCauses = true;
  return true;
}

void CrashEvidence::addSurvival(const CrashCause &cause, Time sentAt,
                                PendingReports pending) {
  const auto known = Survivals.find(cause);
  if (known != Survivals.end() && known->second.SentAt >= sentAt) {
    return;
  }
  if (known == Survivals.end() && Survivals.size() >= Policy.MaxSurvivals) {
    Survivals.erase(std::min_element(Survivals.begin(), Survivals.end(),
                                     [](const auto &a, const auto &b) {
                                       return a.second.SentAt < b.second.SentAt;
                                     }));
  }
  Survivals[cause] = {sentAt, pending};
}

void CrashEvidence::repeatSurvival(const CrashCause &cause) {
  const auto known = Survivals.find(cause);
  if (known != Survivals.end()) {
    known->second.Pending = {Policy.ReportRepeats, Policy.ReportRepeats};
  }
}

std::optional<Time> CrashEvidence::survivedAt(const CrashCause &cause) const {
  const auto it = Survivals.find(cause);
  return it == Survivals.end() ? std::nullopt
                               : std::optional(it->second.SentAt);
}

bool CrashEvidence::hasSurvived(const CrashCause &cause, Time since) const {
  const auto it = Survivals.find(cause);
  return it != Survivals.end() && it->second.SentAt >= since;
}

bool CrashEvidence::isSuspected(const CrashCause &cause) const {
  const auto it = LatestCrashAt.find(cause);
  return it != LatestCrashAt.end() && !hasSurvived(cause, it->second);
}

void CrashEvidence::forgetPartsBefore(Time time) {
  PartsFrom = std::max(PartsFrom, time);
  HasStaleCauses = true;
}

void CrashEvidence::expire(Time now) {
  const auto old =
      std::remove_if(Losses.begin(), Losses.end(), [this, now](const Loss &it) {
        return now - it.At > Policy.Memory;
      });
  HasStaleCauses = HasStaleCauses || old != Losses.end();
  Losses.erase(old, Losses.end());
  for (auto it = Survivals.begin(); it != Survivals.end();) {
    it = now - it->second.SentAt > Policy.Memory ? Survivals.erase(it)
                                                 : std::next(it);
  }
  for (auto it = Explained.begin(); it != Explained.end();) {
    it = now - it->second > Policy.Memory ? Explained.erase(it) : std::next(it);
  }
  if (HasStaleCauses) {
    HasStaleCauses = false;
    LatestCrashAt.clear();
    for (const Loss &it : Losses) {
      noteLatest(it);
    }
  }
}

std::size_t CrashEvidence::countSpaced(std::vector<Crash> crashes) const {
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash &a, const Crash &b) { return a.At < b.At; });
  std::size_t out = 0;
  std::optional<Time> last;
  for (const Crash &it : crashes) {
    // A request that was sent after a crash did not end with that target.
    if (!last || it.At - *last >= Policy.MinCrashSpacing ||
        it.SentAt >= *last) {
      ++out;
      last = it.At;
    }
  }
  return out;
}

std::map<Time, std::set<std::uint64_t>> CrashEvidence::groupSpaced(
    const std::map<Time, std::set<std::uint64_t>> &requests) const {
  std::map<Time, std::set<std::uint64_t>> out;
  for (const auto &[at, all] : requests) {
    if (out.empty() || at - out.rbegin()->first >= Policy.MinCrashSpacing) {
      out[at];
    }
    out.rbegin()->second.insert(all.begin(), all.end());
  }
  return out;
}

bool CrashEvidence::hasCause(const Loss &loss, const CrashCause &cause) {
  return cause.Type == CrashCause::Kind::Request
             ? loss.Request == cause.Hash
             : std::find(loss.Parts.begin(), loss.Parts.end(), cause.Hash) !=
                   loss.Parts.end();
}

void CrashEvidence::explain(const CrashCause &cause) {
  std::map<TargetProcess, Time> ended;
  for (const Loss &it : Losses) {
    if (hasCause(it, cause)) {
      ended.emplace(it.Process, it.At);
    }
  }
  for (const auto &[process, at] : ended) {
    explain(process, at);
  }
}

void CrashEvidence::explain(const TargetProcess &process, Time at) {
  if (Explained.size() >= Policy.MaxExplained) {
    Explained.erase(std::min_element(
        Explained.begin(), Explained.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; }));
  }
  Explained.emplace(process, at);
}

bool CrashEvidence::isDone(const Loss &loss) const {
  return Explained.count(loss.Process) > 0 && loss.Pending.Own <= 0 &&
         loss.Pending.Group <= 0;
}

std::vector<CrashSuspect>
CrashEvidence::suspectRequests(Time latest,
                               const CausePredicate &wanted) const {
  std::map<std::uint64_t, std::map<TargetProcess, Crash>> requests;
  for (const Loss &it : Losses) {
    const CrashCause cause{CrashCause::Kind::Request, it.Request};
    if (it.Request == 0 || it.At > latest || !wanted(cause) ||
        Explained.count(it.Process) > 0 || hasSurvived(cause, it.At)) {
      continue;
    }
    requests[it.Request].emplace(it.Process, Crash{it.At, it.SentAt});
  }
  std::vector<CrashSuspect> out;
  for (const auto &[request, crashes] : requests) {
    std::vector<Crash> times;
    Time first = Time::max();
    Time last = Time::min();
    for (const auto &[process, crash] : crashes) {
      times.push_back(crash);
      first = std::min(first, crash.At);
      last = std::max(last, crash.At);
    }
    out.push_back({{CrashCause::Kind::Request, request},
                   times.size(),
                   countSpaced(std::move(times)),
                   1,
                   0,
                   first,
                   last});
  }
  return out;
}

std::vector<CrashSuspect>
CrashEvidence::suspectParts(Time latest, const CausePredicate &wanted) const {
  struct Crashes {
    std::map<TargetProcess, Time> At;
    std::map<Time, std::set<std::uint64_t>> Requests;
    std::size_t Position = 0;
  };
  std::map<std::uint64_t, Crashes> parts;
  for (const Loss &it : Losses) {
    if (it.At > latest || it.At < PartsFrom ||
        Explained.count(it.Process) > 0) {
      continue;
    }
    for (std::size_t i = 0; i < it.Parts.size(); ++i) {
      const CrashCause cause{CrashCause::Kind::PromptPart, it.Parts[i]};
      if (!wanted(cause) || hasSurvived(cause, it.At)) {
        continue;
      }
      Crashes &crashes = parts[it.Parts[i]];
      crashes.Position = std::max(crashes.Position, i);
      Time &at = crashes.At.emplace(it.Process, it.At).first->second;
      at = std::min(at, it.At);
      crashes.Requests[it.At].insert(it.Request);
    }
  }
  std::vector<CrashSuspect> out;
  for (const auto &[part, crashes] : parts) {
    std::vector<Crash> times;
    Time first = Time::max();
    Time last = Time::min();
    for (const auto &[process, at] : crashes.At) {
      times.push_back({at, Time::min()});
      first = std::min(first, at);
      last = std::max(last, at);
    }
    const std::size_t count = countSpaced(times);
    out.push_back(
        {{CrashCause::Kind::PromptPart, part},
         times.size(),
         count,
         count > 1 ? countRequests(groupSpaced(crashes.Requests)) : count,
         crashes.Position,
         first,
         last});
  }
  return out;
}

std::size_t CrashEvidence::countCrashes(const CrashSuspect &suspect,
                                        Time latest) const {
  std::vector<Crash> times;
  for (const Loss &it : Losses) {
    if (it.At >= suspect.FirstCrashAt && it.At <= latest &&
        it.At >= PartsFrom && !it.Parts.empty()) {
      times.push_back({it.At, Time::min()});
    }
  }
  for (const auto &[process, at] : Explained) {
    if (at >= suspect.FirstCrashAt && at <= latest && at >= PartsFrom) {
      times.push_back({at, Time::min()});
    }
  }
  return countSpaced(std::move(times));
}

void CrashEvidence::report(int PendingReports::*pending, Time now,
                           std::vector<LostRequest> &lost,
                           std::vector<SurvivedCause> &survived) {
  for (Loss &it : Losses) {
    if (it.Pending.*pending > 0 &&
        lost.size() < Policy.MaxLostRequestsPerReport) {
      --(it.Pending.*pending);
      lost.push_back(
          {it.Process, now - it.At, it.Request, it.Parts, it.At - it.SentAt});
    }
  }
  for (auto &[cause, it] : Survivals) {
    if (it.Pending.*pending > 0) {
      --(it.Pending.*pending);
      survived.push_back({cause, now - it.SentAt});
    }
  }
}

} // namespace nutmegsill::routing
