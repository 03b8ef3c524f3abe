#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/registry.h>

namespace nutmegsill {

using prometheus::BuildCounter;
using prometheus::Counter;
using prometheus::Family;

namespace {

Family<Counter> &family(prometheus::Registry &registry, const char *name,
                        const char *help) {
  return BuildCounter().Name(name).Help(help).Register(registry);
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
                         "Changes of what a router believes")) {
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

void Metrics::request(const std::string &outcome) {
  Impl->Requests.Add({{"outcome", outcome}}).Increment();
}

void Metrics::decision(const std::string &what) {
  Impl->Decisions.Add({{"what", what}}).Increment();
}

} // namespace nutmegsill
