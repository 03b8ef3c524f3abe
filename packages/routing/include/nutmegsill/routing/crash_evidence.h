/// What routers saw of requests whose targets ended, and of responses that
/// lasted since.
#pragma once

#include "nutmegsill/routing/prompt.h"
#include "nutmegsill/routing/request_identity.h"
#include "nutmegsill/routing/target_process.h"
#include "nutmegsill/types.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegsill::routing {

/// What crashes may be due to: a request that callers repeat, or a part that
/// prompts share.
struct CrashCause {
  enum class Kind : std::uint8_t { Request, PromptPart };
  Kind Type = Kind::Request;
  std::uint64_t Hash = 0;
  auto operator<=>(const CrashCause &) const = default;
};

/// A request as a possible cause of crashes.
struct SuspectRequest {
  const RequestIdentity &Identity;
  /// All of its parts but the last may be shared with other requests.
  const PromptDescription &Prompt;
};

/// A request whose target ended before its response had lasted.
struct LostRequest {
  TargetProcess Process;
  /// Time since the loss.
  Duration Age{0};
  /// `RequestIdentity::hash`.
  std::uint64_t Request = 0;
  /// Hashes of the prompt parts that other requests may share, in order.
  std::vector<std::uint64_t> Parts;
  /// Time from the send to the loss.
  Duration Running{0};
};

/// A cause with which a response has lasted.
struct SurvivedCause {
  CrashCause Cause;
  /// Time since the request was sent.
  Duration Age{0};
};

struct CrashEvidencePolicy {
  /// Crashes that are closer to each other count as one: a zone or a rack that
  /// loses power ends many targets at once.
  Duration MinCrashSpacing = milliseconds(100);
  /// Time for which crashes and lasting responses count.
  Duration Memory = std::chrono::seconds(120);
  /// Bounds of the memory, since callers choose what they send.
  std::size_t MaxLostRequests = 512;
  /// Age from which a lost request yields to a new one when there are that
  /// many: fewer crashes with all that was lost tell more than many with a
  /// part.
  Duration MinReplacedAge = std::chrono::seconds(5);
  std::size_t MaxPartsPerPrompt = 16;
  std::size_t MaxSurvivals = 2'048;
  std::size_t MaxExplained = 512;
  /// Reports that repeat a new fact: a report may be lost.
  int ReportRepeats = 3;
  std::size_t MaxLostRequestsPerReport = 128;
};

/// Reports that still have to carry a fact.
struct PendingReports {
  /// Of this router, for its group.
  int Own = 0;
  /// Of its group, for other groups.
  int Group = 0;
};

/// A possible cause and the crashes under it.
struct CrashSuspect {
  CrashCause Cause;
  /// Target processes that ended.
  std::size_t Targets = 0;
  /// The same, those that ended together counted once.
  std::size_t Crashes = 0;
  /// Different requests that it takes to explain them, at most
  /// `MaxExplainingRequests`.
  std::size_t Requests = 0;
  /// Index in the prompt.
  std::size_t Position = 0;
  Time FirstCrashAt{};
  Time LastCrashAt{};
};

/// Merged by union, so that reports may be lost, repeated or reordered. Not
/// thread-safe.
class CrashEvidence {
public:
  static constexpr std::size_t MaxExplainingRequests = 3;
  using CausePredicate = std::function<bool(const CrashCause &)>;

  struct Loss {
    TargetProcess Process;
    Time At{};
    Time SentAt{};
    std::uint64_t Request = 0;
    std::vector<std::uint64_t> Parts;
    PendingReports Pending;
  };

  explicit CrashEvidence(CrashEvidencePolicy policy) : Policy(policy) {}

  /// The causes that a request stands for.
  std::vector<std::uint64_t> sharedParts(const PromptDescription &prompt) const;
  std::vector<CrashCause> causesOf(const SuspectRequest &request) const;

  bool isEmpty() const { return Losses.empty(); }
  /// Returns whether the loss is new.
  bool addLoss(Loss loss);
  void addSurvival(const CrashCause &cause, Time sentAt,
                   PendingReports pending);
  /// Reports again that a response has lasted with the cause.
  void repeatSurvival(const CrashCause &cause);
  /// When the latest request that survived with the cause was sent.
  std::optional<Time> survivedAt(const CrashCause &cause) const;
  /// Whether there is a crash under the cause since.
  bool isSuspected(const CrashCause &cause) const;
  /// Crashes before `time` tell nothing of prompt parts any more.
  void forgetPartsBefore(Time time);
  void expire(Time now);

  /// Takes the crashes under a cause, and what else was lost with them, for
  /// explained.
  void explain(const CrashCause &cause);
  bool isExplained(const TargetProcess &process) const {
    return Explained.count(process) > 0;
  }
  /// Takes a crash for explained.
  void explain(const TargetProcess &process, Time at);

  /// Crashes up to `latest` under each of the requests in `wanted`, without a
  /// lasting response since.
  std::vector<CrashSuspect> suspectRequests(Time latest,
                                            const CausePredicate &wanted) const;
  /// The same for prompt parts.
  std::vector<CrashSuspect> suspectParts(Time latest,
                                         const CausePredicate &wanted) const;
  /// Crashes up to `latest` of which prompt parts may be the cause, since the
  /// first one under the suspect; those that came together counted once.
  std::size_t countCrashes(const CrashSuspect &suspect, Time latest) const;

  /// Adds what reports still have to carry.
  void report(int PendingReports::*pending, Time now,
              std::vector<LostRequest> &lost,
              std::vector<SurvivedCause> &survived);

private:
  struct Survival {
    Time SentAt{};
    PendingReports Pending;
  };
  /// A crash under a cause.
  struct Crash {
    Time At{};
    Time SentAt{};
  };

  /// Makes room for a loss; returns false if it is weaker than all others.
  bool replaceWeakest(const Loss &loss);
  void noteLatest(const Loss &loss);
  bool hasSurvived(const CrashCause &cause, Time since) const;
  std::size_t countSpaced(std::vector<Crash> crashes) const;
  /// Puts together what was lost in crashes that count as one.
  std::map<Time, std::set<std::uint64_t>>
  groupSpaced(const std::map<Time, std::set<std::uint64_t>> &requests) const;
  static bool hasCause(const Loss &loss, const CrashCause &cause);
  /// Whether the loss is explained, and reported often enough.
  bool isDone(const Loss &loss) const;

  CrashEvidencePolicy Policy;
  /// In the order in which this router learned of them.
  std::vector<Loss> Losses;
  /// The latest crash under each cause.
  std::map<CrashCause, Time> LatestCrashAt;
  /// `LatestCrashAt` has causes that are in no loss any more.
  bool HasStaleCauses = false;
  Time PartsFrom{};
  std::map<CrashCause, Survival> Survivals;
  /// When targets ended under causes that are known.
  std::map<TargetProcess, Time> Explained;
};

} // namespace nutmegsill::routing
