/// Order of the events of a stream over the runs that it is made of.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill::routing {

/// Why a run of a stream ends before the target has ended it.
struct StreamFault {
  enum class Kind {
    /// A resumed run does not begin after the last event forwarded.
    NotJoined,
    /// An id does not increase within a run.
    NotIncreasing,
  };
  Kind FaultKind = Kind::NotJoined;
  std::string Reason;
};

/// Decides for each complete event whether it may follow those forwarded. Ids
/// that are decimal numbers increase; others are compared for equality only.
class StreamSequence {
public:
  /// `lastEventId` names the event after which the first run begins; empty at
  /// the start of a stream.
  explicit StreamSequence(std::string_view lastEventId = {});

  /// Begins a run that goes on after the last event.
  void beginRun();
  /// Adds a complete event, which is forwarded unless a fault is returned. Then
  /// nothing more of the run may be forwarded.
  std::optional<StreamFault> append(std::string_view event);

  /// Id of the last event, after which the stream can be resumed; empty before
  /// the first, if an event without an id is the last one, and if the id cannot
  /// be sent in a header.
  const std::string &resumableAfter() const;
  /// Id of the event after which this run is to begin; empty if it begins the
  /// stream.
  const std::string &runBeginsAfter() const { return RunBeginsAfter; }
  /// Id of the first event of this run that has one, also if it is not
  /// forwarded.
  const std::string &firstIdOfRun() const { return FirstIdOfRun; }

private:
  /// By how much the ids of events differ, as far as known.
  enum class Step { Unknown, One, Varying };
  struct Id {
    std::string Text;
    std::optional<std::uint64_t> Number;
  };
  static Id makeId(std::string_view text);
  std::optional<StreamFault> checkId(const Id &id) const;
  bool isRepeated(const Id &id) const;
  bool isSuccessor(const Id &id) const;
  void recordId(Id id);

  std::optional<Id> Last;
  /// Id of the first event forwarded.
  std::string First;
  std::string RunBeginsAfter;
  std::string FirstIdOfRun;
  Step IdStep = Step::Unknown;
  bool AtRunStart = true;
  /// The last event forwarded has no id that can be sent.
  bool LastIsUnnamed = false;
};

} // namespace nutmegsill::routing
