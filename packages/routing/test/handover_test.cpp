#include "nutmegsill/routing/handover.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

namespace {

constexpr double SmallQuota = 0.12;
constexpr double LargeQuota = 0.5;

RouterEntry entry(const std::string &host, double share,
                  const std::string &zone = "a") {
  RouterEntry out;
  out.Host = HostId{host};
  out.Zone = ZoneId{zone};
  out.ProcessorShare = share;
  out.HandoverAddress = "10.0.0.1:1";
  return out;
}

/// A zone of eight small and two large hosts, and requests on connections of
/// their own, in virtual time.
class HandoverZone {
public:
  HandoverZone() {
    FleetView view;
    view.Version = 1;
    for (int i = 0; i < 8; ++i) {
      view.Routers.push_back(entry("s" + std::to_string(i), SmallQuota));
    }
    view.Routers.push_back(entry("l0", LargeQuota));
    view.Routers.push_back(entry("l1", LargeQuota));
    for (const RouterEntry &it : view.Routers) {
      Hosts.emplace_back(it.Host, it.ProcessorShare, HandoverPolicy{});
      Hosts.back().setView(view);
      Served.push_back(0);
    }
  }
  /// Runs for `span` with `rate` requests a second spread over the first
  /// `count` hosts.
  void run(Duration span, double rate, std::size_t count) {
    const Duration pause(static_cast<std::int64_t>(1e6 / rate));
    for (const Time end = Now + span; Now < end; Now += pause) {
      if (Now >= NextProbeAt) {
        NextProbeAt = Now + milliseconds(50);
        for (Handover &it : Hosts) {
          it.recordLag(milliseconds(20), Now);
          for (const FleetChange &change : it.takeChanges()) {
            Changes.push_back(change.Event);
          }
        }
      }
      sendTo(Next++ % count);
    }
  }
  void sendTo(std::size_t host) {
    Handover &small = Hosts[host];
    std::optional<Handover::Peer> peer;
    if (small.isActive(Now)) {
      peer = small.choosePeer(Now);
    }
    if (peer) {
      const std::size_t large = peer->Host.Text == "l0" ? 8 : 9;
      if (Hosts[large].mayTakeOver(Now)) {
        small.recordRelayedConnection(Now);
        serve(large);
        return;
      }
      small.recordRefusal(peer->Host, Now);
    }
    serve(host);
  }
  void serve(std::size_t host) {
    Hosts[host].recordConnection(Now);
    Hosts[host].recordRequest(ExecutionSemantics::Idempotent, true, Now);
    ++Served[host];
  }
  std::size_t servedByLarge() const { return Served[8] + Served[9]; }

  std::vector<Handover> Hosts;
  std::vector<std::size_t> Served;
  std::vector<std::string> Changes;
  Time Now{std::chrono::seconds(100)};
  Time NextProbeAt{};
  std::size_t Next = 0;
};

} // namespace

// Guards against a small host that is overloaded before it hands over.
TEST_CASE("handover_begins_within_a_fifth_of_a_second") {
  HandoverZone zone;
  zone.run(milliseconds(200), 300, 1);
  CHECK(zone.Hosts[0].isActive(zone.Now));
  // What 0.12 cores serve in 0.2 s is 32 requests.
  CHECK(zone.Served[0] <= 45);
}

// The requests of one team, all at one host and spread over eight.
TEST_CASE("handover_concentrated_team_is_served_as_if_spread") {
  HandoverZone concentrated;
  concentrated.run(std::chrono::seconds(10), 400, 1);
  // The host itself serves what it got before hand-over began.
  CHECK(concentrated.Served[0] <= 80);
  CHECK(concentrated.servedByLarge() >= 3'900);
  const double ratio = static_cast<double>(concentrated.Served[8]) /
                       static_cast<double>(concentrated.Served[9]);
  CHECK(ratio > 0.8);
  CHECK(ratio < 1.25);
  HandoverZone spread;
  spread.run(std::chrono::seconds(10), 400, 8);
  CHECK(spread.servedByLarge() == 0);
  CHECK(spread.Changes.empty());
}

TEST_CASE("handover_begins_and_ends_once_for_one_burst") {
  HandoverZone zone;
  for (int i = 0; i < 10; ++i) {
    zone.run(milliseconds(700), 300, 1);
    zone.run(milliseconds(300), 60, 1);
  }
  CHECK(zone.Changes == std::vector<std::string>{"handover_began"});
  zone.run(std::chrono::seconds(4), 20, 1);
  CHECK(zone.Changes ==
        std::vector<std::string>{"handover_began", "handover_ended"});
}

TEST_CASE("handover_needs_larger_host_of_own_zone") {
  Handover small(HostId{"s"}, SmallQuota, {});
  FleetView view;
  view.Version = 1;
  view.Routers = {entry("s", SmallQuota), entry("equal", SmallQuota),
                  entry("other zone", LargeQuota, "b"),
                  entry("no address", LargeQuota)};
  view.Routers[3].HandoverAddress.clear();
  small.setView(view);
  Time now{std::chrono::seconds(1)};
  for (int i = 0; i < 1000; ++i, now += milliseconds(1)) {
    small.recordConnection(now);
  }
  CHECK_FALSE(small.isActive(now));
  CHECK_FALSE(small.hasPeer(now));
}

// Guards against connections to a peer that has just refused, or that stated
// that it has nothing to spare.
TEST_CASE("handover_avoids_peers_without_spare_time") {
  Handover small(HostId{"s"}, SmallQuota, {});
  FleetView view;
  view.Version = 1;
  view.Routers = {entry("s", SmallQuota), entry("l0", LargeQuota),
                  entry("l1", LargeQuota)};
  small.setView(view);
  const Time now{std::chrono::seconds(1)};
  small.receiveSpare({{HostId{"l0"}, 0}}, now);
  for (int i = 0; i < 5; ++i) {
    CHECK(small.choosePeer(now)->Host == HostId{"l1"});
  }
  small.recordRefusal(HostId{"l1"}, now);
  CHECK_FALSE(small.hasPeer(now));
  CHECK(small.hasPeer(now + milliseconds(400)));
  // A report that is too old is no figure.
  small.recordFailure(HostId{"l1"}, now + milliseconds(3'500));
  CHECK(small.choosePeer(now + milliseconds(3'600))->Host == HostId{"l0"});
}

TEST_CASE("handover_saturated_host_takes_nothing_over") {
  HandoverZone zone;
  Handover &large = zone.Hosts[8];
  const double spare = large.ownSpare(zone.Now)->RequestsPerSecond;
  CHECK(spare > 400);
  CHECK(large.mayTakeOver(zone.Now));
  for (int i = 0; i < 600; ++i) {
    zone.serve(8);
  }
  CHECK_FALSE(large.mayTakeOver(zone.Now));
  CHECK(large.ownSpare(zone.Now)->RequestsPerSecond == 0);
  // A host of a zone without smaller hosts states nothing.
  CHECK_FALSE(zone.Hosts[0].ownSpare(zone.Now));
}

// The first cost of a request is that of one machine.
TEST_CASE("handover_cost_of_requests_follows_the_lag") {
  ProcessorLoad load(SmallQuota, {});
  const double before = load.capacity();
  Time now{std::chrono::seconds(1)};
  for (int i = 0; i < 20'000; ++i, now += milliseconds(1)) {
    load.addOwn(1, now);
    if (i % 50 == 0) {
      load.recordLag(milliseconds(1), now);
    }
  }
  CHECK(load.capacity() > 4 * before);
  const double calm = load.capacity();
  for (int i = 0; i < 5'000; ++i, now += milliseconds(10)) {
    load.addOwn(2, now);
    if (i % 5 == 0) {
      load.recordLag(milliseconds(200), now);
    }
  }
  CHECK(load.capacity() < calm / 2);
}

// Guards against a host that its kept connections alone saturate.
TEST_CASE("handover_saturated_host_moves_callers_of_kept_connections") {
  FleetView view;
  view.Version = 1;
  view.Routers = {entry("s0", SmallQuota), entry("l0", LargeQuota)};
  Handover small(HostId{"s0"}, SmallQuota, {});
  small.setView(view);
  CHECK_FALSE(small.movesCallers(Time(milliseconds(0))));
  for (int i = 0; i < 200; ++i) {
    small.recordRequest(ExecutionSemantics::Stream, false,
                        Time(milliseconds(i)));
  }
  CHECK(small.movesCallers(Time(milliseconds(200))));
  small.recordRefusal(HostId{"l0"}, Time(milliseconds(200)));
  CHECK_FALSE(small.movesCallers(Time(milliseconds(201))));
}

} // namespace nutmegsill::routing
