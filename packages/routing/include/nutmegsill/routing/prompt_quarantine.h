/// Finds prompt parts that crash engines, and keeps them from further engines.
///
/// Answers the load of requests that share one prompt part under which each
/// engine ends that begins to respond, beside sound requests that share their
/// team and their other parts. Each router sees some of the crashes; routers
/// exchange what they see with their load reports. All of it is merged by
/// union, so that reports may be lost, repeated or reordered.
#pragma once

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/routing/prompt.h"
#include "nutmegsill/routing/request_identity.h"
#include "nutmegsill/routing/target_process.h"
#include "nutmegsill/types.h"

#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::routing {

/// A prompt whose engine ended before its response had lasted.
struct LostPrompt {
  TargetProcess Process;
  /// Time since the loss.
  Duration Age{0};
  /// Hashes of the parts that other requests may share, in order.
  std::vector<std::uint64_t> Parts;
};

/// A part with which a response has lasted.
struct SurvivedPart {
  std::uint64_t Part = 0;
  /// Time since the request was sent.
  Duration Age{0};
};

struct QuarantinedPart {
  std::uint64_t Part = 0;
  /// Time since the decision or the last trial.
  Duration Age{0};
  /// Requests that were sent nevertheless, to see whether the part still
  /// crashes engines.
  std::uint32_t Trials = 0;
};

struct QuarantineReport {
  std::vector<LostPrompt> Lost;
  std::vector<SurvivedPart> Survived;
  std::vector<QuarantinedPart> Quarantined;

  bool isEmpty() const {
    return Lost.empty() && Survived.empty() && Quarantined.empty();
  }
};

struct QuarantinePolicy {
  /// Crashes under a part, without a response that lasts since, after which it
  /// is quarantined: fewer than the five that callers may see.
  std::size_t MinCrashes = 3;
  /// Crashes that are closer to each other count as one: a zone or a rack that
  /// loses power ends many engines at once.
  Duration MinCrashSpacing = milliseconds(100);
  /// Fraction of all crashes since the first one under a part that must have
  /// come under it: a rare part that was lost with a few of many is sound.
  double MinCrashFraction = 1.0 / 3;
  /// Age from which a crash counts: by then all routers have reported what they
  /// lost with it, and responses with sound parts have lasted since.
  Duration MinCrashAge = milliseconds(1'000);
  /// Time after a quarantine whose crashes are no evidence: prompts with the
  /// part are still on their way, and not every router has heard of all that
  /// were lost with them.
  Duration SettlingTime = milliseconds(1'000);
  /// Crashes under a part after which a request with it is not repeated.
  std::size_t MaxCrashesForRepeat = 1;
  /// Time for which crashes and lasting responses count.
  Duration Memory = std::chrono::seconds(120);
  /// Time from a quarantine to the first trial, and the factor for each further
  /// one: few engines are lost to a part that stays harmful.
  Duration FirstTrialDelay = std::chrono::seconds(15);
  double TrialBackoff = 4;
  /// Time for which one router may make a trial before it is another one's
  /// turn.
  Duration TrialTurn = std::chrono::seconds(3);
  /// Time without a trial after which a quarantine ends: its part is not
  /// requested any more.
  Duration MaxQuarantine = std::chrono::hours(1);
  /// Longest time that a report takes; times of different routers are compared
  /// with this tolerance.
  Duration MaxReportDelay = milliseconds(500);
  /// Bounds of the memory, since callers choose their prompt parts.
  std::size_t MaxLostPrompts = 512;
  /// Age from which a lost prompt yields to a new one when there are that many:
  /// fewer crashes with all that was lost tell more than many with a part.
  Duration MinReplacedAge = std::chrono::seconds(5);
  std::size_t MaxPartsPerPrompt = 16;
  std::size_t MaxQuarantinedParts = 64;
  /// Reports that repeat a new fact: a report may be lost.
  int ReportRepeats = 3;
  std::size_t MaxLostPromptsPerReport = 128;
};

/// Not thread-safe. Parts are those that other requests may share: all of a
/// prompt but the last.
class PromptQuarantine {
public:
  explicit PromptQuarantine(HostId self, QuarantinePolicy policy = {})
      : Self(std::move(self)), Policy(policy) {}

  /// Sets the routers of the fleet, which take turns at trials.
  void setRouters(std::vector<HostId> routers) { Routers = std::move(routers); }

  /// Records that a target ended before the response had lasted.
  void recordLoss(const RequestIdentity &request,
                  const PromptDescription &prompt, const TargetProcess &process,
                  Time now);
  /// Records that a response was complete, or lasted after its first event.
  void recordSurvival(const PromptDescription &prompt, Time sentAt, Time now);

  /// Returns the part for which the prompt must not be sent; nothing if it may
  /// be sent, also for a trial.
  std::optional<std::uint64_t> findQuarantined(const PromptDescription &prompt,
                                               Time now) const;
  /// Records that a prompt is sent; counts it as a trial if it has a
  /// quarantined part.
  void recordSent(const PromptDescription &prompt, Time now);
  /// Whether a prompt that was lost may be sent to another engine.
  bool mayRepeat(const PromptDescription &prompt, Time now) const;

  /// Adopts what another router knows. `relayed`: this router passes it on to
  /// other groups.
  void receive(const QuarantineReport &report, bool relayed, Time now);
  /// What this router saw itself, for its group; and what its group saw, for
  /// other groups. Quarantined parts are in every report, so that a router that
  /// starts or wakes learns them.
  QuarantineReport takeOwnReport(Time now);
  QuarantineReport takeGroupReport(Time now);

  /// Forgets what is too old, and quarantines parts; call periodically.
  void update(Time now);
  /// Returns and clears the changes since the last call.
  std::vector<FleetChange> takeChanges();

private:
  /// Reports that still have to carry a fact.
  struct PendingReports {
    int Own = 0;
    int Group = 0;
  };
  struct Loss {
    TargetProcess Process;
    Time At{};
    std::vector<std::uint64_t> Parts;
    PendingReports Pending;
  };
  struct Survival {
    Time SentAt{};
    PendingReports Pending;
  };
  struct Quarantine {
    /// Time of the decision or the last trial.
    Time Since{};
    std::uint32_t Trials = 0;
  };
  struct Suspect {
    std::uint64_t Part = 0;
    /// Engines that ended.
    std::size_t Engines = 0;
    /// The same, those that ended together counted once.
    std::size_t Crashes = 0;
    /// Index in the prompt.
    std::size_t Position = 0;
    Time FirstCrashAt{};
  };

  void addLoss(Loss loss);
  /// Quarantines a part, which explains all crashes so far.
  void quarantine(std::uint64_t part, const Quarantine &entry);
  void addSurvival(std::uint64_t part, Time sentAt, PendingReports pending,
                   Time now);
  void adopt(const QuarantinedPart &quarantined, Time now);
  bool isSuspected(std::uint64_t part) const;
  /// Crashes up to `latest` under each part that no quarantined part explains,
  /// without a lasting response since.
  std::vector<Suspect> suspects(Time latest) const;
  /// Crashes up to `latest` since the first one under the part, those that came
  /// together counted once.
  std::size_t countCrashes(const Suspect &suspect, Time latest) const;
  /// The time at which the next trial is due.
  Time nextTrialAt(const Quarantine &quarantine) const;
  bool hasTrialTurn(std::uint64_t part, const Quarantine &quarantine,
                    Time now) const;
  QuarantineReport takeReport(int PendingReports::*pending, Time now);

  HostId Self;
  QuarantinePolicy Policy;
  std::vector<HostId> Routers;
  /// Oldest first; all are later than `EvidenceFrom`.
  std::vector<Loss> Losses;
  Time EvidenceFrom{};
  std::map<std::uint64_t, Survival> Survivals;
  std::map<std::uint64_t, Quarantine> Quarantined;
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
