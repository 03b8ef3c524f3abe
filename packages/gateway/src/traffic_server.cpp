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
/// Relays take two descriptors each; as many as half of the descriptors allow.
constexpr std::size_t RelayDescriptorFraction = 4;
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

routing::DispatchPolicy dispatchPolicy(const GatewaySettings &settings) {
  routing::DispatchPolicy out;
  out.ZoneHomes = settings.ZoneHomes;
  out.Rollout = settings.Bounds.Rollout;
  return out;
}

} // namespace

const std::shared_ptr<const routing::FleetView> &
SessionContext::refreshView(Time now) {
  std::shared_ptr<const routing::FleetView> newest = Shared.view();
  if (newest && newest != View) {
    View = std::move(newest);
    Dispatcher.setView(View, now);
    if (Settings.HandoverEndpoint) {
      Handover.setView(*View);
    }
  }
  return View;
}

void SessionContext::wakeWaiting(const PoolId &pool) {
  if (const auto ticket = Dispatcher.placeQueue().first(pool)) {
    Waiters.wake(*ticket);
  }
}

void SessionContext::recordResponseHead(const routing::Assignment &assignment,
                                        const platform::ResponseHead &head,
                                        bool isLate) {
  // A misdirected request is answered by another target.
  if (head.Misdirected) {
    return;
  }
  const Time now = bootTimeNow();
  routing::TargetStatement statement = head.Statement;
  if (isLate) {
    statement = {};
    statement.Leaving = head.Statement.Leaving;
  }
  if (!isLate || statement.Leaving) {
    Dispatcher.recordStatement(assignment, statement, now);
  }
  if (!isLate && head.Load) {
    Dispatcher.recordLoad(assignment, *head.Load, now);
    wakeWaiting(assignment.Pool);
  }
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
              routing::Dispatcher(settings.Host, dispatchPolicy(settings),
                                  settings.Bounds.RetryBudget),
              {},
              BufferBudget(MaxBufferedResponseBytes),
              CallerConnections(settings.MaxDescriptors),
              routing::CallerBudget(
                  {routing::callerBudgetBytes(settings.MemoryBytes)}),
              CallerRefusals(metrics, "callers"),
              routing::HostOverload({}),
              routing::Handover(settings.Host, settings.ProcessorShare, {}),
              {},
              0,
              nullptr},
      Control(control),
      Relays(Io, Context.Handover, metrics,
             settings.MaxDescriptors / RelayDescriptorFraction,
             [this](CallerListener::Socket caller) {
               spawn(Io, serveCaller(Context, std::move(caller)));
             }),
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
  const std::optional<std::string> handoverFailure = server->startHandover();
  if (handoverFailure) {
    reason =
        "cannot listen for connections of other hosts: " + *handoverFailure;
    return nullptr;
  }
  TrafficServer *self = server.get();
  control.setLoadReportHandler([self](const HostId &peer,
                                      routing::LoadReport report) {
    asio::post(self->Io, [self, peer, report = std::move(report)]() mutable {
      const Time now = bootTimeNow();
      if (self->Context.refreshView(now)) {
        self->Context.Handover.receiveSpare(report.Spare, now);
        self->Context.Dispatcher.receiveReport(peer, std::move(report), now);
      }
    });
  });
  server->connectInquiries();
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

void TrafficServer::connectInquiries() {
  Context.Inquiries.setSender([this](const routing::OriginQuestion &question,
                                     const std::vector<HostId> &peers) {
    Control.sendOriginMessage(peers, question);
  });
  Control.setOriginMessageHandler([this](const HostId &peer,
                                         const OriginMessage &message) {
    asio::post(Io, [this, peer, message] {
      std::visit([this, &peer](const auto &it) { receive(peer, it); }, message);
    });
  });
}

void TrafficServer::receive(const HostId &peer,
                            const routing::OriginQuestion &question) {
  const Time now = bootTimeNow();
  if (Context.refreshView(now)) {
    Control.sendOriginMessage(
        {peer}, Context.Dispatcher.streamOrigins().answer(question, now));
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
    const Duration viewAge = Context.Shared.configAge(now);
    if (!Context.refreshView(now)) {
      continue;
    }
    if (Context.View->Config) {
      Relays.setStallTimeout(Context.View->Config->Limits.IdleTimeout);
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
    Context.Dispatcher.rollouts().setStoreAge(Context.Shared.configAge(now));
    Context.Dispatcher.streamOrigins().setViewAge(viewAge, now);
    routing::OutgoingReports reports =
        Context.Dispatcher.collectReports(now, forRemotePeers);
    for (const routing::FleetChange &it : Context.Dispatcher.takeChanges()) {
      Context.Counters.countFleetChange(it.Event);
      logLine("belief", it.Event, it.Fields);
    }
    for (const routing::FleetChange &it : Context.Handover.takeChanges()) {
      Context.Counters.countFleetChange(it.Event);
      logLine("callers", it.Event, it.Fields);
    }
    const std::optional<routing::SpareCapacity> spare =
        Context.Settings.HandoverEndpoint ? Context.Handover.ownSpare(now)
                                          : std::nullopt;
    if (spare) {
      reports.OwnReport.Spare.push_back(*spare);
      reports.GroupReport.Spare.push_back(*spare);
    }
    publishRollouts();
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

void TrafficServer::setRelayRevision(Time now) {
  const std::shared_ptr<const routing::FleetView> view =
      Context.refreshView(now);
  if (view) {
    Relays.setRevision(view->Config->Revision);
  }
}

std::optional<std::string> TrafficServer::startHandover() {
  if (!Context.Settings.HandoverEndpoint) {
    return std::nullopt;
  }
  Listener.setRelay([this](Time now) { return Relays.isRelaying(now); },
                    [this](int caller, Time now) {
                      setRelayRevision(now);
                      return Relays.take(caller, now);
                    });
  TakenOver.emplace(
      Io, *Context.Settings.HandoverEndpoint,
      [this](Time now) -> std::optional<ConfigRevision> {
        const std::shared_ptr<const routing::FleetView> view =
            Context.refreshView(now);
        const bool taken = view && !Context.stopSchedule() &&
                           Context.Handover.mayTakeOver(now);
        Context.Counters.countOfferedConnection(taken ? "taken" : "refused");
        return taken ? std::optional(view->Config->Revision) : std::nullopt;
      },
      [this](CallerListener::Socket relayed, ConfigRevision revision) {
        if (Context.Callers.makeRoom()) {
          spawn(Io, serveCaller(Context, std::move(relayed), revision));
        }
      });
  return TakenOver->start();
}

void TrafficServer::publishRollouts() {
  routing::Rollouts &rollouts = Context.Dispatcher.rollouts();
  for (const auto &[pool, share] : rollouts.shares()) {
    Context.Counters.setRolloutShare(pool.Text, share);
  }
  std::vector<routing::RolloutDecision> decisions = rollouts.decisions();
  if (decisions != RolloutDecisions) {
    RolloutDecisions = std::move(decisions);
    Control.setRolloutDecisions(RolloutDecisions);
  }
}

void TrafficServer::recordLag(Duration lag, Time now) {
  setRelayRevision(now);
  if (now >= NextTargetCheckAt) {
    NextTargetCheckAt = now + TargetCheckInterval;
    Context.Callers.checkTargets(now);
  }
  Context.Handover.recordLag(lag, now);
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
  if (TakenOver) {
    TakenOver->stop();
  }
  co_await sleepFor(Io, FirstRequestDelay);
  Relays.endSending();
  std::optional<Time> endedAt;
  while (Context.Callers.size() + Relays.size() > 0 &&
         bootTimeNow() < schedule.processEnd()) {
    Context.Callers.closeIdle();
    const Time now = bootTimeNow();
    if (!endedAt && now >= schedule.requestEnd()) {
      endedAt = now;
      logLine("process", "requests_ended",
              {{"open", std::to_string(Context.RequestsInFlight)}});
    }
    if (endedAt) {
      Context.Callers.endRequests(now - *endedAt < ReadTime);
      Relays.endRequests();
    }
    co_await sleepFor(Io, StopCheckInterval);
  }
  if (Context.Callers.size() + Relays.size() > 0) {
    logLine("process", "connections_cut",
            {{"open", std::to_string(Context.Callers.size())},
             {"relayed", std::to_string(Relays.size())},
             {"requests", std::to_string(Context.RequestsInFlight)}});
  }
  Relays.reset();
  onStopped();
}

} // namespace nutmegsill::gateway
