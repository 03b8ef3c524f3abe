/// Finds requests and prompt parts that crash targets, and keeps them from
/// further targets.
///
/// Blames the narrowest cause that explains the crashes: a request that callers
/// repeat if targets ended each time that they ran it, a prompt part only if
/// targets ended under several different requests that share it. Each router
/// sees some of the crashes; routers exchange what they see with their load
/// reports.
#pragma once

#include "nutmegsill/routing/crash_evidence.h"
#include "nutmegsill/routing/fleet_change.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::routing {

struct QuarantinedCause {
  CrashCause Cause;
  /// Time since the decision or the last trial.
  Duration Age{0};
  /// Requests that were sent nevertheless, to see whether the cause still
  /// crashes targets.
  std::uint32_t Trials = 0;
  /// Time since the last crash that led to the decision.
  Duration CrashAge{0};
};

struct QuarantineReport {
  std::vector<LostRequest> Lost;
  std::vector<SurvivedCause> Survived;
  std::vector<QuarantinedCause> Quarantined;

  bool isEmpty() const {
    return Lost.empty() && Survived.empty() && Quarantined.empty();
  }
};

struct QuarantinePolicy {
  CrashEvidencePolicy Evidence;
  /// Crashes under a cause, without a response that lasts since, after which it
  /// is quarantined: as many as callers may see under a request, and fewer than
  /// the five that they may see under a part.
  std::size_t MinCrashes = 3;
  /// Different requests that it must take to explain the crashes before a part
  /// is blamed for them.
  std::size_t MinRequests = CrashEvidence::MaxExplainingRequests;
  /// Fraction of all crashes since the first one under a part that must have
  /// come under it: a rare part that was lost with a few of many is sound.
  double MinCrashFraction = 1.0 / 3;
  /// Age from which a crash counts: by then all routers have reported what they
  /// lost with it, and responses with sound causes have lasted since.
  Duration MinCrashAge = milliseconds(1'000);
  /// Time after the quarantine of a part whose crashes are no evidence against
  /// parts: prompts with it are still on their way, and not every router has
  /// heard of all that were lost with them.
  Duration SettlingTime = milliseconds(1'000);
  /// Crashes under a cause after which a request with it is not repeated.
  std::size_t MaxCrashesForRepeat = 1;
  /// Time between verdicts on what reports bring.
  Duration MinVerdictInterval = milliseconds(50);
  /// Time from a quarantine to the first trial, and the factor for each further
  /// one: few targets are lost to a cause that stays harmful.
  Duration FirstTrialDelay = std::chrono::seconds(15);
  double TrialBackoff = 4;
  /// Most trials of a quarantine: as many sends as callers accept.
  std::uint32_t MaxTrials = 3;
  /// Time for which one router may make a trial before it is another one's
  /// turn.
  Duration TrialTurn = std::chrono::seconds(3);
  /// Time without a trial after which a quarantine ends: its cause is not
  /// requested any more.
  Duration MaxQuarantine = std::chrono::hours(1);
  /// Bound of the memory, since callers choose what they send.
  std::size_t MaxQuarantined = 64;
  /// Age from which the oldest quarantine yields to a new one when there are
  /// that many.
  Duration MinReplacedAge = std::chrono::seconds(30);
};

/// Not thread-safe.
class CrashQuarantine {
public:
  explicit CrashQuarantine(HostId self, QuarantinePolicy policy = {})
      : Self(std::move(self)), Policy(policy), Evidence(policy.Evidence) {}

  /// Sets the routers of the fleet, which take turns at trials.
  void setRouters(std::vector<HostId> routers) { Routers = std::move(routers); }

  /// Records that a target ended before the response had lasted.
  void recordLoss(const SuspectRequest &request, const TargetProcess &process,
                  Time sentAt, Time now);
  /// Records that a response was complete, or lasted after its first event.
  void recordSurvival(const SuspectRequest &request, Time sentAt, Time now);

  /// Returns the cause for which the request must not be sent; nothing if it
  /// may be sent, also for a trial.
  std::optional<CrashCause> findQuarantined(const SuspectRequest &request,
                                            Time now) const;
  /// Crashes that led to a quarantine, as far as this router knows them.
  std::size_t crashCount(const CrashCause &cause) const;
  /// Records that a request is about to be sent; counts it as a trial, and
  /// returns true, if it has a quarantined cause.
  bool recordSent(const SuspectRequest &request, Time now);
  /// Takes a trial back that no target ran.
  void withdrawTrial(const SuspectRequest &request);
  /// Whether a request that was lost may be sent to another target.
  bool mayRepeat(const SuspectRequest &request, Time now) const;

  /// Adopts what another router knows. `relayed`: this router passes it on to
  /// other groups.
  void receive(const QuarantineReport &report, bool relayed, Time now);
  /// What this router saw itself, for its group; and what its group saw, for
  /// other groups. Quarantined causes are in every report, so that a router
  /// that starts or wakes learns them.
  QuarantineReport takeOwnReport(Time now);
  QuarantineReport takeGroupReport(Time now);

  /// Forgets what is too old, and quarantines causes; call periodically.
  void update(Time now);
  /// Returns and clears the changes since the last call.
  std::vector<FleetChange> takeChanges();

private:
  struct Quarantine {
    /// Time of the decision or the last trial.
    Time Since{};
    std::uint32_t Trials = 0;
    Time LastCrashAt{};
    std::size_t Crashes = 0;
    /// `Since` before the last trial, if that was of this router.
    std::optional<Time> SinceBeforeTrial = std::nullopt;
  };

  /// The quarantined causes that the request has.
  std::vector<CrashCause> quarantinedOf(const SuspectRequest &request) const;
  bool isQuarantined(const CrashCause &cause) const {
    return Quarantined.count(cause) > 0;
  }
  /// Returns whether the loss is new evidence.
  bool addLoss(CrashEvidence::Loss loss);
  /// Returns false if the memory is full.
  bool quarantine(const CrashCause &cause, const Quarantine &entry);
  bool quarantineSuspect(const std::optional<CrashSuspect> &suspect, Time now);
  std::optional<CrashSuspect> worstRequest(Time latest) const;
  std::optional<CrashSuspect> worstPart(Time latest) const;
  void addSurvival(const CrashCause &cause, Time sentAt, PendingReports pending,
                   Time now);
  void adopt(const QuarantinedCause &quarantined, Time now);
  /// The time at which the next trial is due; nothing after the last one.
  std::optional<Time> nextTrialAt(const Quarantine &quarantine) const;
  bool hasTrialTurn(const CrashCause &cause, const Quarantine &quarantine,
                    Time now) const;
  QuarantineReport takeReport(int PendingReports::*pending, Time now);

  HostId Self;
  QuarantinePolicy Policy;
  std::vector<HostId> Routers;
  CrashEvidence Evidence;
  std::map<CrashCause, Quarantine> Quarantined;
  Time UpdatedAt{};
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
