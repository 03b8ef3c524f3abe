/// Splits a `text/event-stream` at the ends of events.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill::routing {

/// Finds the ends of events: an empty line, with or without carriage returns.
class EventBoundary {
public:
  /// Consumes bytes and returns the offset in `part` after the last event that
  /// they complete; nothing if they complete none.
  std::optional<std::size_t> append(std::string_view part);
  /// Bytes of the incomplete event.
  std::size_t pendingBytes() const { return PendingBytes; }
  void reset() { *this = EventBoundary(); }

private:
  std::size_t PendingBytes = 0;
  /// The last byte, apart from carriage returns, ended a line.
  bool AtLineStart = false;
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
  void dropIncomplete() {
    Pending.clear();
    Boundary.reset();
  }
  /// Id of the last complete event that had one; empty before the first, and
  /// if the id cannot be sent in a header.
  const std::string &lastEventId() const { return LastEventId; }

private:
  void recordEventId(std::string_view event);
  std::string Pending;
  EventBoundary Boundary;
  std::string LastEventId;
};

} // namespace nutmegsill::routing
