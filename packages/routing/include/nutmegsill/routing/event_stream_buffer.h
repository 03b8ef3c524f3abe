/// Splits a `text/event-stream` at the ends of events.
#pragma once

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
/// be resumed on another target after its last complete event.
class EventStreamBuffer {
public:
  /// Appends bytes and returns the events that they complete.
  std::string append(std::string_view part);
  /// Returns and clears the incomplete event; call at the end of the stream.
  std::string takeIncomplete();
  /// Discards the incomplete event; call before the stream resumes on another
  /// target.
  void beginRun() {
    Pending.clear();
    Boundary.reset();
    FirstEventId.clear();
  }
  /// Id of the last complete event that had one; empty before the first, and
  /// if the id cannot be sent in a header.
  const std::string &lastEventId() const { return LastEventId; }
  /// Id of the first complete event of this run that had one.
  const std::string &firstEventId() const { return FirstEventId; }

private:
  void recordEventId(std::string_view event);
  std::string Pending;
  EventBoundary Boundary;
  std::string LastEventId;
  std::string FirstEventId;
};

} // namespace nutmegsill::routing
