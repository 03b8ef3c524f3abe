#include "nutmegsill/routing/crash_quarantine.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace nutmegsill::routing {

namespace {

std::string formatHashes(const std::vector<std::uint64_t> &hashes) {
  std::string out;
  for (const std::uint64_t it : hashes) {
    out += (out.empty() ? "" : " ") + formatHash(it);
  }
  return out;
}

bool isRequest(const CrashCause &cause) {
  return cause.Type == CrashCause::Kind::Request;
}

FleetChange change(const CrashCause &cause, const std::string &what,
                   std::vector<std::pair<std::string, std::string>> fields) {
  fields.insert(fields.begin(), {isRequest(cause) ? "request" : "part",
                                 formatHash(cause.Hash)});
  return {(isRequest(cause) ? "request_" : "prompt_part_") + what,
          std::move(fields)};
}

} // namespace

void CrashQuarantine::recordLoss(const SuspectRequest &request,
                                 const TargetProcess &process, Time sentAt,
                                 Time now) {
  const int repeats = Policy.Evidence.ReportRepeats;
  CrashEvidence::Loss loss{process,
                           now,
                           sentAt,
                           request.Identity.hash(),
                           Evidence.sharedParts(request.Prompt),
                           {repeats, repeats}};
  Changes.push_back({"request_lost",
                     {{"target", process.Target.Text},
                      {"started_at_ms", std::to_string(process.StartedAtMs)},
                      {"request", formatHash(loss.Request)},
                      {"parts", formatHashes(loss.Parts)}}});
  addLoss(std::move(loss));
}

bool CrashQuarantine::addLoss(CrashEvidence::Loss loss) {
  if (!Quarantined.empty()) {
    bool isExplained = isQuarantined({CrashCause::Kind::Request, loss.Request});
    for (const std::uint64_t it : loss.Parts) {
      isExplained =
          isExplained || isQuarantined({CrashCause::Kind::PromptPart, it});
    }
    // One such loss for each crash is passed on.
    if (isExplained && Evidence.isExplained(loss.Process)) {
      return false;
    }
    if (isExplained) {
      Evidence.explain(loss.Process, loss.At);
    }
  }
  return Evidence.addLoss(std::move(loss));
}

bool CrashQuarantine::quarantine(const CrashCause &cause,
                                 const Quarantine &entry) {
  if (Quarantined.size() >= Policy.MaxQuarantined && !isQuarantined(cause)) {
    const auto oldest =
        std::min_element(Quarantined.begin(), Quarantined.end(),
                         [](const auto &a, const auto &b) {
                           return std::tie(a.second.Since, a.first) <
                                  std::tie(b.second.Since, b.first);
                         });
    if (entry.Since - oldest->second.Since < Policy.MinReplacedAge) {
      return false;
    }
    Quarantined.erase(oldest);
  }
  Quarantined[cause] = entry;
  Evidence.explain(cause);
  if (!isRequest(cause)) {
    Evidence.forgetPartsBefore(entry.Since + Policy.SettlingTime);
  }
  return true;
}

void CrashQuarantine::recordSurvival(const SuspectRequest &request, Time sentAt,
                                     Time now) {
  if (Evidence.isEmpty() && Quarantined.empty()) {
    return;
  }
  const int repeats = Policy.Evidence.ReportRepeats;
  for (const CrashCause &it : Evidence.causesOf(request)) {
    if (Evidence.isSuspected(it) || isQuarantined(it)) {
      addSurvival(it, sentAt, {repeats, repeats}, now);
    }
  }
}

void CrashQuarantine::addSurvival(const CrashCause &cause, Time sentAt,
                                  PendingReports pending, Time now) {
  const auto known = Quarantined.find(cause);
  if (known != Quarantined.end() && sentAt >= known->second.LastCrashAt) {
    const Duration span = now - known->second.Since;
    Changes.push_back(
        change(cause, "released",
               {{"quarantined_ms", std::to_string(toMilliseconds(span))}}));
    Quarantined.erase(known);
  }
  Evidence.addSurvival(cause, sentAt, pending);
}

std::optional<CrashSuspect> CrashQuarantine::worstRequest(Time latest) const {
  const std::vector<CrashSuspect> all =
      Evidence.suspectRequests(latest, [](const CrashCause &) { return true; });
  const auto worst = std::max_element(
      all.begin(), all.end(), [](const CrashSuspect &a, const CrashSuspect &b) {
        return a.Targets < b.Targets;
      });
  if (worst == all.end() || worst->Crashes < Policy.MinCrashes) {
    return std::nullopt;
  }
  // Of requests that were lost together the next crash tells which one it is.
  const Duration spacing = Policy.Evidence.MinCrashSpacing;
  const auto together = std::count_if(
      all.begin(), all.end(), [&worst, spacing](const CrashSuspect &it) {
        return it.Targets == worst->Targets &&
               std::chrono::abs(it.FirstCrashAt - worst->FirstCrashAt) <
                   spacing &&
               std::chrono::abs(it.LastCrashAt - worst->LastCrashAt) < spacing;
      });
  return together == 1 ? std::optional(*worst) : std::nullopt;
}

std::optional<CrashSuspect> CrashQuarantine::worstPart(Time latest) const {
  // The part under which most targets ended explains it; of parts that always
  // come together, the later one does, which fewer prompts share.
  const std::vector<CrashSuspect> all =
      Evidence.suspectParts(latest, [](const CrashCause &) { return true; });
  const auto worst = std::max_element(
      all.begin(), all.end(), [](const CrashSuspect &a, const CrashSuspect &b) {
        return std::tie(a.Targets, a.Position) <
               std::tie(b.Targets, b.Position);
      });
  if (worst == all.end() || worst->Crashes < Policy.MinCrashes ||
      worst->Requests < Policy.MinRequests ||
      static_cast<double>(worst->Crashes) <
          Policy.MinCrashFraction *
              static_cast<double>(Evidence.countCrashes(*worst, latest))) {
    return std::nullopt;
  }
  return *worst;
}

bool CrashQuarantine::quarantineSuspect(
    const std::optional<CrashSuspect> &suspect, Time now) {
  if (!suspect || !quarantine(suspect->Cause, {now, 0, suspect->LastCrashAt,
                                               suspect->Crashes})) {
    return false;
  }
  Changes.push_back(
      change(suspect->Cause, "quarantined",
             {{"crashes", std::to_string(suspect->Crashes)},
              {"first_crash_ms",
               std::to_string(toMilliseconds(now - suspect->FirstCrashAt))},
              {"by", "losses"}}));
  return true;
}

void CrashQuarantine::update(Time now) {
  UpdatedAt = now;
  Evidence.expire(now);
  for (auto it = Quarantined.begin(); it != Quarantined.end();) {
    it = now - it->second.Since > Policy.MaxQuarantine ? Quarantined.erase(it)
                                                       : std::next(it);
  }
  if (Evidence.isEmpty()) {
    return;
  }
  const Time latest = now - Policy.MinCrashAge;
  while (quarantineSuspect(worstRequest(latest), now)) {
  }
  while (quarantineSuspect(worstPart(latest), now)) {
  }
}

std::optional<Time>
CrashQuarantine::nextTrialAt(const Quarantine &quarantine) const {
  if (quarantine.Trials >= Policy.MaxTrials) {
    return std::nullopt;
  }
  const double factor = std::pow(Policy.TrialBackoff, quarantine.Trials);
  const double delay = static_cast<double>(Policy.FirstTrialDelay.count());
  const double longest = static_cast<double>(Policy.MaxQuarantine.count());
  return quarantine.Since +
         Duration(static_cast<std::int64_t>(std::min(delay * factor, longest)));
}

bool CrashQuarantine::hasTrialTurn(const CrashCause &cause,
                                   const Quarantine &quarantine,
                                   Time now) const {
  const std::optional<Time> due = nextTrialAt(quarantine);
  if (!due || now < *due) {
    return false;
  }
  const std::string key = formatHash(cause.Hash) + "/" +
                          std::to_string((now - *due) / Policy.TrialTurn);
  const std::uint64_t own = rendezvousWeight(Self, key);
  return std::none_of(Routers.begin(), Routers.end(), [&](const HostId &it) {
    return it != Self && rendezvousWeight(it, key) > own;
  });
}

std::vector<CrashCause>
CrashQuarantine::quarantinedOf(const SuspectRequest &request) const {
  std::vector<CrashCause> out;
  if (Quarantined.empty()) {
    return out;
  }
  // Ordered by kind: requests first.
  if (isRequest(Quarantined.begin()->first)) {
    const CrashCause cause{CrashCause::Kind::Request, request.Identity.hash()};
    if (isQuarantined(cause)) {
      out.push_back(cause);
    }
  }
  for (std::size_t i = 0; i + 1 < request.Prompt.Parts.size(); ++i) {
    const CrashCause cause{CrashCause::Kind::PromptPart,
                           request.Prompt.Parts[i].Hash};
    if (isQuarantined(cause)) {
      out.push_back(cause);
    }
  }
  return out;
}

std::optional<CrashCause>
CrashQuarantine::findQuarantined(const SuspectRequest &request,
                                 Time now) const {
  for (const CrashCause &it : quarantinedOf(request)) {
    if (!hasTrialTurn(it, Quarantined.at(it), now)) {
      return it;
    }
  }
  return std::nullopt;
}

std::size_t CrashQuarantine::crashCount(const CrashCause &cause) const {
  const auto it = Quarantined.find(cause);
  return it == Quarantined.end() ? 0 : it->second.Crashes;
}

bool CrashQuarantine::recordSent(const SuspectRequest &request, Time now) {
  const std::vector<CrashCause> causes = quarantinedOf(request);
  for (const CrashCause &it : causes) {
    Quarantine &known = Quarantined.at(it);
    known.SinceBeforeTrial = std::exchange(known.Since, now);
    ++known.Trials;
    Changes.push_back(
        change(it, "tried", {{"trials", std::to_string(known.Trials)}}));
  }
  return !causes.empty();
}

void CrashQuarantine::withdrawTrial(const SuspectRequest &request) {
  for (const CrashCause &it : quarantinedOf(request)) {
    Quarantine &known = Quarantined.at(it);
    if (known.SinceBeforeTrial) {
      known.Since = *std::exchange(known.SinceBeforeTrial, std::nullopt);
      --known.Trials;
    }
  }
}

bool CrashQuarantine::mayRepeat(const SuspectRequest &request, Time now) const {
  if (!quarantinedOf(request).empty()) {
    return false;
  }
  if (Evidence.isEmpty()) {
    return true;
  }
  const std::vector<CrashCause> causes = Evidence.causesOf(request);
  const auto isOwn = [&causes](const CrashCause &it) {
    return std::find(causes.begin(), causes.end(), it) != causes.end();
  };
  const auto keepsFromRepeat = [this](const CrashSuspect &it) {
    // Crashes under one request are no reason to suspect its parts.
    return it.Crashes > Policy.MaxCrashesForRepeat &&
           (isRequest(it.Cause) || it.Requests > 1);
  };
  const std::vector<CrashSuspect> requests =
      Evidence.suspectRequests(now, isOwn);
  const std::vector<CrashSuspect> parts = Evidence.suspectParts(now, isOwn);
  return std::none_of(requests.begin(), requests.end(), keepsFromRepeat) &&
         std::none_of(parts.begin(), parts.end(), keepsFromRepeat);
}

void CrashQuarantine::adopt(const QuarantinedCause &quarantined, Time now) {
  const CrashCause &cause = quarantined.Cause;
  const Time since = now - quarantined.Age;
  const Time lastCrashAt = now - quarantined.CrashAge;
  const std::optional<Time> survivedAt = Evidence.survivedAt(cause);
  if (survivedAt && *survivedAt >= lastCrashAt) {
    // The sender does not know yet.
    Evidence.repeatSurvival(cause);
    return;
  }
  const auto known = Quarantined.find(cause);
  if (known != Quarantined.end()) {
    Quarantine &own = known->second;
    if (quarantined.Trials > own.Trials) {
      own.Since = since;
      own.Trials = quarantined.Trials;
      own.SinceBeforeTrial.reset();
    } else if (quarantined.Trials == own.Trials) {
      // Routers that decide by themselves agree on the turns of trials.
      own.Since = std::min(own.Since, since);
    }
    return;
  }
  if (quarantined.Age > Policy.MaxQuarantine) {
    return;
  }
  if (quarantine(cause, {since, quarantined.Trials, lastCrashAt, 0})) {
    Changes.push_back(change(cause, "quarantined", {{"by", "report"}}));
  }
}

void CrashQuarantine::receive(const QuarantineReport &report, bool relayed,
                              Time now) {
  const PendingReports pending{0, relayed ? Policy.Evidence.ReportRepeats : 0};
  bool hasNews = false;
  for (const LostRequest &it : report.Lost) {
    const Time lostAt = now - it.Age;
    const bool added = addLoss({it.Process, lostAt, lostAt - it.Running,
                                it.Request, it.Parts, pending});
    hasNews = added || hasNews;
  }
  for (const SurvivedCause &it : report.Survived) {
    addSurvival(it.Cause, now - it.Age, pending, now);
  }
  for (const QuarantinedCause &it : report.Quarantined) {
    adopt(it, now);
  }
  if (hasNews && now - UpdatedAt >= Policy.MinVerdictInterval) {
    update(now);
  }
}

QuarantineReport CrashQuarantine::takeReport(int PendingReports::*pending,
                                             Time now) {
  QuarantineReport out;
  Evidence.report(pending, now, out.Lost, out.Survived);
  for (const auto &[cause, it] : Quarantined) {
    out.Quarantined.push_back(
        {cause, now - it.Since, it.Trials, now - it.LastCrashAt});
  }
  return out;
}

QuarantineReport CrashQuarantine::takeOwnReport(Time now) {
  return takeReport(&PendingReports::Own, now);
}

QuarantineReport CrashQuarantine::takeGroupReport(Time now) {
  return takeReport(&PendingReports::Group, now);
}

std::vector<FleetChange> CrashQuarantine::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace nutmegsill::routing
