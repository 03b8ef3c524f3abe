/// Finds the ends of events in a `text/event-stream`.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace nutmegsill::routing {

/// Holds back the unfinished event at the end of a stream, so that a stream
/// can be continued elsewhere after its last whole event.
class EventStreamBuffer {
public:
  /// Adds bytes; returns all whole events that are now complete.
  std::string append(std::string_view part);
  /// The unfinished event; for a stream that has ended.
  std::string takeIncomplete();
  /// Drops the unfinished event; the stream continues on another target.
  void dropIncomplete() { Pending.clear(); }
  /// Id of the last whole event; empty before the first.
  const std::string &lastEventId() const { return LastEventId; }

private:
  void recordEventId(std::string_view event);
  std::string Pending;
  std::string LastEventId;
};

} // namespace nutmegsill::routing
