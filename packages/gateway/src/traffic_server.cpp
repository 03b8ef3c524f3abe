#include "traffic_server.h"

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

/// Shortest interval of load reports: half of the time that an engine takes to
/// prefill a large prompt.
constexpr milliseconds MinReportInterval{100};
/// Messages that a router sends per `MinReportInterval`; in a larger fleet the
/// interval is longer, so that the cost for each router stays the same.
constexpr std::size_t MessagesPerReportInterval = 10;
/// Longest interval; peers drop reports after `DispatchPolicy::MaxReportAge`.
constexpr milliseconds MaxReportInterval{700};
/// Delay after a failed accept, for example when no file descriptor is free.
constexpr milliseconds AcceptRetryDelay{50};
constexpr milliseconds IdleCheckInterval{20};

} // namespace

const std::shared_ptr<const routing::FleetView> &
SessionContext::refreshView(Time now) {
  std::shared_ptr<const routing::FleetView> newest = Shared.view();
  if (newest && newest != View) {
    View = std::move(newest);
    Dispatcher.setView(View, now);
  }
  return View;
}

TrafficServer::TrafficServer(const GatewaySettings &settings,
                             SharedState &shared, Metrics &metrics,
                             ControlServer &control)
    : Context{settings,
              shared,
              metrics,
              routing::Dispatcher(settings.Host, {}, settings.Bounds.RetryBudget),
              {},
              CallerConnections(settings.MaxDescriptors),
              0,
              false,
              nullptr},
      Control(control) {}

std::unique_ptr<TrafficServer>
TrafficServer::start(const GatewaySettings &settings, SharedState &shared,
                     Metrics &metrics, ControlServer &control,
                     std::string &reason) {
  std::unique_ptr<TrafficServer> server(
      new TrafficServer(settings, shared, metrics, control));
  boost::system::error_code ec;
  server->Acceptor = listenAt(server->Io, settings.CallerEndpoint, ec);
  if (ec) {
    reason = "cannot listen for callers: " + ec.message();
    return nullptr;
  }
  TrafficServer *self = server.get();
  control.setLoadReportHandler([self](const HostId &peer,
                                      routing::LoadReport report) {
    asio::post(self->Io, [self, peer, report = std::move(report)]() mutable {
      const Time now = bootTimeNow();
      if (self->Context.refreshView(now)) {
        self->Context.Dispatcher.receiveReport(peer, std::move(report), now);
      }
    });
  });
  spawn(server->Io, server->acceptCallers());
  spawn(server->Io, server->reportLoad());
  server->Thread = std::thread([self] { self->Io.run(); });
  return server;
}

TrafficServer::~TrafficServer() {
  Io.stop();
  if (Thread.joinable()) {
    Thread.join();
  }
}

void TrafficServer::rejectNewRequests() {
  asio::post(Io, [this] { Context.RejectsNewRequests = true; });
}

asio::awaitable<void> TrafficServer::acceptCallers() {
  for (;;) {
    boost::system::error_code ec;
    tcp::socket socket = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      spawn(Io, serveCaller(Context, std::move(socket)));
      continue;
    }
    if (!Acceptor.is_open()) {
      co_return;
    }
    logLine("callers", "accept_failed", {{"reason", ec.message()}});
    asio::steady_timer timer(Io, AcceptRetryDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> TrafficServer::reportLoad() {
  asio::steady_timer timer(Io);
  bool lastReportEmpty = false;
  std::size_t recipientCount = 0;
  for (;;) {
    const Duration scaled =
        Duration(MinReportInterval) *
        static_cast<std::int64_t>(recipientCount) /
        static_cast<std::int64_t>(MessagesPerReportInterval);
    timer.expires_after(
        std::clamp<Duration>(scaled, MinReportInterval, MaxReportInterval));
    co_await timer.async_wait(asio::use_awaitable);
    const Time now = bootTimeNow();
    Context.TargetConnections.closeExpired(now);
    if (!Context.refreshView(now)) {
      continue;
    }
    Context.Counters.setOpenRequests(Context.RequestsInFlight);
    Context.Counters.setStateAge("configuration",
                                 toSeconds(Context.Shared.configAge(now)));
    Context.Counters.setStateAge(
        "load_reports", toSeconds(Context.Dispatcher.oldestReportAge(now)));
    routing::OutgoingReports reports = Context.Dispatcher.collectReports(now);
    recipientCount = reports.Recipients.size();
    const bool empty = reports.GroupReport.Targets.empty() &&
                       reports.GroupReport.Teams.empty();
    if (!empty || !lastReportEmpty) {
      Control.sendLoadReports(std::move(reports));
    }
    lastReportEmpty = empty;
  }
}

void TrafficServer::callWhenIdle(Duration maxWait,
                                 std::function<void()> onIdle) {
  spawn(Io, waitUntilIdle(maxWait, std::move(onIdle)));
}

asio::awaitable<void>
TrafficServer::waitUntilIdle(Duration maxWait, std::function<void()> onIdle) {
  const Time deadline = bootTimeNow() + maxWait;
  asio::steady_timer timer(Io);
  while (Context.RequestsInFlight > 0 && bootTimeNow() < deadline) {
    timer.expires_after(IdleCheckInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (Context.RequestsInFlight > 0) {
    logLine("process", "requests_cut",
            {{"open", std::to_string(Context.RequestsInFlight)}});
  }
  boost::system::error_code ec;
  Acceptor.close(ec);
  onIdle();
}

} // namespace nutmegsill::gateway
