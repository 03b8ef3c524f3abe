#include "nutmegsill/routing/event_stream_buffer.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <sstream>

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
       {std::string(70'000, '1'), std::string("1\t2"), std::string(1, '\0')}) {
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

class EventStreamRunsFixture {
protected:
  /// Appends a run with these ids; returns those that may be forwarded.
  std::string appendRun(const std::string &ids) {
    std::istringstream in(ids);
    std::string forwarded;
    for (std::string id; in >> id;) {
      const std::string event =
          id == "-" ? "data: unnamed\n\n" : "id: " + id + "\ndata: a\n\n";
      forwarded += Events.append(event).empty() ? "" : id + " ";
    }
    return forwarded;
  }

  EventStreamBuffer Events;
};

// Guards against runs that are joined although events repeat or are missing.
TEST_CASE_METHOD(EventStreamRunsFixture,
                 "event_stream_buffer_run_that_does_not_go_on_is_refused") {
  const std::pair<std::string, std::string> runs =
      GENERATE(std::pair<std::string, std::string>{"1 2 3", "1 2 3 4"},
               std::pair<std::string, std::string>{"1 2 3", "3 4"},
               std::pair<std::string, std::string>{"1 2 3", "5 6"},
               std::pair<std::string, std::string>{"1", "3"},
               std::pair<std::string, std::string>{"1 2 3", "- 4"},
               std::pair<std::string, std::string>{"1 2 3", "a 4"},
               std::pair<std::string, std::string>{"10 20", "20 30"},
               std::pair<std::string, std::string>{"9 10", "9 10 11"},
               std::pair<std::string, std::string>{"a b", "a b c"},
               std::pair<std::string, std::string>{"a b", "b c"});
  appendRun(runs.first);
  const std::string last = Events.lastEventId();
  Events.beginRun();
  CAPTURE(runs.first, runs.second);
  CHECK(appendRun(runs.second).empty());
  REQUIRE(Events.fault());
  CHECK(Events.fault()->FaultKind == StreamFault::Kind::NotJoined);
  CHECK(Events.lastEventId() == last);
}

TEST_CASE_METHOD(EventStreamRunsFixture,
                 "event_stream_buffer_run_that_goes_on_is_joined") {
  const std::pair<std::string, std::string> runs =
      GENERATE(std::pair<std::string, std::string>{"1 2 3", "4 5 "},
               std::pair<std::string, std::string>{"9", "10 11 "},
               std::pair<std::string, std::string>{"10 20", "30 40 "},
               std::pair<std::string, std::string>{"1 2 5", "9 10 "},
               std::pair<std::string, std::string>{"1 - 2", "3 - "},
               std::pair<std::string, std::string>{"a b", "c d "},
               std::pair<std::string, std::string>{"", "1 2 "});
  appendRun(runs.first);
  Events.beginRun();
  CAPTURE(runs.first, runs.second);
  CHECK(appendRun(runs.second) == runs.second);
  CHECK_FALSE(Events.fault());
}

TEST_CASE_METHOD(EventStreamRunsFixture,
                 "event_stream_buffer_id_that_does_not_increase_ends_run") {
  const std::string wrong = GENERATE("3", "2", "1 2 3 4");
  CHECK(appendRun("1 2 3 " + wrong + " 4") == "1 2 3 ");
  REQUIRE(Events.fault());
  CHECK(Events.fault()->FaultKind == StreamFault::Kind::NotIncreasing);
  CHECK(Events.lastEventId() == "3");
}

// Guards against an event without an id that is sent again.
TEST_CASE_METHOD(
    EventStreamRunsFixture,
    "event_stream_buffer_after_event_without_id_is_not_resumable") {
  appendRun("1 2 -");
  CHECK(Events.lastEventId().empty());
  appendRun("3");
  CHECK(Events.lastEventId() == "3");
}

TEST_CASE_METHOD(EventStreamRunsFixture,
                 "event_stream_buffer_caller_that_takes_up_gets_later_events") {
  Events = EventStreamBuffer("3");
  CHECK(Events.lastEventId() == "3");
  const std::string wrong = GENERATE("1 2 3 4", "3 4");
  CHECK(appendRun(wrong).empty());
  Events.beginRun();
  CHECK(appendRun("4 5") == "4 5 ");
}

TEST_CASE("event_stream_buffer_lines_may_end_with_carriage_returns") {
  EventStreamBuffer events;
  events.append("id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\n");
  CHECK(events.lastEventId() == "2");
  CHECK(events.append("id: 2\rdata: b\r\r").empty());
}

// Guards against any joining of runs that repeats or omits an event.
TEST_CASE("event_stream_buffer_any_runs_forward_each_event_once") {
  const bool passed = rc::check([] {
    EventStreamBuffer events;
    std::string out;
    const int count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
      const int first = *rc::gen::inRange(1, 8);
      const int end = *rc::gen::inRange(first, 10);
      events.beginRun();
      for (int id = out.empty() ? 1 : first; id < end; ++id) {
        out += events.append("id: " + std::to_string(id) + "\n\n");
      }
    }
    std::string expected;
    for (int id = 1; expected.size() < out.size(); ++id) {
      expected += "id: " + std::to_string(id) + "\n\n";
    }
    RC_ASSERT(out == expected);
  });
  CHECK(passed);
}

} // namespace nutmegsill::routing
