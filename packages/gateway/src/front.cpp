#include "front.h"

#include "log.h"
#include "session.h"
#include "spawn.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// How often routers tell each other their load: half of the time in which an
/// engine reads a large prompt.
constexpr milliseconds ReportInterval{100};
/// Messages of a report interval; a larger fleet reports less often, so that
/// the cost for each router stays the same.
constexpr std::size_t ReportMessages = 10;
/// Longest interval: reports live for `DispatchPolicy::MaxReportAge`.
constexpr milliseconds LongestReportInterval{700};
/// Pause after an accept that failed, for example without descriptors.
constexpr milliseconds AcceptPause{50};
constexpr milliseconds IdleCheck{20};

} // namespace

const std::shared_ptr<const routing::FleetView> &Traffic::refresh(Time now) {
  std::shared_ptr<const routing::FleetView> fresh = Shared.view();
  if (fresh && fresh != View) {
    View = std::move(fresh);
    Decisions.setView(View, now);
  }
  return View;
}

Front::Front(const GatewaySettings &settings, SharedState &shared,
             Metrics &metrics, Control &control)
    : Parts{settings,
            shared,
            metrics,
            routing::Dispatcher(settings.Host, {}, settings.Bounds.Retries),
            {},
            CallerConnections(settings.Descriptors),
            0,
            false,
            nullptr},
      Peers(control) {}

std::unique_ptr<Front> Front::start(const GatewaySettings &settings,
                                    SharedState &shared, Metrics &metrics,
                                    Control &control, std::string &reason) {
  std::unique_ptr<Front> front(new Front(settings, shared, metrics, control));
  boost::system::error_code ec;
  front->Port = listenAt(front->Io, settings.Callers, ec);
  if (ec) {
    reason = "cannot listen for callers: " + ec.message();
    return nullptr;
  }
  Front *self = front.get();
  control.hearPeers([self](const HostId &peer, routing::LoadReport report) {
    asio::post(self->Io, [self, peer, report = std::move(report)]() mutable {
      const Time now = bootNow();
      if (self->Parts.refresh(now)) {
        self->Parts.Decisions.receiveReport(peer, std::move(report), now);
      }
    });
  });
  spawn(front->Io, front->accept());
  spawn(front->Io, front->report());
  front->Thread = std::thread([self] { self->Io.run(); });
  return front;
}

Front::~Front() {
  Io.stop();
  if (Thread.joinable()) {
    Thread.join();
  }
}

void Front::close() {
  asio::post(Io, [this] { Parts.Closing = true; });
}

asio::awaitable<void> Front::accept() {
  for (;;) {
    boost::system::error_code ec;
    tcp::socket socket = co_await Port.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      spawn(Io, serveCaller(Parts, std::move(socket)));
      continue;
    }
    if (!Port.is_open()) {
      co_return;
    }
    logLine("callers", "accept_failed", {{"reason", ec.message()}});
    asio::steady_timer timer(Io, AcceptPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> Front::report() {
  asio::steady_timer timer(Io);
  bool quiet = false;
  std::size_t receivers = 0;
  for (;;) {
    const Duration scaled = Duration(ReportInterval) *
                            static_cast<std::int64_t>(receivers) /
                            static_cast<std::int64_t>(ReportMessages);
    timer.expires_after(
        std::clamp<Duration>(scaled, ReportInterval, LongestReportInterval));
    co_await timer.async_wait(asio::use_awaitable);
    const Time now = bootNow();
    Parts.Targets.expire(now);
    if (!Parts.refresh(now)) {
      continue;
    }
    Parts.Counters.openRequests(Parts.Active);
    Parts.Counters.age("configuration", toSeconds(Parts.Shared.configAge(now)));
    Parts.Counters.age("load_reports",
                       toSeconds(Parts.Decisions.oldestReportAge(now)));
    routing::OutgoingReports load = Parts.Decisions.collectReports(now);
    receivers = load.Recipients.size();
    const bool empty =
        load.GroupReport.Targets.empty() && load.GroupReport.Teams.empty();
    if (!empty || !quiet) {
      Peers.tellPeers(std::move(load));
    }
    quiet = empty;
  }
}

void Front::whenIdle(Duration limit, std::function<void()> done) {
  spawn(Io, waitIdle(limit, std::move(done)));
}

asio::awaitable<void> Front::waitIdle(Duration limit,
                                      std::function<void()> done) {
  const Time end = bootNow() + limit;
  asio::steady_timer timer(Io);
  while (Parts.Active > 0 && bootNow() < end) {
    timer.expires_after(IdleCheck);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (Parts.Active > 0) {
    logLine("process", "requests_cut",
            {{"open", std::to_string(Parts.Active)}});
  }
  boost::system::error_code ec;
  Port.close(ec);
  done();
}

} // namespace nutmegsill::gateway
