#include "control_server.h"

#include "event_loop.h"
#include "log.h"
#include "nutmegsill/platform/directory.h"
#include "nutmegsill/platform/engine.h"
#include "nutmegsill/rendezvous.h"
#include "spawn.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using namespace routing;

namespace {

/// Delay before engines are queried, so that routers that start together are in
/// each other's view and each engine is queried by one of them.
constexpr milliseconds CacheQueryDelay{250};
/// Time without a load report from a router after which the directory lists it
/// only when no other router is responsive.
constexpr milliseconds PeerSilenceTimeout{1'500};
/// TTL of a directory response: callers pick up changes soon, and query no more
/// often than they connect.
constexpr std::chrono::seconds AddressTtl{2};
/// Time after a report of overload for which the directory avoids a router:
/// longer than callers keep a response, so that it does not swing back at once.
constexpr std::chrono::seconds OverloadMemory{5};
/// Interval of the timers by which the event loop's lag is measured.
constexpr milliseconds LagProbeInterval{200};
/// Connections to the readiness check, and to the directory at least: the
/// platform checks with one or two.
constexpr std::size_t MinSmallConnections = 8;
/// Connections to the directory. Each may take 140 KB of memory; a caller whose
/// connection is closed opens another one with its next query.
constexpr std::size_t MaxDirectoryConnections = 64;
/// Connections of other routers. A router of a fleet of 97 gets reports from
/// some thirty others.
constexpr std::size_t MinPeerConnections = 16;
constexpr std::size_t MaxPeerConnections = 256;
constexpr int MaxQueuedPeerMessages = 4;
constexpr milliseconds PeerHeartbeatInterval{1'000};
constexpr milliseconds PeerHeartbeatTimeout{2'000};

/// Timeout of the query for the prompt parts that an engine has cached.
constexpr milliseconds CacheQueryTimeout{700};

/// Returns the system time in microseconds, so that later incarnations have
/// larger numbers.
IncarnationId makeIncarnationId() {
  const std::chrono::system_clock::duration now =
      std::chrono::system_clock::now().time_since_epoch();
  return IncarnationId{static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

} // namespace

ControlServer::ControlServer(const GatewaySettings &settings, Metrics &metrics,
                             SharedState &shared)
    : Settings(settings), Counters(metrics), Shared(shared),
      DirectoryRefusals(metrics, "directory"),
      ReadinessRefusals(metrics, "readiness"),
      OwnIncarnation(makeIncarnationId()),
      Random(static_cast<std::uint32_t>(OwnIncarnation.Value) | 1U) {}

RouterEntry ControlServer::makeOwnEntry() const {
  RouterEntry out;
  out.Host = Settings.Host;
  out.Zone = Settings.Zone;
  out.CallerAddress = formatEndpoint(Settings.CallerEndpoint);
  out.PeerAddress = Settings.PeerAddress;
  out.Incarnation = OwnIncarnation;
  out.ProcessorShare = Settings.ProcessorShare;
  if (Settings.HandoverEndpoint) {
    out.HandoverAddress = formatEndpoint(*Settings.HandoverEndpoint);
  }
  return out;
}

std::unique_ptr<ControlServer>
ControlServer::create(const GatewaySettings &settings, Metrics &metrics,
                      SharedState &shared, std::string &reason) {
  std::unique_ptr<ControlServer> server(
      new ControlServer(settings, metrics, shared));
  ControlServer *self = server.get();
  server->Watcher = StoreWatcher::create(
      server->Io, Instance{settings.Host, server->OwnIncarnation},
      settings.StoreEndpoint, metrics, shared, reason);
  if (!server->Watcher) {
    return nullptr;
  }
  server->OwnRegistration.emplace(server->Io, *server->Watcher,
                                  server->makeOwnEntry(), settings.MinLeaseTtl);
  server->Rollouts.emplace(server->Io, *server->Watcher, settings.Host);
  boost::system::error_code ec;
  server->DirectoryAcceptor =
      listenAt(server->Io, settings.DirectoryEndpoint, ec);
  if (!ec) {
    server->ReadinessAcceptor =
        listenAt(server->Io, settings.ReadinessEndpoint, ec);
  }
  if (ec) {
    reason =
        "cannot listen for directory or readiness requests: " + ec.message();
    return nullptr;
  }
  PeerSocketOptions options;
  options.Self = Instance{settings.Host, server->OwnIncarnation};
  options.Address = settings.PeerAddress;
  options.Curve = settings.Curve;
  options.MaxQueuedMessages = MaxQueuedPeerMessages;
  options.MaxConnections = std::clamp<std::size_t>(
      settings.MaxDescriptors / 16, MinPeerConnections, MaxPeerConnections);
  options.HeartbeatInterval = PeerHeartbeatInterval;
  options.HeartbeatTimeout = PeerHeartbeatTimeout;
  server->Peers = PeerSocket::open(
      server->Io, std::move(options), metrics,
      [self](const Instance &from, std::string_view bytes) {
        self->receiveMessage(from, bytes);
      },
      reason);
  return server->Peers ? std::move(server) : nullptr;
}

void ControlServer::run() {
  StoreWatcherHandlers handlers;
  handlers.OnView = [this](std::shared_ptr<const FleetView> view) {
    setView(std::move(view));
  };
  handlers.SendToGroup = [this](const PeerMessage &message) {
    sendToPeers(SharingGroup, message);
  };
  handlers.SendToPeer = [this](const HostId &peer, const PeerMessage &message) {
    sendToPeers({peer}, message);
  };
  Watcher->start(std::move(handlers));
  OwnRegistration->start();
  spawn(Io, queryEngineCaches());
  spawn(
      Io,
      serveJson(
          *DirectoryAcceptor,
          [this](std::string_view requestTarget) {
            return handleDirectoryRequest(requestTarget);
          },
          std::clamp<std::size_t>(Settings.MaxDescriptors / 16,
                                  MinSmallConnections, MaxDirectoryConnections),
          [this] { DirectoryRefusals.count("connections", bootTimeNow()); }));
  spawn(Io,
        serveJson(
            *ReadinessAcceptor,
            [this](std::string_view requestTarget) {
              return handleReadinessRequest(requestTarget);
            },
            MinSmallConnections,
            [this] { ReadinessRefusals.count("connections", bootTimeNow()); }));
  spawn(Io, measureLoopLag(Io, "control", LagProbeInterval, Counters));
  runEventLoop(Io);
}

void ControlServer::stop() {
  asio::post(Io, [this] { Io.stop(); });
}

void ControlServer::setView(std::shared_ptr<const FleetView> view) {
  View = std::move(view);
  std::vector<PeerAddress> peers;
  peers.reserve(View->Routers.size());
  for (const RouterEntry &it : View->Routers) {
    peers.push_back({it.Host, it.PeerAddress});
  }
  Peers->setPeers(peers);
  Preferred = preferredRouters(View->Routers);
  SharingGroup = storeSharingGroup(View->Routers, Settings.Host);
  Watcher->setGroup(SharingGroup);
  Rollouts->setView(View);
}

bool ControlServer::queriesCacheOf(const TargetId &target) const {
  const std::uint64_t ownWeight = rendezvousWeight(Settings.Host, target.Text);
  for (const RouterEntry &it : View->Routers) {
    if (it.Host != Settings.Host &&
        rendezvousWeight(it.Host, target.Text) > ownWeight) {
      return false;
    }
  }
  return true;
}

/// After a start of the whole fleet no router knows what the engines have
/// cached; each router queries some of them and reports the result to its
/// peers.
asio::awaitable<void> ControlServer::queryEngineCaches() {
  while (!View) {
    co_await sleepFor(Io, CacheQueryDelay);
  }
  co_await sleepFor(Io, CacheQueryDelay);
  const std::shared_ptr<const FleetView> view = View;
  for (const KnownTarget &it : view->Targets) {
    const PoolRule *pool = view->Config->findPool(it.Entry.Pool);
    const bool isEngine = pool != nullptr && pool->Engine;
    if (isEngine && !it.Entry.Draining && !it.InEvacuatedZone &&
        queriesCacheOf(it.Entry.Target)) {
      spawn(Io, queryEngineCache(it.Entry.Target, it.Entry.Address));
    }
  }
}

asio::awaitable<void> ControlServer::queryEngineCache(TargetId target,
                                                      std::string address) {
  const std::optional<Endpoint> engine = parseEndpoint(address);
  if (!engine) {
    co_return;
  }
  std::string reason;
  std::optional<std::vector<std::uint64_t>> parts =
      co_await platform::listCachedParts(EngineClient, *engine,
                                         CacheQueryTimeout, reason);
  logLine("belief", parts ? "cache_learned" : "cache_unknown",
          {{"target", target.Text},
           {"parts", std::to_string(parts ? parts->size() : 0)},
           {"reason", reason}});
  if (!parts || parts->empty() || !OnLoadReport) {
    co_return;
  }
  LoadReport report;
  report.PromptsSent.push_back({target, 0, std::move(*parts)});
  OnLoadReport(Settings.Host, std::move(report));
}

void ControlServer::startDraining() {
  if (Draining) {
    return;
  }
  Draining = true;
  Shared.setDraining();
  OwnRegistration->stop();
}

void ControlServer::sendToPeers(const std::vector<HostId> &peers,
                                const PeerMessage &message) {
  if (peers.empty()) {
    return;
  }
  const std::string bytes = encodePeerMessage(message);
  for (const HostId &it : peers) {
    Peers->send(it, peerMessageName(message), bytes);
  }
}

void ControlServer::sendLoadReports(OutgoingReports reports) {
  asio::post(Io, [this, reports = std::move(reports)]() mutable {
    sendToPeers(reports.Recipients.GroupPeers,
                PeerMessage(std::move(reports.OwnReport)));
    sendToPeers(reports.Recipients.RemotePeers,
                PeerMessage(std::move(reports.GroupReport)));
    // Receives messages that arrived while an event of the socket was being
    // handled: they raise no further event.
    Peers->receivePending();
  });
}

void ControlServer::sendOriginMessage(std::vector<HostId> peers,
                                      OriginMessage message) {
  asio::post(Io, [this, peers = std::move(peers),
                  message = std::move(message)]() mutable {
    sendToPeers(peers,
                std::visit([](auto &it) { return PeerMessage(std::move(it)); },
                           message));
    // As after load reports.
    Peers->receivePending();
  });
}

void ControlServer::receiveMessage(const Instance &from,
                                   std::string_view bytes) {
  std::optional<PeerMessage> message = decodePeerMessage(bytes);
  if (!message) {
    Counters.countDroppedPeerMessage("malformed");
    return;
  }
  Counters.countPeerMessage(peerMessageName(*message), "received",
                            bytes.size());
  LastReportAt[from.Host] = bootTimeNow();
  std::visit([this, &from](auto &it) { receive(from, std::move(it)); },
             *message);
}

void ControlServer::receive(const Instance &from, LoadReport report) {
  const Time now = bootTimeNow();
  for (const HostId &it : report.IncludedHosts) {
    LastReportAt[it] = now;
  }
  for (const HostId &it : report.OverloadedHosts) {
    OverloadedAt[it] = now;
  }
  if (OnLoadReport) {
    OnLoadReport(from.Host, std::move(report));
  }
}

void ControlServer::setRolloutDecisions(
    std::vector<RolloutDecision> decisions) {
  asio::post(Io, [this, decisions = std::move(decisions)]() mutable {
    Rollouts->setDecisions(std::move(decisions));
  });
}

RouterHealth ControlServer::healthOf(const RouterEntry &router,
                                     Time now) const {
  RouterHealth out;
  if (router.Host == Settings.Host) {
    out.Responsive = !Draining;
    return out;
  }
  // A router without requests sends no reports; its registration shows that it
  // is alive.
  const auto lastReport = LastReportAt.find(router.Host);
  out.Responsive = Preferred.count(router.Host) == 0 ||
                   lastReport == LastReportAt.end() ||
                   now - lastReport->second < PeerSilenceTimeout;
  const auto overloaded = OverloadedAt.find(router.Host);
  out.Overloaded = overloaded != OverloadedAt.end() &&
                   now - overloaded->second < OverloadMemory;
  return out;
}

JsonResponse
ControlServer::handleDirectoryRequest(std::string_view requestTarget) {
  const std::optional<platform::AddressQuery> query =
      platform::parseAddressQuery(requestTarget);
  if (!query) {
    return {404, "{}"};
  }
  if (!View) {
    return {503, "{}"};
  }
  const Time now = bootTimeNow();
  std::vector<std::string> addresses = entryAddresses(
      View->Routers, query->Zone,
      [this, now](const RouterEntry &it) { return healthOf(it, now); });
  if (addresses.size() > platform::MaxAddresses) {
    // No router is left out of all responses.
    std::shuffle(addresses.begin(), addresses.end(), Random);
    addresses.resize(platform::MaxAddresses);
  }
  if (addresses.empty()) {
    return {503, "{}"};
  }
  const std::chrono::seconds ttl =
      std::min(AddressTtl, Settings.Bounds.MaxAddressTtl);
  return {200, platform::encodeAddresses(addresses, ttl)};
}

JsonResponse
ControlServer::handleReadinessRequest(std::string_view requestTarget) const {
  if (!platform::isReadinessCheck(requestTarget)) {
    return {404, "{}"};
  }
  const bool ready = View && !Draining;
  return {ready ? 200U : 503U, ready ? "{}" : R"({"ready":false})"};
}

} // namespace nutmegsill::gateway
