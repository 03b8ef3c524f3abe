/// Splits a `text/event-stream` at the ends of events.
#pragma once

#include "nutmegsill/routing/stream_sequence.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill::routing {

/// Finds the ends of events: an empty line. Lines end with a line feed, a
/// carriage return, or both.
class EventBoundary {
public:
  /// Consumes bytes and returns the offset in `part` after the last event that
  /// they complete; nothing if they complete none.
  std::optional<std::size_t> append(std::string_view part);
  /// Consumes bytes up to the end of the first event that they complete, and
  /// returns the offset after it; consumes all if they complete none.
  std::optional<std::size_t> appendEvent(std::string_view part);
  /// Bytes of the incomplete event.
  std::size_t pendingBytes() const { return PendingBytes; }
  /// Whether an event has begun and its end has not come; comments are no part
  /// of an event.
  bool isInsideEvent() const { return InsideEvent; }
  /// Whether an event has been completed.
  bool hasEvent() const { return HasEvent; }
  void reset() { *this = EventBoundary(); }

private:
  std::size_t PendingBytes = 0;
  /// The last byte ended a line that was not empty.
  bool AtLineStart = false;
  bool AfterCarriageReturn = false;
  bool InsideEvent = false;
  bool HasEvent = false;
};

/// Buffers the incomplete event at the end of a stream, so that the stream can
/// be resumed on another target after its last complete event, and ends a run
/// at an event that may not follow those before.
class EventStreamBuffer {
public:
  /// `lastEventId` names the event after which the stream begins; empty at its
  /// start.
  explicit EventStreamBuffer(std::string_view lastEventId = {})
      : Sequence(lastEventId) {}

  /// Appends bytes and returns the events that they complete, up to one that
  /// may not be forwarded.
  std::string append(std::string_view part);
  /// The same for a body that is no event stream; its blocks are not checked.
  std::string appendUnchecked(std::string_view part);
  /// Returns and clears the incomplete event; call at the end of the stream.
  std::string takeIncomplete();
  /// Discards the incomplete event; call before the stream resumes on another
  /// target.
  void beginRun();

  /// Why the run ends, if an event may not be forwarded.
  const std::optional<StreamFault> &fault() const { return Fault; }
  /// The events of this run.
  const EventBoundary &boundary() const { return Boundary; }
  /// Id of the last event, after which the stream can be resumed; empty if it
  /// cannot.
  const std::string &lastEventId() const { return Sequence.resumableAfter(); }
  /// Id of the event after which this run is to begin; empty if it begins the
  /// stream.
  const std::string &runBeginsAfter() const {
    return Sequence.runBeginsAfter();
  }
  /// Id of the first complete event of this run that had one.
  const std::string &firstEventId() const { return Sequence.firstIdOfRun(); }

private:
  std::string Pending;
  EventBoundary Boundary;
  StreamSequence Sequence;
  std::optional<StreamFault> Fault;
};

} // namespace nutmegsill::routing
