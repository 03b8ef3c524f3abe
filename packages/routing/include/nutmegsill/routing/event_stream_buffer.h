/// Splits a `text/event-stream` at the ends of events.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace nutmegsill::routing {

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
  void dropIncomplete() { Pending.clear(); }
  /// Id of the last complete event that had one; empty before the first.
  const std::string &lastEventId() const { return LastEventId; }

private:
  void recordEventId(std::string_view event);
  std::string Pending;
  std::string LastEventId;
};

} // namespace nutmegsill::routing
