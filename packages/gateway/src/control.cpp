#include "control.h"

#include "load_codec.h"
#include "log.h"
#include "nutmegsill/platform/directory.h"
#include "nutmegsill/platform/engine.h"
#include "nutmegsill/rendezvous.h"
#include "spawn.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using namespace routing;

namespace {

/// Time in which routers that start together find each other.
constexpr milliseconds CacheLearningDelay{250};
/// Silence of a peer after which callers are not sent to it.
constexpr milliseconds PeerSilence{1'500};
/// Life of an answer of the directory: callers follow changes soon, and ask
/// not more often than they connect.
constexpr std::chrono::seconds AddressLife{2};
/// Fewest routers of the caller's zone for an answer of that zone only.
constexpr std::size_t EnoughInZone = 2;
constexpr int PeerQueue = 4;
constexpr milliseconds PeerCheck{1'000};
constexpr milliseconds PeerTimeout{2'000};
constexpr const char *LoadReportType = "load_report";

/// Longest time of an engine's answer to a question about its cache.
constexpr milliseconds EngineTimeout{700};

std::string addressText(const Endpoint &at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

/// The start time in microseconds: later lives have larger numbers.
IncarnationId drawLife() {
  const std::chrono::system_clock::duration now =
      std::chrono::system_clock::now().time_since_epoch();
  return IncarnationId{static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

} // namespace

Control::Control(const GatewaySettings &settings, Metrics &metrics,
                 SharedState &shared)
    : Own(settings), Counters(metrics), Shared(shared), Life(drawLife()) {}

RouterEntry Control::ownEntry() const {
  RouterEntry out;
  out.Host = Own.Host;
  out.Zone = Own.Zone;
  out.CallerAddress = addressText(Own.Callers);
  out.PeerAddress = Own.PeerAddress;
  out.Incarnation = Life;
  return out;
}

std::unique_ptr<Control> Control::create(const GatewaySettings &settings,
                                         Metrics &metrics, SharedState &shared,
                                         std::string &reason) {
  std::unique_ptr<Control> control(new Control(settings, metrics, shared));
  Control *self = control.get();
  control->Follower = StoreFollower::create(
      control->Io, settings.Host, settings.Store, metrics, shared, reason);
  if (!control->Follower) {
    return nullptr;
  }
  control->Entry.emplace(control->Io, *control->Follower, control->ownEntry(),
                         settings.ShortestLease);
  boost::system::error_code ec;
  control->DirectoryPort = listenAt(control->Io, settings.Directory, ec);
  if (!ec) {
    control->ReadinessPort = listenAt(control->Io, settings.Readiness, ec);
  }
  if (ec) {
    reason = "cannot listen: " + ec.message();
    return nullptr;
  }
  PeerSocketOptions options;
  options.Self = Instance{settings.Host, control->Life};
  options.Address = settings.PeerAddress;
  options.Curve = settings.Curve;
  options.SendQueue = PeerQueue;
  options.CheckInterval = PeerCheck;
  options.CheckTimeout = PeerTimeout;
  control->Peers = PeerSocket::open(
      control->Io, std::move(options), metrics,
      [self](const Instance &from, std::string_view bytes) {
        self->receive(from, bytes);
      },
      reason);
  return control->Peers ? std::move(control) : nullptr;
}

void Control::run() {
  Follower->start([this](std::shared_ptr<const FleetView> view) {
    adopt(std::move(view));
  });
  Entry->start();
  spawn(Io, learnCaches());
  spawn(Io, serveShortAnswers(*DirectoryPort, [this](std::string_view target) {
          return answerDirectory(target);
        }));
  spawn(Io, serveShortAnswers(*ReadinessPort, [this](std::string_view target) {
          return answerReadiness(target);
        }));
  Io.run();
}

void Control::stop() {
  asio::post(Io, [this] { Io.stop(); });
}

void Control::adopt(std::shared_ptr<const FleetView> view) {
  View = std::move(view);
  const ReportRecipients paths = reportRecipients(View->Routers, Own.Host);
  std::set<HostId> receivers(paths.GroupPeers.begin(), paths.GroupPeers.end());
  receivers.insert(paths.RemotePeers.begin(), paths.RemotePeers.end());
  std::vector<PeerAddress> peers;
  peers.reserve(receivers.size());
  for (const RouterEntry &it : View->Routers) {
    if (receivers.count(it.Host) > 0) {
      peers.push_back({it.Host, it.PeerAddress});
    }
  }
  Peers->setPeers(peers);
}

bool Control::asksFor(const TargetId &target) const {
  const std::uint64_t own = rendezvousWeight(Own.Host, target.Text);
  for (const RouterEntry &it : View->Routers) {
    if (it.Host != Own.Host && rendezvousWeight(it.Host, target.Text) > own) {
      return false;
    }
  }
  return true;
}

/// After a start of the whole fleet nobody knows what engines have cached;
/// each router asks some of them and tells the others.
asio::awaitable<void> Control::learnCaches() {
  while (!View) {
    co_await pauseFor(Io, CacheLearningDelay);
  }
  co_await pauseFor(Io, CacheLearningDelay);
  const std::shared_ptr<const FleetView> view = View;
  for (const KnownTarget &it : view->Targets) {
    const PoolRule *pool = view->Config->findPool(it.Entry.Pool);
    const bool engine = pool != nullptr && pool->Engine;
    if (engine && !it.Entry.Draining && !it.InEvacuatedZone &&
        asksFor(it.Entry.Target)) {
      spawn(Io, learnCache(it.Entry.Target, it.Entry.Address));
    }
  }
}

asio::awaitable<void> Control::learnCache(TargetId target,
                                          std::string address) {
  const std::optional<Endpoint> to = parseEndpoint(address);
  if (!to) {
    co_return;
  }
  std::string reason;
  std::optional<std::vector<std::uint64_t>> parts =
      co_await platform::listCachedParts(Engines, *to, EngineTimeout, reason);
  logLine("belief", parts ? "cache_learned" : "cache_unknown",
          {{"target", target.Text},
           {"parts", std::to_string(parts ? parts->size() : 0)},
           {"reason", reason}});
  if (!parts || parts->empty() || !OnPeer) {
    co_return;
  }
  LoadReport report;
  report.PromptsSent.push_back({target, 0, std::move(*parts)});
  OnPeer(Own.Host, std::move(report));
}

void Control::leave() {
  if (Leaving) {
    return;
  }
  Leaving = true;
  Shared.setLeaving();
  Entry->end();
}

void Control::tellPeers(OutgoingReports reports) {
  asio::post(Io, [this, reports = std::move(reports)] {
    const std::string own = encodeLoad(reports.OwnReport);
    for (const HostId &it : reports.Recipients.GroupPeers) {
      Peers->send(it, LoadReportType, own);
    }
    if (!reports.Recipients.RemotePeers.empty()) {
      const std::string row = encodeLoad(reports.GroupReport);
      for (const HostId &it : reports.Recipients.RemotePeers) {
        Peers->send(it, LoadReportType, row);
      }
    }
    // Messages that arrived while the socket's event was being handled raise
    // no further event.
    Peers->drain();
  });
}

void Control::receive(const Instance &from, std::string_view bytes) {
  std::optional<LoadReport> report = decodeLoad(bytes);
  if (!report) {
    Counters.peerDropped("malformed");
    return;
  }
  Counters.peerMessage(LoadReportType, "received", bytes.size());
  const Time now = bootNow();
  Heard[from.Host] = now;
  for (const HostId &it : report->IncludedHosts) {
    Heard[it] = now;
  }
  if (OnPeer) {
    OnPeer(from.Host, std::move(*report));
  }
}

bool Control::alive(const RouterEntry &router, Time now) const {
  if (router.Host == Own.Host) {
    return !Leaving;
  }
  const auto it = Heard.find(router.Host);
  return it == Heard.end() || now - it->second < PeerSilence;
}

std::vector<std::string> Control::addressesFor(const ZoneId &zone) const {
  const Time now = bootNow();
  std::vector<std::string> near;
  std::vector<std::string> all;
  std::vector<std::string> silent;
  for (const RouterEntry &it : View->Routers) {
    if (!alive(it, now)) {
      silent.push_back(it.CallerAddress);
      continue;
    }
    all.push_back(it.CallerAddress);
    if (it.Zone == zone) {
      near.push_back(it.CallerAddress);
    }
  }
  if (near.size() >= EnoughInZone) {
    return near;
  }
  return all.empty() ? silent : all;
}

ShortAnswer Control::answerDirectory(std::string_view target) const {
  const std::optional<platform::AddressQuery> query =
      platform::parseAddressQuery(target);
  if (!query) {
    return {404, "{}"};
  }
  if (!View) {
    return {503, "{}"};
  }
  std::vector<std::string> addresses = addressesFor(query->Zone);
  if (addresses.size() > platform::MaxAddresses) {
    addresses.resize(platform::MaxAddresses);
  }
  if (addresses.empty()) {
    return {503, "{}"};
  }
  const std::chrono::seconds life =
      std::min(AddressLife, Own.Bounds.AddressLife);
  return {200, platform::encodeAddresses(addresses, life)};
}

ShortAnswer Control::answerReadiness(std::string_view target) const {
  if (!platform::isReadinessCheck(target)) {
    return {404, "{}"};
  }
  const bool ready = View && !Leaving;
  return {ready ? 200U : 503U, ready ? "{}" : R"({"ready":false})"};
}

} // namespace nutmegsill::gateway
