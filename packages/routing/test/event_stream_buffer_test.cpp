#include "nutmegsill/routing/event_stream_buffer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace nutmegsill::routing {

namespace {

EventBoundary boundaryAfter(std::string_view text, std::size_t partBytes) {
  EventBoundary boundary;
  for (std::size_t i = 0; i < text.size(); i += partBytes) {
    boundary.append(text.substr(i, partBytes));
  }
  return boundary;
}

} // namespace

// Guards against sound streams that are taken for broken ones.
TEST_CASE("event_boundary_stream_that_ends_between_events_is_outside") {
  const std::string text =
      GENERATE("data: a\n\n", "id: 1\ndata: a\n\n\n", "data: a\r\n\r\n",
               "data: a\r\n\r\ndata: b\r\n\r\n", "data: a\r\r", "\ndata: a\n\n",
               ": note\n\ndata: a\n\n", "data: a\n\n: note\n",
               "data: a\n\n: note", "data: a\n\n\n\n", "data: a\n\n\r\n");
  const std::size_t partBytes = GENERATE(1, 2, 3, 100);
  const EventBoundary boundary = boundaryAfter(text, partBytes);
  CAPTURE(text, partBytes);
  CHECK_FALSE(boundary.isInsideEvent());
  CHECK(boundary.hasEvent());
}

TEST_CASE("event_boundary_stream_that_ends_in_event_is_inside") {
  const std::string text = GENERATE(
      "d", "data: a", "data: a\n", "data: a\r", "data: a\r\n", "id: 1\n",
      "data: a\n\nid", "data: a\r\n\r\nid", "data: a\r\rid",
      "data: a\n: note\n", ": note\ndata", "\n\ndata: a", "data: a\n\n\nid: 2");
  const std::size_t partBytes = GENERATE(1, 2, 3, 100);
  CAPTURE(text, partBytes);
  CHECK(boundaryAfter(text, partBytes).isInsideEvent());
}

TEST_CASE("event_boundary_stream_of_comments_has_no_event") {
  const EventBoundary boundary = boundaryAfter(": a\n\n\n: b\n\n", 100);
  CHECK_FALSE(boundary.hasEvent());
  CHECK_FALSE(boundary.isInsideEvent());
}

TEST_CASE("event_stream_buffer_incomplete_event_is_held_back") {
  EventStreamBuffer events;
  CHECK(events.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(events.lastEventId() == "1");
  CHECK(events.append("ta: b\n") == "");
  CHECK(events.append("\n") == "id: 2\ndata: b\n\n");
  CHECK(events.lastEventId() == "2");
  CHECK(events.append("id: 4\r\ndata: c\r\n\r\n") ==
        "id: 4\r\ndata: c\r\n\r\n");
  CHECK(events.lastEventId() == "4");
  events.append("id: 5\n");
  events.beginRun();
  CHECK(events.takeIncomplete() == "");
  CHECK(events.lastEventId() == "4");
}

// Guards against a router that ended when it resumed a stream by such an id.
TEST_CASE("event_stream_buffer_id_that_fits_no_header_is_dropped") {
  for (const std::string &id :
       {std::string(70'000, '1'), std::string("1\r2"), std::string(1, '\0')}) {
    EventStreamBuffer events;
    const std::string text = "id: 1\n\nid: " + id + "\n\n";
    CHECK(events.append(text) == text);
    CHECK(events.lastEventId() == "");
    events.append("id: 3\n\n");
    CHECK(events.lastEventId() == "3");
  }
}

TEST_CASE("event_stream_buffer_any_split_returns_same_bytes") {
  const std::string whole =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\n\n: note\n\nid: 3\ndata: c\n\nrest";
  const bool passed =
      rc::check([&whole](const std::vector<std::uint8_t> &cuts) {
        EventStreamBuffer events;
        std::string out;
        std::size_t from = 0;
        for (const std::uint8_t cut : cuts) {
          const std::size_t n =
              std::min<std::size_t>(cut % 7, whole.size() - from);
          out += events.append(std::string_view(whole).substr(from, n));
          from += n;
        }
        out += events.append(std::string_view(whole).substr(from));
        out += events.takeIncomplete();
        RC_ASSERT(out == whole);
        RC_ASSERT(events.lastEventId() == "3");
      });
  CHECK(passed);
}

} // namespace nutmegsill::routing
