#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace nutmegsill {

using prometheus::BuildCounter;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

namespace {

Family<Counter> &registerCounter(prometheus::Registry &registry,
                                 const char *name, const char *help) {
  return BuildCounter().Name(name).Help(help).Register(registry);
}

/// Bucket bounds of latencies in seconds, around the users' objectives of 0.15
/// to 0.8 and their time limits of 1.5 to 15.
const Histogram::BucketBoundaries &latencyBuckets() {
  static const Histogram::BucketBoundaries bounds{
      0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.5, 3, 5, 15};
  return bounds;
}

} // namespace

struct Metrics::Implementation {
  explicit Implementation(const std::string &address)
      : Exposer(address), Registry(std::make_shared<prometheus::Registry>()),
        PeerMessages(registerCounter(*Registry,
                                     "nutmegsill_peer_messages_total",
                                     "Messages between routers")),
        PeerBytes(registerCounter(*Registry, "nutmegsill_peer_bytes_total",
                                  "Payload bytes between routers")),
        DroppedPeerMessages(registerCounter(*Registry,
                                            "nutmegsill_peer_dropped_total",
                                            "Peer messages that were dropped")),
        PlatformCalls(registerCounter(*Registry,
                                      "nutmegsill_platform_calls_total",
                                      "Calls to the store")),
        Requests(registerCounter(*Registry, "nutmegsill_requests_total",
                                 "Callers' requests by outcome")),
        FleetChanges(registerCounter(*Registry, "nutmegsill_decisions_total",
                                     "Changes of what a router believes")),
        ListeningPauses(
            registerCounter(*Registry, "nutmegsill_listening_pauses_total",
                            "Times that callers' connections were refused "
                            "for lack of processor time")
                .Add({})),
        RelayedConnections(
            registerCounter(*Registry, "nutmegsill_relayed_connections_total",
                            "Callers' connections relayed to another host")
                .Add({})),
        RelayedBytes(registerCounter(*Registry,
                                     "nutmegsill_relayed_bytes_total",
                                     "Bytes of relayed connections")
                         .Add({})),
        OfferedConnections(registerCounter(
            *Registry, "nutmegsill_offered_connections_total",
            "Connections that other hosts offered to hand over")),
        PlaceWaits(registerCounter(*Registry, "nutmegsill_place_waits_total",
                                   "Requests that waited for a place at a "
                                   "target")),
        Hedges(registerCounter(*Registry, "nutmegsill_hedges_total",
                               "Second attempts beside slow first ones")),
        TakeUps(registerCounter(*Registry, "nutmegsill_take_ups_total",
                                "Requests that take a stream up again")),
        StreamRuns(registerCounter(*Registry, "nutmegsill_stream_runs_total",
                                   "Runs of streams at targets")),
        CallerRefusals(registerCounter(
            *Registry, "nutmegsill_callers_limited_total",
            "Callers that were refused or closed for a limit of the router")),
        CallerMemory(prometheus::BuildGauge()
                         .Name("nutmegsill_caller_memory_bytes")
                         .Help("Memory that callers hold")
                         .Register(*Registry)
                         .Add({})),
        RequestLatency(prometheus::BuildHistogram()
                           .Name("nutmegsill_request_seconds")
                           .Help("Time to the end of callers' requests")
                           .Register(*Registry)),
        FirstPartLatency(prometheus::BuildHistogram()
                             .Name("nutmegsill_first_part_seconds")
                             .Help("Time to the first part of an answer")
                             .Register(*Registry)),
        StateAges(prometheus::BuildGauge()
                      .Name("nutmegsill_belief_age_seconds")
                      .Help("Age of what a router believes")
                      .Register(*Registry)),
        LoopLags(prometheus::BuildGauge()
                     .Name("nutmegsill_event_loop_lag_seconds")
                     .Help("Time by which the timers of a thread run late")
                     .Register(*Registry)),
        RolloutShares(prometheus::BuildGauge()
                          .Name("nutmegsill_rollout_share")
                          .Help("Share of a pool's requests that go to the "
                                "version that is rolled out")
                          .Register(*Registry)),
        OpenRequests(prometheus::BuildGauge()
                         .Name("nutmegsill_open_requests")
                         .Help("Requests that are being served")
                         .Register(*Registry)
                         .Add({})) {
    Exposer.RegisterCollectable(Registry);
  }

  prometheus::Exposer Exposer;
  std::shared_ptr<prometheus::Registry> Registry;
  Family<Counter> &PeerMessages;
  Family<Counter> &PeerBytes;
  Family<Counter> &DroppedPeerMessages;
  Family<Counter> &PlatformCalls;
  Family<Counter> &Requests;
  Family<Counter> &FleetChanges;
  Counter &ListeningPauses;
  Counter &RelayedConnections;
  Counter &RelayedBytes;
  Family<Counter> &OfferedConnections;
  Family<Counter> &PlaceWaits;
  Family<Counter> &Hedges;
  Family<Counter> &TakeUps;
  Family<Counter> &StreamRuns;
  Family<Counter> &CallerRefusals;
  Gauge &CallerMemory;
  Family<Histogram> &RequestLatency;
  Family<Histogram> &FirstPartLatency;
  Family<Gauge> &StateAges;
  Family<Gauge> &LoopLags;
  Family<Gauge> &RolloutShares;
  Gauge &OpenRequests;
};

Metrics::Metrics(std::unique_ptr<Implementation> implementation)
    : Impl(std::move(implementation)) {}
Metrics::~Metrics() = default;

std::unique_ptr<Metrics> Metrics::start(const std::string &address,
                                        std::string &reason) {
  try {
    return std::unique_ptr<Metrics>(
        new Metrics(std::make_unique<Implementation>(address)));
  } catch (const std::exception &error) {
    reason = error.what();
    return nullptr;
  }
}

void Metrics::countPeerMessage(const std::string &type,
                               const std::string &direction,
                               std::size_t bytes) {
  Impl->PeerMessages.Add({{"type", type}, {"direction", direction}})
      .Increment();
  Impl->PeerBytes.Add({{"type", type}, {"direction", direction}})
      .Increment(static_cast<double>(bytes));
}

void Metrics::countDroppedPeerMessage(const std::string &reason) {
  Impl->DroppedPeerMessages.Add({{"reason", reason}}).Increment();
}

void Metrics::countPlatformCall(const std::string &type,
                                const std::string &result) {
  Impl->PlatformCalls.Add({{"type", type}, {"result", result}}).Increment();
}

void Metrics::observeRequest(const std::string &semantics,
                             const std::string &outcome, double seconds) {
  Impl->Requests.Add({{"kind", semantics}, {"outcome", outcome}}).Increment();
  Impl->RequestLatency
      .Add({{"kind", semantics}, {"outcome", outcome}}, latencyBuckets())
      .Observe(seconds);
}

void Metrics::observeFirstPart(const std::string &semantics, double seconds) {
  Impl->FirstPartLatency.Add({{"kind", semantics}}, latencyBuckets())
      .Observe(seconds);
}

void Metrics::setStateAge(const std::string &state, double seconds) {
  Impl->StateAges.Add({{"belief", state}}).Set(seconds);
}

void Metrics::setLoopLag(const std::string &loop, double seconds) {
  Impl->LoopLags.Add({{"loop", loop}}).Set(seconds);
}

void Metrics::setOpenRequests(std::size_t count) {
  Impl->OpenRequests.Set(static_cast<double>(count));
}

void Metrics::setRolloutShare(const std::string &pool, double share) {
  Impl->RolloutShares.Add({{"pool", pool}}).Set(share);
}

void Metrics::countFleetChange(const std::string &change) {
  Impl->FleetChanges.Add({{"what", change}}).Increment();
}

void Metrics::countCallerRefusal(const std::string &port,
                                 const std::string &reason) {
  Impl->CallerRefusals.Add({{"port", port}, {"reason", reason}}).Increment();
}

void Metrics::setCallerMemory(std::size_t bytes) {
  Impl->CallerMemory.Set(static_cast<double>(bytes));
}

void Metrics::countListeningPauses(std::size_t count) {
  Impl->ListeningPauses.Increment(static_cast<double>(count));
}

void Metrics::countRelayed(std::size_t connections, std::size_t bytes) {
  Impl->RelayedConnections.Increment(static_cast<double>(connections));
  Impl->RelayedBytes.Increment(static_cast<double>(bytes));
}

void Metrics::countOfferedConnection(const std::string &result) {
  Impl->OfferedConnections.Add({{"result", result}}).Increment();
}

void Metrics::countHedge(bool won) {
  Impl->Hedges.Add({{"result", won ? "won" : "lost"}}).Increment();
}

void Metrics::countTakeUp(const std::string &outcome) {
  Impl->TakeUps.Add({{"outcome", outcome}}).Increment();
}

void Metrics::countStreamRun(const std::string &run, const std::string &end) {
  Impl->StreamRuns.Add({{"run", run}, {"end", end}}).Increment();
}

void Metrics::countPlaceWait(const std::string &outcome) {
  Impl->PlaceWaits.Add({{"outcome", outcome}}).Increment();
}

} // namespace nutmegsill
