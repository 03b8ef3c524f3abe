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

Family<Counter> &family(prometheus::Registry &registry, const char *name,
                        const char *help) {
  return BuildCounter().Name(name).Help(help).Register(registry);
}

/// Bounds of latencies in seconds: around the users' objectives of 0.15 to 0.8
/// and their limits of 1.5 to 15.
const Histogram::BucketBoundaries &latencyBounds() {
  static const Histogram::BucketBoundaries bounds{
      0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.5, 3, 5, 15};
  return bounds;
}

} // namespace

struct Metrics::Parts {
  explicit Parts(const std::string &address)
      : Server(address), Registry(std::make_shared<prometheus::Registry>()),
        Messages(family(*Registry, "nutmegsill_peer_messages_total",
                        "Messages between routers")),
        Bytes(family(*Registry, "nutmegsill_peer_bytes_total",
                     "Payload bytes between routers")),
        Dropped(family(*Registry, "nutmegsill_peer_dropped_total",
                       "Peer messages that were dropped")),
        Calls(family(*Registry, "nutmegsill_platform_calls_total",
                     "Calls to the store")),
        Requests(family(*Registry, "nutmegsill_requests_total",
                        "Callers' requests by outcome")),
        Decisions(family(*Registry, "nutmegsill_decisions_total",
                         "Changes of what a router believes")),
        Latency(prometheus::BuildHistogram()
                    .Name("nutmegsill_request_seconds")
                    .Help("Time to the end of callers' requests")
                    .Register(*Registry)),
        First(prometheus::BuildHistogram()
                  .Name("nutmegsill_first_part_seconds")
                  .Help("Time to the first part of an answer")
                  .Register(*Registry)),
        Ages(prometheus::BuildGauge()
                 .Name("nutmegsill_belief_age_seconds")
                 .Help("Age of what a router believes")
                 .Register(*Registry)),
        Open(prometheus::BuildGauge()
                 .Name("nutmegsill_open_requests")
                 .Help("Requests that are being served")
                 .Register(*Registry)
                 .Add({})) {
    Server.RegisterCollectable(Registry);
  }

  prometheus::Exposer Server;
  std::shared_ptr<prometheus::Registry> Registry;
  Family<Counter> &Messages;
  Family<Counter> &Bytes;
  Family<Counter> &Dropped;
  Family<Counter> &Calls;
  Family<Counter> &Requests;
  Family<Counter> &Decisions;
  Family<Histogram> &Latency;
  Family<Histogram> &First;
  Family<Gauge> &Ages;
  Gauge &Open;
};

Metrics::Metrics(std::unique_ptr<Parts> parts) : Impl(std::move(parts)) {}
Metrics::~Metrics() = default;

std::unique_ptr<Metrics> Metrics::start(const std::string &address,
                                        std::string &reason) {
  try {
    return std::unique_ptr<Metrics>(
        new Metrics(std::make_unique<Parts>(address)));
  } catch (const std::exception &error) {
    reason = error.what();
    return nullptr;
  }
}

void Metrics::peerMessage(const std::string &type, const std::string &direction,
                          std::size_t bytes) {
  Impl->Messages.Add({{"type", type}, {"direction", direction}}).Increment();
  Impl->Bytes.Add({{"type", type}, {"direction", direction}})
      .Increment(static_cast<double>(bytes));
}

void Metrics::peerDropped(const std::string &reason) {
  Impl->Dropped.Add({{"reason", reason}}).Increment();
}

void Metrics::platformCall(const std::string &type, const std::string &result) {
  Impl->Calls.Add({{"type", type}, {"result", result}}).Increment();
}

void Metrics::request(const std::string &kind, const std::string &outcome,
                      double seconds) {
  Impl->Requests.Add({{"kind", kind}, {"outcome", outcome}}).Increment();
  Impl->Latency.Add({{"kind", kind}, {"outcome", outcome}}, latencyBounds())
      .Observe(seconds);
}

void Metrics::firstPart(const std::string &kind, double seconds) {
  Impl->First.Add({{"kind", kind}}, latencyBounds()).Observe(seconds);
}

void Metrics::age(const std::string &belief, double seconds) {
  Impl->Ages.Add({{"belief", belief}}).Set(seconds);
}

void Metrics::openRequests(std::size_t count) {
  Impl->Open.Set(static_cast<double>(count));
}

void Metrics::decision(const std::string &what) {
  Impl->Decisions.Add({{"what", what}}).Increment();
}

} // namespace nutmegsill
