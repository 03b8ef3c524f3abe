#include "nutmegsill/routing/stream_origins.h"

#include "fleet_fixture.h"

namespace nutmegsill::routing {

class StreamOriginsFixture : protected FleetFixture {
protected:
  static constexpr StreamKey Key{7};
  /// Two timeouts of the route, and the time for which a target may linger.
  static constexpr std::int64_t SpanMs = 4 * 6'000 + 30'000;

  static StreamOrigin origin(const std::string &name,
                             const std::string &version) {
    return {PoolId{"engines"}, {TargetId{name}, 1}, version};
  }
  static KnownOrigin known(const std::string &version) {
    return {PoolId{"engines"}, version};
  }
  /// Targets e-1, e-2, ... of these versions serve.
  void serve(const std::vector<std::string> &versions, std::int64_t ms) {
    auto view = std::make_shared<FleetView>();
    view->Config = Config;
    for (const std::string &it : versions) {
      TargetEntry entry =
          target("e-" + std::to_string(view->Targets.size() + 1), "engines");
      entry.Version = it;
      view->Targets.push_back({entry});
    }
    Streams.setView(view, at(ms));
  }
  /// The view is current, each half second.
  void watch(std::int64_t fromMs, std::int64_t toMs) {
    for (std::int64_t ms = fromMs; ms <= toMs; ms += 500) {
      Streams.setViewAge(milliseconds(200), at(ms));
    }
  }
  OriginDecision find(std::int64_t ms, std::optional<StreamKey> key = Key) {
    return Streams.find(key, Config->Routes[0], PoolId{"engines"}, at(ms));
  }
  std::string reason(std::int64_t ms, std::optional<StreamKey> key = Key) {
    const OriginDecision decision = find(ms, key);
    const auto *it = std::get_if<UnknownOrigin>(&decision);
    return it != nullptr ? it->Reason : "known";
  }
  void record(StreamKey key, const StreamOrigin &origin, std::int64_t ms,
              std::optional<Duration> callerTime = std::nullopt) {
    Streams.record(key, origin, callerTime, milliseconds(6'000), at(ms));
  }

  std::shared_ptr<ServiceConfig> Config = config();
  StreamOrigins Streams;
};

TEST_CASE("stream_key_each_field_and_its_bounds_make_another_stream") {
  const StreamContent base{"team", "host", "/a/", "m", "id"};
  StreamContent other = base;
  CHECK(streamKey(base) == streamKey(other));
  for (std::string_view StreamContent::*field :
       {&StreamContent::Team, &StreamContent::HostName, &StreamContent::Path,
        &StreamContent::Model, &StreamContent::RequestId}) {
    other = base;
    other.*field = "x";
    CHECK(streamKey(base) != streamKey(other));
  }
  other = base;
  other.Model = "mi";
  other.RequestId = "d";
  CHECK(streamKey(base) != streamKey(other));
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_recorded_stream_goes_on_at_its_version") {
  serve({"v1", "v2"}, 0);
  record(Key, origin("e-1", "v1"), 100);
  CHECK(find(200) == OriginDecision{known("v1")});
  // No target of the version is left.
  serve({"v2"}, 300);
  record(StreamKey{8}, origin("e-9", "v1"), 300);
  CHECK(find(400, StreamKey{8}) == OriginDecision{known("v1")});
  CHECK(find(400, StreamKey{9}) ==
        OriginDecision{UnknownOrigin{true, "starting"}});
  CHECK(find(400, std::nullopt) ==
        OriginDecision{UnknownOrigin{false, "starting"}});
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_replaced_process_makes_stream_unknown") {
  serve({"v1", "v1"}, 0);
  record(Key, origin("e-1", "v1"), 100);
  record(StreamKey{8}, origin("e-2", "v1"), 100);
  serve({"v2", "v1"}, 200);
  CHECK(reason(300) == "replaced");
  CHECK(find(300, StreamKey{8}) == OriginDecision{known("v1")});
  CHECK(
      Streams.answer({1, Key, "captions", PoolId{"engines"}}, at(300)).Origin ==
      AmbiguousOrigin);
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_id_of_two_streams_is_ambiguous") {
  serve({"v1", "v2"}, 0);
  record(Key, origin("e-1", "v1"), 100);
  record(Key, origin("e-3", "v1"), 200);
  CHECK(find(300) == OriginDecision{known("v1")});
  Streams.receive({{origin("e-2", "v2"), {{Key, milliseconds(2'000)}}}},
                  at(400));
  CHECK(reason(500) == "ambiguous");
  CHECK(
      Streams.answer({1, Key, "captions", PoolId{"engines"}}, at(500)).Origin ==
      AmbiguousOrigin);
}

// Guards against a peer's older record that counts instead.
TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_stream_of_two_versions_stays_so_at_peers") {
  const bool replaced = GENERATE(true, false);
  StreamOrigins told;
  StreamOrigins asking;
  serve({"v1", "v2"}, 0);
  record(Key, origin("e-1", "v1"), 100);
  for (int i = 0; i < 2; ++i) {
    const std::vector<StreamOriginReport> first = Streams.takeReport(at(150));
    told.receive(first, at(150));
    asking.receive(first, at(150));
  }
  if (replaced) {
    serve({"v2", "v2"}, 200);
    serve({}, 250);
  } else {
    record(Key, origin("e-2", "v2"), 200);
  }
  CHECK(reason(300) == (replaced ? "replaced" : "ambiguous"));
  told.receive(Streams.takeReport(at(300)), at(300));
  const RouteRule &route = Config->Routes[0];
  const PoolId pool{"engines"};
  CHECK(std::holds_alternative<UnknownOrigin>(
      told.find(Key, route, pool, at(400))));
  for (StreamOrigins *it : {&Streams, &told}) {
    const OriginAnswer answer = it->answer({1, Key, "captions", pool}, at(400));
    StreamOrigins unaware;
    CHECK(unaware.adopt(answer, Key, route, pool, at(400)) ==
          OriginDecision{UnknownOrigin{false, "ambiguous"}});
  }
  const OriginAnswer answer =
      Streams.answer({1, Key, "captions", pool}, at(400));
  CHECK(asking.adopt(answer, Key, route, pool, at(400)) ==
        OriginDecision{UnknownOrigin{false, "ambiguous"}});
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_route_that_left_the_pool_does_not_go_on") {
  Config->Routes[0].Pools = {{PoolId{"other"}, 3}, {PoolId{"engines"}, 1}};
  serve({"v1", "v2"}, 0);
  record(Key, origin("e-1", "v1"), 100);
  const RouteRule route = Config->Routes[0];
  CHECK(Streams.find(Key, route, PoolId{"other"}, at(200)) ==
        OriginDecision{known("v1")});
  Config->Routes[0].Pools = {{PoolId{"other"}, 1}};
  CHECK(reason(200) == "moved");
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_pool_without_weight_does_not_go_on") {
  Config->Routes[0].Pools = {{PoolId{"other"}, 1}, {PoolId{"engines"}, 0}};
  serve({"v1", "v2"}, 0);
  record(Key, origin("e-1", "v1"), 100);
  CHECK(reason(200) == "moved");
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_stream_is_kept_as_long_as_its_caller_waits") {
  serve({"v1", "v2"}, 0);
  record(StreamKey{1}, origin("e-1", "v1"), 0, milliseconds(2'000));
  record(StreamKey{2}, origin("e-1", "v1"), 0);
  record(StreamKey{3}, origin("e-1", "v1"), 0, std::chrono::hours(900'000));
  CHECK(reason(2'499, StreamKey{1}) == "known");
  CHECK(reason(2'500, StreamKey{1}) != "known");
  CHECK(reason(6'499, StreamKey{2}) == "known");
  CHECK(reason(6'500, StreamKey{2}) != "known");
  Streams.expire(at(59'999));
  CHECK(Streams.size() == 1);
  Streams.expire(at(60'000));
  CHECK(Streams.size() == 0);
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_invented_ids_are_bounded_and_only_unknown") {
  serve({"v1", "v2"}, 0);
  record(Key, origin("e-1", "v1"), 0, milliseconds(1'000));
  for (std::uint64_t i = 100; i < 40'100; ++i) {
    record(StreamKey{i}, origin("e-2", "v2"), 1, milliseconds(3'000));
    find(1, StreamKey{i + 100'000});
  }
  CHECK(Streams.size() == StreamOriginPolicy{}.MaxStreams);
  CHECK(reason(2) == "starting");
  std::size_t reported = 0;
  for (int i = 0; i < 100; ++i) {
    std::size_t streams = 0;
    for (const StreamOriginReport &it : Streams.takeReport(at(3))) {
      streams += it.Streams.size();
    }
    CHECK(streams <= StreamOriginPolicy{}.MaxReportedStreams);
    reported += streams;
  }
  CHECK(reported <= 2 * StreamOriginPolicy{}.MaxStreams);
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_report_carries_each_stream_twice") {
  serve({"v1", "v2"}, 0);
  record(Key, origin("e-1", "v1"), 0);
  record(StreamKey{8}, origin("e-2", "v2"), 0);
  StreamOrigins peer;
  for (int i = 0; i < 2; ++i) {
    const std::vector<StreamOriginReport> report = Streams.takeReport(at(100));
    REQUIRE(report.size() == 2);
    CHECK(report[0].Origin == origin("e-1", "v1"));
    CHECK(report[0].Streams.at(0).TimeLeft == milliseconds(6'400));
    peer.receive(report, at(200));
  }
  CHECK(Streams.takeReport(at(100)).empty());
  CHECK(peer.size() == 2);
  CHECK(peer.takeReport(at(200)).empty());
  CHECK(peer.find(Key, Config->Routes[0], PoolId{"engines"}, at(6'599)) ==
        OriginDecision{known("v1")});
  peer.expire(at(6'600));
  CHECK(peer.size() == 0);
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_questions_use_a_credit_up") {
  int allowed = 0;
  for (int i = 0; i < 1'000; ++i) {
    allowed += Streams.mayAsk(at(1'000)) ? 1 : 0;
  }
  CHECK(allowed == 50);
  CHECK(Streams.mayAsk(at(1'020)));
  CHECK_FALSE(Streams.mayAsk(at(1'020)));
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_only_version_of_the_whole_span_goes_on") {
  serve({"v1"}, 0);
  watch(0, SpanMs);
  CHECK(reason(SpanMs - 1) == "starting");
  // Other routers may have known a newer version before the stream broke off.
  CHECK(reason(SpanMs) == "not_current");
  watch(SpanMs, SpanMs + 500);
  CHECK(find(SpanMs + 500) == OriginDecision{known("v1")});
  CHECK(find(SpanMs + 500, std::nullopt) == OriginDecision{known("v1")});
  CHECK(reason(SpanMs + 3'500) == "not_current");
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_version_that_has_left_counts_for_the_span") {
  serve({"v1"}, 0);
  watch(0, 60'000);
  serve({"v1", "v2"}, 60'000);
  serve({"v2"}, 70'000);
  watch(60'000, 70'000 + SpanMs + 500);
  find(70'000 + SpanMs);
  CHECK(reason(70'000 + SpanMs, std::nullopt) == "several_versions");
  CHECK(find(70'000 + SpanMs + 500) == OriginDecision{known("v2")});
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_gap_in_the_watch_begins_the_span_anew") {
  serve({"v1"}, 0);
  watch(0, 60'000);
  const bool told = GENERATE(true, false);
  if (told) {
    Streams.setViewAge(milliseconds(3'100), at(63'000));
  }
  watch(63'500, 63'500 + SpanMs);
  CHECK(reason(63'500, std::nullopt) == "starting");
  CHECK(reason(63'500 + SpanMs - 1, std::nullopt) == "starting");
  CHECK(reason(63'500 + SpanMs, std::nullopt) == "known");
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_changed_routes_begin_the_span_anew") {
  serve({"v1"}, 0);
  watch(0, 60'000);
  REQUIRE(reason(60'000, std::nullopt) == "known");
  Config = std::make_shared<ServiceConfig>(*Config);
  SECTION("weights do not count") {
    Config->Routes[0].Pools[0].Weight = 5;
    serve({"v1"}, 60'000);
    CHECK(reason(60'000, std::nullopt) == "known");
  }
  SECTION("a longer prefix") {
    Config->Routes.push_back(Config->Routes[0]);
    Config->Routes[2].Prefix += "x/";
    serve({"v1"}, 60'000);
    CHECK(reason(60'000, std::nullopt) == "rerouted");
  }
  SECTION("a shorter timeout") {
    Config->Routes[0].Timeout = milliseconds(3'000);
    serve({"v1"}, 60'000);
    CHECK(reason(60'000, std::nullopt) == "rerouted");
  }
  SECTION("another pool") {
    Config->Routes[0].Pools.push_back({PoolId{"other"}, 1});
    serve({"v1"}, 60'000);
    watch(60'500, 60'000 + SpanMs);
    CHECK(reason(60'000 + SpanMs, std::nullopt) == "rerouted");
  }
}

TEST_CASE_METHOD(StreamOriginsFixture,
                 "stream_origins_many_versions_are_bounded_and_none_is_only") {
  for (int i = 0; i < 200; ++i) {
    serve({"v" + std::to_string(i)}, i * 500L);
    watch(i * 500L, i * 500L);
  }
  CHECK(reason(99'500, std::nullopt) == "several_versions");
  watch(99'500, 100'000 + SpanMs);
  CHECK(find(100'000 + SpanMs, std::nullopt) == OriginDecision{known("v199")});
}

} // namespace nutmegsill::routing
