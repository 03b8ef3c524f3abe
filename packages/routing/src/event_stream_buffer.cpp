#include "nutmegsill/routing/event_stream_buffer.h"

namespace nutmegsill::routing {

std::optional<std::size_t> EventBoundary::append(std::string_view part) {
  std::optional<std::size_t> last;
  std::size_t from = 0;
  while (const std::optional<std::size_t> end =
             appendEvent(part.substr(from))) {
    from += *end;
    last = from;
  }
  return last;
}

std::optional<std::size_t> EventBoundary::appendEvent(std::string_view part) {
  for (std::size_t i = 0; i < part.size(); ++i) {
    const char c = part[i];
    const bool endsLine = c == '\n' || c == '\r';
    const bool completesLineEnd = c == '\n' && AfterCarriageReturn;
    AfterCarriageReturn = c == '\r';
    ++PendingBytes;
    if (completesLineEnd) {
      // The only pending byte belongs to the line that ended the last event.
      if (PendingBytes == 1) {
        PendingBytes = 0;
        return i + 1;
      }
      continue;
    }
    const bool emptyLine = endsLine && AtLineStart;
    if (!endsLine && c != ':' && (AtLineStart || PendingBytes == 1)) {
      InsideEvent = true;
    }
    AtLineStart = endsLine && !emptyLine;
    if (emptyLine) {
      PendingBytes = 0;
      HasEvent = HasEvent || InsideEvent;
      InsideEvent = false;
      return i + 1;
    }
  }
  return std::nullopt;
}

std::string EventStreamBuffer::append(std::string_view part) {
  std::string complete;
  while (!Fault) {
    const std::optional<std::size_t> end = Boundary.appendEvent(part);
    if (!end) {
      Pending.append(part);
      break;
    }
    Pending.append(part.substr(0, *end));
    part.remove_prefix(*end);
    Fault = Sequence.append(Pending);
    if (!Fault) {
      complete.append(Pending);
    }
    Pending.clear();
  }
  return complete;
}

std::string EventStreamBuffer::appendUnchecked(std::string_view part) {
  Pending.append(part);
  const std::optional<std::size_t> end = Boundary.append(part);
  if (!end) {
    return {};
  }
  std::string rest = Pending.substr(Pending.size() - (part.size() - *end));
  Pending.resize(Pending.size() - rest.size());
  Pending.swap(rest);
  return rest;
}

std::string EventStreamBuffer::takeIncomplete() {
  std::string out;
  out.swap(Pending);
  Boundary.reset();
  return out;
}

void EventStreamBuffer::beginRun() {
  Pending.clear();
  Boundary.reset();
  Sequence.beginRun();
  Fault.reset();
}

} // namespace nutmegsill::routing
