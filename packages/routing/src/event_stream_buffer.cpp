#include "nutmegsill/routing/event_stream_buffer.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

/// Longest id by which a stream is resumed.
constexpr std::size_t MaxEventIdBytes = 1'024;

/// Whether an id can be sent as the value of a header field.
bool mayNameEvent(std::string_view id) {
  return id.size() <= MaxEventIdBytes &&
         std::none_of(id.begin(), id.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte < ' ' || byte == 0x7f;
         });
}

} // namespace

std::optional<std::size_t> EventBoundary::append(std::string_view part) {
  std::optional<std::size_t> end;
  for (std::size_t i = 0; i < part.size(); ++i) {
    const char c = part[i];
    const bool endsLine = c == '\n' || c == '\r';
    const bool completesLineEnd = c == '\n' && AfterCarriageReturn;
    AfterCarriageReturn = c == '\r';
    ++PendingBytes;
    if (completesLineEnd) {
      // The only pending byte belongs to the line that ended the last event.
      if (PendingBytes == 1) {
        end = i + 1;
        PendingBytes = 0;
      }
      continue;
    }
    const bool emptyLine = endsLine && AtLineStart;
    if (!endsLine && c != ':' && (AtLineStart || PendingBytes == 1)) {
      InsideEvent = true;
    }
    AtLineStart = endsLine && !emptyLine;
    if (emptyLine) {
      end = i + 1;
      PendingBytes = 0;
      HasEvent = HasEvent || InsideEvent;
      InsideEvent = false;
    }
  }
  return end;
}

std::string EventStreamBuffer::append(std::string_view part) {
  const std::optional<std::size_t> end = Boundary.append(part);
  if (!end) {
    Pending.append(part);
    return {};
  }
  std::string complete = std::move(Pending);
  complete.append(part.substr(0, *end));
  Pending.assign(part.substr(*end));
  recordEventId(complete);
  return complete;
}

std::string EventStreamBuffer::takeIncomplete() {
  std::string out;
  out.swap(Pending);
  Boundary.reset();
  return out;
}

void EventStreamBuffer::recordEventId(std::string_view event) {
  constexpr std::string_view field = "id:";
  std::size_t at = 0;
  while (at < event.size()) {
    std::size_t end = event.find('\n', at);
    if (end == std::string_view::npos) {
      end = event.size();
    }
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (line.substr(0, field.size()) != field) {
      continue;
    }
    line.remove_prefix(field.size());
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (mayNameEvent(line)) {
      LastEventId.assign(line);
      if (FirstEventId.empty()) {
        FirstEventId = LastEventId;
      }
    } else {
      LastEventId.clear();
    }
  }
}

} // namespace nutmegsill::routing
