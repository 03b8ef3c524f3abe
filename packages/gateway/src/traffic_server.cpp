#include "traffic_server.h"

#include "event_loop.h"
#include "log.h"
#include "session.h"
#include "spawn.h"
#include "stop_signal.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr milliseconds StopCheckInterval{20};
/// Time for the first request on a connection that was just accepted when the
/// listening socket is closed.
constexpr milliseconds FirstRequestDelay{100};
/// Time for reading what had arrived when requests in flight are ended.
constexpr milliseconds ReadTime{100};
/// Interval of the timers by which the event loop's lag is measured.
constexpr milliseconds LagProbeInterval{50};
/// Interval at which targets are checked for acknowledgements.
constexpr milliseconds TargetCheckInterval{250};
/// Shortest time between two log lines about paused listening.
constexpr std::chrono::seconds OverloadLogInterval{1};
/// Responses that are buffered at the same time: well under the memory of the
/// smallest hosts, 88 MB.
constexpr std::size_t MaxBufferedResponseBytes = 16U << 20U;

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

std::optional<routing::StopSchedule> SessionContext::stopSchedule() const {
  const std::optional<Time> signalledAt = StopSignal::arrivedAt();
  if (!signalledAt) {
    return std::nullopt;
  }
  return routing::StopSchedule(*signalledAt, Settings.Bounds.StopGrace);
}

TrafficServer::TrafficServer(const GatewaySettings &settings,
                             SharedState &shared, Metrics &metrics,
                             ControlServer &control)
    : Context{settings,
              shared,
              metrics,
              routing::Dispatcher(settings.Host, {},
                                  settings.Bounds.RetryBudget),
              {},
              BufferBudget(MaxBufferedResponseBytes),
              CallerConnections(settings.MaxDescriptors),
              routing::CallerBudget(
                  {routing::callerBudgetBytes(settings.MemoryBytes)}),
              CallerRefusals(metrics, "callers"),
              routing::HostOverload({}),
              {},
              0,
              nullptr},
      Control(control),
      Listener(Io, settings.CallerEndpoint,
               [this](CallerListener::Socket caller) {
                 if (!Context.Callers.makeRoom()) {
                   Context.Refusals.count("connections", bootTimeNow());
                   return;
                 }
                 spawn(Io, serveCaller(Context, std::move(caller)));
               }) {}

std::unique_ptr<TrafficServer>
TrafficServer::start(const GatewaySettings &settings, SharedState &shared,
                     Metrics &metrics, ControlServer &control,
                     std::string &reason) {
  std::unique_ptr<TrafficServer> server(
      new TrafficServer(settings, shared, metrics, control));
  const std::optional<std::string> failure = server->Listener.start();
  if (failure) {
    reason = "cannot listen for callers: " + *failure;
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
  spawn(server->Io, server->reportLoad());
  spawn(server->Io, measureLoopLag(server->Io, "traffic", LagProbeInterval,
                                   metrics, [self](Duration lag, Time now) {
                                     self->recordLag(lag, now);
                                   }));
  server->Thread = std::thread([self] { runEventLoop(self->Io); });
  return server;
}

TrafficServer::~TrafficServer() {
  Io.stop();
  if (Thread.joinable()) {
    Thread.join();
  }
}

asio::awaitable<void> TrafficServer::reportLoad() {
  asio::steady_timer timer(Io);
  bool lastOwnEmpty = false;
  bool lastGroupEmpty = false;
  Time nextRemoteReportAt{};
  for (;;) {
    const routing::ReportIntervals intervals =
        routing::reportIntervals(Context.Dispatcher.reportRecipients());
    timer.expires_after(intervals.ToGroup);
    co_await timer.async_wait(asio::use_awaitable);
    const Time now = bootTimeNow();
    Context.TargetConnections.closeExpired(now);
    if (!Context.refreshView(now)) {
      continue;
    }
    Context.Counters.setOpenRequests(Context.RequestsInFlight);
    Context.Counters.setCallerMemory(Context.CallerMemory.heldBytes());
    Context.Counters.setStateAge("configuration",
                                 toSeconds(Context.Shared.configAge(now)));
    Context.Counters.setStateAge(
        "load_reports", toSeconds(Context.Dispatcher.oldestReportAge(now)));
    const bool forRemotePeers = now >= nextRemoteReportAt;
    if (forRemotePeers) {
      // Timers run slightly late.
      nextRemoteReportAt =
          now + intervals.ToRemotePeers - intervals.ToGroup / 2;
    }
    routing::OutgoingReports reports =
        Context.Dispatcher.collectReports(now, forRemotePeers);
    for (const routing::FleetChange &it : Context.Dispatcher.takeChanges()) {
      Context.Counters.countFleetChange(it.Event);
      logLine("belief", it.Event, it.Fields);
    }
    if (Context.Overload.isOverloaded()) {
      reports.OwnReport.OverloadedHosts.push_back(Context.Settings.Host);
      reports.GroupReport.OverloadedHosts.push_back(Context.Settings.Host);
    }
    // The last report before a silence is an empty one.
    const bool ownEmpty = reports.OwnReport.isEmpty();
    if (ownEmpty && lastOwnEmpty && !Context.Dispatcher.isPreferredRouter()) {
      reports.Recipients.GroupPeers.clear();
    }
    lastOwnEmpty = ownEmpty;
    if (forRemotePeers) {
      const bool groupEmpty = reports.GroupReport.isEmpty();
      if (groupEmpty && lastGroupEmpty) {
        reports.Recipients.RemotePeers.clear();
      }
      lastGroupEmpty = groupEmpty;
    }
    if (reports.Recipients.size() > 0) {
      Control.sendLoadReports(std::move(reports));
    }
  }
}

void TrafficServer::recordLag(Duration lag, Time now) {
  if (now >= NextTargetCheckAt) {
    NextTargetCheckAt = now + TargetCheckInterval;
    Context.Callers.checkTargets(now);
  }
  Listener.recordLag(lag, now);
  ListeningPauses += Listener.takePauses();
  const bool before = Context.Overload.isOverloaded();
  Context.Overload.recordLag(lag, now);
  const bool overloaded = Context.Overload.isOverloaded();
  const bool paused = ListeningPauses > 0 && now >= NextOverloadLogAt;
  if (overloaded != before || paused) {
    NextOverloadLogAt = now + OverloadLogInterval;
    logLine("callers",
            overloaded ? "overloaded"
            : before   ? "overload_ended"
                       : "listening_paused",
            {{"lag_ms", std::to_string(toMilliseconds(lag))},
             {"open", std::to_string(Context.RequestsInFlight)},
             {"pauses", std::to_string(ListeningPauses)}});
    Context.Counters.countListeningPauses(ListeningPauses);
    ListeningPauses = 0;
  }
}

void TrafficServer::stop(const routing::StopSchedule &schedule,
                         std::function<void()> onStopped) {
  spawn(Io, runStop(schedule, std::move(onStopped)));
}

asio::awaitable<void> TrafficServer::runStop(routing::StopSchedule schedule,
                                             std::function<void()> onStopped) {
  co_await sleepFor(Io, schedule.admissionEnd() - bootTimeNow());
  // Callers whose connection is refused try another router at once.
  Listener.stop();
  co_await sleepFor(Io, FirstRequestDelay);
  std::optional<Time> endedAt;
  while (Context.Callers.size() > 0 && bootTimeNow() < schedule.processEnd()) {
    Context.Callers.closeIdle();
    const Time now = bootTimeNow();
    if (!endedAt && now >= schedule.requestEnd()) {
      endedAt = now;
      logLine("process", "requests_ended",
              {{"open", std::to_string(Context.RequestsInFlight)}});
    }
    if (endedAt) {
      Context.Callers.endRequests(now - *endedAt < ReadTime);
    }
    co_await sleepFor(Io, StopCheckInterval);
  }
  if (Context.Callers.size() > 0) {
    logLine("process", "connections_cut",
            {{"open", std::to_string(Context.Callers.size())},
             {"requests", std::to_string(Context.RequestsInFlight)}});
  }
  onStopped();
}

} // namespace nutmegsill::gateway
