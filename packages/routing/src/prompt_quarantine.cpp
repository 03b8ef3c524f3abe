#include "nutmegsill/routing/prompt_quarantine.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace nutmegsill::routing {

namespace {

std::string formatParts(const std::vector<std::uint64_t> &parts) {
  std::string out;
  for (const std::uint64_t it : parts) {
    out += (out.empty() ? "" : " ") + formatHash(it);
  }
  return out;
}

/// The hashes of the parts that other requests may share.
std::vector<std::uint64_t> sharedParts(const PromptDescription &prompt,
                                       std::size_t most) {
  std::vector<std::uint64_t> out;
  for (std::size_t i = 0; i + 1 < prompt.Parts.size() && i < most; ++i) {
    out.push_back(prompt.Parts[i].Hash);
  }
  return out;
}

/// Counts the times that are at least `spacing` after the last counted one.
std::size_t countSpaced(std::vector<Time> times, Duration spacing) {
  std::sort(times.begin(), times.end());
  std::size_t out = 0;
  std::optional<Time> last;
  for (const Time it : times) {
    if (!last || it - *last >= spacing) {
      ++out;
      last = it;
    }
  }
  return out;
}

} // namespace

void PromptQuarantine::recordLoss(const RequestIdentity &request,
                                  const PromptDescription &prompt,
                                  const TargetProcess &process, Time now) {
  Loss loss{process,
            now,
            sharedParts(prompt, Policy.MaxPartsPerPrompt),
            {Policy.ReportRepeats, Policy.ReportRepeats}};
  Changes.push_back({"request_lost",
                     {{"target", process.Target.Text},
                      {"started_at_ms", std::to_string(process.StartedAtMs)},
                      {"request", formatHash(request.hash())},
                      {"parts", formatParts(loss.Parts)}}});
  if (loss.Parts.empty()) {
    return;
  }
  addLoss(std::move(loss));
  update(now);
}

void PromptQuarantine::addLoss(Loss loss) {
  const bool known =
      std::any_of(Losses.begin(), Losses.end(), [&loss](const Loss &it) {
        return it.Process == loss.Process && it.Parts == loss.Parts;
      });
  if (known || loss.At < EvidenceFrom) {
    return;
  }
  if (Losses.size() >= Policy.MaxLostPrompts) {
    if (loss.At - Losses.front().At < Policy.MinReplacedAge) {
      return;
    }
    Losses.erase(Losses.begin());
  }
  Losses.push_back(std::move(loss));
}

void PromptQuarantine::quarantine(std::uint64_t part, const Quarantine &entry) {
  Quarantined[part] = entry;
  EvidenceFrom = std::max(EvidenceFrom, entry.Since + Policy.SettlingTime);
  Losses.erase(
      std::remove_if(Losses.begin(), Losses.end(),
                     [this](const Loss &it) { return it.At < EvidenceFrom; }),
      Losses.end());
}

bool PromptQuarantine::isSuspected(std::uint64_t part) const {
  const auto survival = Survivals.find(part);
  return std::any_of(Losses.begin(), Losses.end(), [&](const Loss &it) {
    const bool survived =
        survival != Survivals.end() && survival->second.SentAt >= it.At;
    return !survived &&
           std::find(it.Parts.begin(), it.Parts.end(), part) != it.Parts.end();
  });
}

void PromptQuarantine::recordSurvival(const PromptDescription &prompt,
                                      Time sentAt, Time now) {
  if (Losses.empty() && Quarantined.empty()) {
    return;
  }
  for (const std::uint64_t it : sharedParts(prompt, Policy.MaxPartsPerPrompt)) {
    if (isSuspected(it) || Quarantined.count(it) > 0) {
      addSurvival(it, sentAt, {Policy.ReportRepeats, Policy.ReportRepeats},
                  now);
    }
  }
}

void PromptQuarantine::addSurvival(std::uint64_t part, Time sentAt,
                                   PendingReports pending, Time now) {
  const auto quarantined = Quarantined.find(part);
  if (quarantined != Quarantined.end() &&
      sentAt + Policy.MaxReportDelay >= quarantined->second.Since) {
    Changes.push_back(
        {"prompt_part_released",
         {{"part", formatHash(part)},
          {"quarantined_ms",
           std::to_string(toMilliseconds(now - quarantined->second.Since))}}});
    Quarantined.erase(quarantined);
  }
  const auto known = Survivals.find(part);
  if (known == Survivals.end() || known->second.SentAt < sentAt) {
    Survivals[part] = {sentAt, pending};
  }
}

std::vector<PromptQuarantine::Suspect>
PromptQuarantine::suspects(Time latest) const {
  std::set<TargetProcess> explained;
  for (const Loss &it : Losses) {
    for (const std::uint64_t part : it.Parts) {
      if (Quarantined.count(part) > 0) {
        explained.insert(it.Process);
      }
    }
  }
  struct Crashes {
    std::map<TargetProcess, Time> At;
    std::size_t Position = 0;
  };
  std::map<std::uint64_t, Crashes> parts;
  for (const Loss &it : Losses) {
    if (it.At > latest || explained.count(it.Process) > 0) {
      continue;
    }
    for (std::size_t i = 0; i < it.Parts.size(); ++i) {
      const auto survival = Survivals.find(it.Parts[i]);
      if (survival != Survivals.end() && survival->second.SentAt >= it.At) {
        continue;
      }
      Crashes &crashes = parts[it.Parts[i]];
      crashes.Position = std::max(crashes.Position, i);
      Time &at = crashes.At.emplace(it.Process, it.At).first->second;
      at = std::min(at, it.At);
    }
  }
  std::vector<Suspect> out;
  for (const auto &[part, crashes] : parts) {
    std::vector<Time> times;
    times.reserve(crashes.At.size());
    for (const auto &[process, at] : crashes.At) {
      times.push_back(at);
    }
    out.push_back({part, times.size(),
                   countSpaced(times, Policy.MinCrashSpacing), crashes.Position,
                   *std::min_element(times.begin(), times.end())});
  }
  return out;
}

std::size_t PromptQuarantine::countCrashes(const Suspect &suspect,
                                           Time latest) const {
  std::vector<Time> times;
  for (const Loss &it : Losses) {
    if (it.At >= suspect.FirstCrashAt && it.At <= latest) {
      times.push_back(it.At);
    }
  }
  return countSpaced(std::move(times), Policy.MinCrashSpacing);
}

void PromptQuarantine::update(Time now) {
  Losses.erase(std::remove_if(Losses.begin(), Losses.end(),
                              [this, now](const Loss &it) {
                                return now - it.At > Policy.Memory;
                              }),
               Losses.end());
  for (auto it = Survivals.begin(); it != Survivals.end();) {
    it = now - it->second.SentAt > Policy.Memory ? Survivals.erase(it)
                                                 : std::next(it);
  }
  for (auto it = Quarantined.begin(); it != Quarantined.end();) {
    it = now - it->second.Since > Policy.MaxQuarantine ? Quarantined.erase(it)
                                                       : std::next(it);
  }
  while (!Losses.empty() && Quarantined.size() < Policy.MaxQuarantinedParts) {
    // The part under which most engines ended explains it; of parts that always
    // come together, the later one does, which fewer prompts share.
    const Time latest = now - Policy.MinCrashAge;
    const std::vector<Suspect> all = suspects(latest);
    const auto worst = std::max_element(
        all.begin(), all.end(), [](const Suspect &a, const Suspect &b) {
          return std::tie(a.Engines, a.Position) <
                 std::tie(b.Engines, b.Position);
        });
    if (worst == all.end() || worst->Crashes < Policy.MinCrashes ||
        static_cast<double>(worst->Crashes) <
            Policy.MinCrashFraction *
                static_cast<double>(countCrashes(*worst, latest))) {
      return;
    }
    quarantine(worst->Part, {now, 0});
    Changes.push_back({"prompt_part_quarantined",
                       {{"part", formatHash(worst->Part)},
                        {"crashes", std::to_string(worst->Crashes)},
                        {"first_crash_ms", std::to_string(toMilliseconds(
                                               now - worst->FirstCrashAt))},
                        {"by", "losses"}}});
  }
}

Time PromptQuarantine::nextTrialAt(const Quarantine &quarantine) const {
  const double factor = std::pow(Policy.TrialBackoff, quarantine.Trials);
  const double delay = static_cast<double>(Policy.FirstTrialDelay.count());
  const double longest = static_cast<double>(Policy.MaxQuarantine.count());
  return quarantine.Since +
         Duration(static_cast<std::int64_t>(std::min(delay * factor, longest)));
}

bool PromptQuarantine::hasTrialTurn(std::uint64_t part,
                                    const Quarantine &quarantine,
                                    Time now) const {
  const Duration due = now - nextTrialAt(quarantine);
  if (due < Duration{0}) {
    return false;
  }
  const std::string key =
      formatHash(part) + "/" + std::to_string(due / Policy.TrialTurn);
  const std::uint64_t own = rendezvousWeight(Self, key);
  return std::none_of(Routers.begin(), Routers.end(), [&](const HostId &it) {
    return it != Self && rendezvousWeight(it, key) > own;
  });
}

std::optional<std::uint64_t>
PromptQuarantine::findQuarantined(const PromptDescription &prompt,
                                  Time now) const {
  if (Quarantined.empty()) {
    return std::nullopt;
  }
  for (const std::uint64_t it : sharedParts(prompt, prompt.Parts.size())) {
    const auto known = Quarantined.find(it);
    if (known != Quarantined.end() && !hasTrialTurn(it, known->second, now)) {
      return it;
    }
  }
  return std::nullopt;
}

void PromptQuarantine::recordSent(const PromptDescription &prompt, Time now) {
  if (Quarantined.empty()) {
    return;
  }
  for (const std::uint64_t it : sharedParts(prompt, prompt.Parts.size())) {
    const auto known = Quarantined.find(it);
    if (known != Quarantined.end()) {
      known->second = {now, known->second.Trials + 1};
      Changes.push_back({"prompt_part_tried",
                         {{"part", formatHash(it)},
                          {"trials", std::to_string(known->second.Trials)}}});
    }
  }
}

bool PromptQuarantine::mayRepeat(const PromptDescription &prompt,
                                 Time now) const {
  if (Losses.empty() && Quarantined.empty()) {
    return true;
  }
  const std::vector<std::uint64_t> parts =
      sharedParts(prompt, Policy.MaxPartsPerPrompt);
  const auto has = [&parts](std::uint64_t part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  const std::vector<Suspect> all = suspects(now);
  return std::none_of(Quarantined.begin(), Quarantined.end(),
                      [&has](const auto &it) { return has(it.first); }) &&
         std::none_of(all.begin(), all.end(), [&](const Suspect &it) {
           return it.Crashes > Policy.MaxCrashesForRepeat && has(it.Part);
         });
}

void PromptQuarantine::adopt(const QuarantinedPart &quarantined, Time now) {
  const Time since = now - quarantined.Age;
  const auto survival = Survivals.find(quarantined.Part);
  if (survival != Survivals.end() &&
      survival->second.SentAt + Policy.MaxReportDelay >= since) {
    // The sender does not know yet.
    survival->second.Pending = {Policy.ReportRepeats, Policy.ReportRepeats};
    return;
  }
  const auto known = Quarantined.find(quarantined.Part);
  if (known != Quarantined.end()) {
    if (quarantined.Trials > known->second.Trials) {
      known->second = {since, quarantined.Trials};
    }
    return;
  }
  if (quarantined.Age > Policy.MaxQuarantine ||
      Quarantined.size() >= Policy.MaxQuarantinedParts) {
    return;
  }
  quarantine(quarantined.Part, {since, quarantined.Trials});
  Changes.push_back(
      {"prompt_part_quarantined",
       {{"part", formatHash(quarantined.Part)}, {"by", "report"}}});
}

void PromptQuarantine::receive(const QuarantineReport &report, bool relayed,
                               Time now) {
  const PendingReports pending{0, relayed ? Policy.ReportRepeats : 0};
  for (const LostPrompt &it : report.Lost) {
    addLoss({it.Process, now - it.Age, it.Parts, pending});
  }
  for (const SurvivedPart &it : report.Survived) {
    addSurvival(it.Part, now - it.Age, pending, now);
  }
  for (const QuarantinedPart &it : report.Quarantined) {
    adopt(it, now);
  }
  if (!report.Lost.empty()) {
    update(now);
  }
}

QuarantineReport PromptQuarantine::takeReport(int PendingReports::*pending,
                                              Time now) {
  QuarantineReport out;
  for (Loss &it : Losses) {
    if (it.Pending.*pending > 0 &&
        out.Lost.size() < Policy.MaxLostPromptsPerReport) {
      --(it.Pending.*pending);
      out.Lost.push_back({it.Process, now - it.At, it.Parts});
    }
  }
  for (auto &[part, it] : Survivals) {
    if (it.Pending.*pending > 0) {
      --(it.Pending.*pending);
      out.Survived.push_back({part, now - it.SentAt});
    }
  }
  for (const auto &[part, it] : Quarantined) {
    out.Quarantined.push_back({part, now - it.Since, it.Trials});
  }
  return out;
}

QuarantineReport PromptQuarantine::takeOwnReport(Time now) {
  return takeReport(&PendingReports::Own, now);
}

QuarantineReport PromptQuarantine::takeGroupReport(Time now) {
  return takeReport(&PendingReports::Group, now);
}

std::vector<FleetChange> PromptQuarantine::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace nutmegsill::routing
