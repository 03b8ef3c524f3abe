#include "nutmegsill/routing/event_stream_buffer.h"

namespace nutmegsill::routing {

std::string EventStreamBuffer::append(std::string_view part) {
  Pending.append(part);
  std::string complete;
  std::size_t end = Pending.find("\n\n");
  while (end != std::string::npos) {
    const std::size_t size = end + 2;
    recordEventId(std::string_view(Pending).substr(0, size));
    complete.append(Pending, 0, size);
    Pending.erase(0, size);
    end = Pending.find("\n\n");
  }
  return complete;
}

std::string EventStreamBuffer::takeIncomplete() {
  std::string out;
  out.swap(Pending);
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
    LastEventId.assign(line);
  }
}

} // namespace nutmegsill::routing
