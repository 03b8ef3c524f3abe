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

/// Longest time of a call to the store; it answers in milliseconds.
constexpr milliseconds StoreTimeout{700};
/// Life of this router's registration. Callers must not be sent to a dead
/// router for longer than the contact bound and three seconds (DRAIN).
constexpr milliseconds RegistrationLife{4'000};
constexpr milliseconds RegistrationRenewal{1'300};
constexpr milliseconds RegistrationRetry{250};
/// Changes are collected for this long before the next watch, for each router
/// of the fleet: every change ends one watch of every router.
constexpr milliseconds WatchPausePerRouter{5};
constexpr milliseconds LongestWatchPause{500};
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

FleetStatePolicy statePolicy() { return {}; }
StoreLinkPolicy linkPolicy() { return {}; }

std::string addressText(const Endpoint &at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

/// The start time in microseconds: later lives have larger numbers.
Incarnation drawLife() {
  const std::chrono::system_clock::duration now =
      std::chrono::system_clock::now().time_since_epoch();
  return Incarnation{static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count())};
}

} // namespace

Control::Control(const GatewaySettings &settings, Metrics &metrics,
                 SharedState &shared, StoreLink link)
    : Own(settings), Counters(metrics), Shared(shared),
      Store(settings.Store, StoreTimeout), Link(std::move(link)),
      State(settings.Host, statePolicy()) {
  Self.Host = settings.Host;
  Self.Zone = settings.Zone;
  Self.CallerAddress = addressText(settings.Callers);
  Self.PeerAddress = settings.PeerAddress;
  Self.Life = drawLife();
}

std::unique_ptr<Control> Control::create(const GatewaySettings &settings,
                                         Metrics &metrics, SharedState &shared,
                                         std::string &reason) {
  std::optional<StoreLink> link = StoreLink::create(linkPolicy(), reason);
  if (!link) {
    return nullptr;
  }
  std::unique_ptr<Control> control(
      new Control(settings, metrics, shared, std::move(*link)));
  Control *self = control.get();
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
  options.Self = Instance{settings.Host, control->Self.Life};
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
  spawn(Io, followStore());
  spawn(Io, checkCurrent());
  spawn(Io, expireLater());
  spawn(Io, stayRegistered());
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

asio::awaitable<void> Control::pause(Duration span) {
  boost::system::error_code ec;
  asio::steady_timer timer(Io, span);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

template <class Result>
void Control::noteCall(const char *call, const Result &result) {
  Counters.platformCall(
      call, result.Ok ? "ok" : platform::storeFailureName(result.Failure));
  if (result.Ok) {
    State.storeAnswered(bootNow());
    return;
  }
  logLine("store", "call_failed",
          {{"call", call},
           {"failure", platform::storeFailureName(result.Failure)},
           {"reason", result.Reason}});
  const bool away = result.Failure == platform::StoreFailure::NoAnswer ||
                    result.Failure == platform::StoreFailure::Refused;
  if (away) {
    State.storeFailed(bootNow());
  }
}

asio::awaitable<void> Control::followStore() {
  for (;;) {
    const StoreCall call = Link.next();
    if (const PauseCall *it = std::get_if<PauseCall>(&call)) {
      co_await pause(it->For);
    } else if (const WatchCall *it = std::get_if<WatchCall>(&call)) {
      co_await watch(*it);
    } else {
      co_await list();
    }
    publish();
  }
}

asio::awaitable<void> Control::list() {
  const Time sentAt = bootNow();
  std::vector<StoreFact> facts;
  std::optional<StoreRevision> at;
  std::string after;
  for (bool more = true; more;) {
    platform::StoreResult<platform::ItemsPage> page =
        co_await Store.list(after);
    noteCall("list", page);
    if (!page.Ok) {
      Link.failed();
      co_return;
    }
    // Pages are read one after the other; watching from the first revision
    // repeats whatever changed meanwhile.
    at = at.value_or(page.Ok->At);
    for (StoreFact &fact : page.Ok->Facts) {
      facts.push_back(std::move(fact));
    }
    more = page.Ok->More && page.Ok->LastKey > after;
    after = page.Ok->LastKey;
  }
  // A change that arrived meanwhile is newer than the pages.
  if (*at >= Link.revision()) {
    State.listed(facts, bootNow());
  }
  Link.listed(*at, sentAt);
}

asio::awaitable<void> Control::watch(WatchCall call) {
  platform::StoreResult<platform::Changes> changes =
      co_await Store.watch(call.After, call.Wait, Link.policy().AnswerSlack);
  noteCall("watch", changes);
  if (!changes.Ok) {
    if (changes.Failure == platform::StoreFailure::HistoryGone) {
      Link.historyGone();
    } else {
      Link.failed();
    }
    co_return;
  }
  if (Link.revision() > call.After) {
    // A listing overtook this answer.
    co_return;
  }
  const bool events = !changes.Ok->Facts.empty();
  Link.watched(changes.Ok->At);
  for (const StoreFact &fact : changes.Ok->Facts) {
    State.changed(fact, bootNow());
  }
  if (events) {
    publish();
    const std::size_t routers = View ? View->Routers.size() : 1;
    co_await pause(
        std::min<Duration>(LongestWatchPause, WatchPausePerRouter * routers));
  }
}

asio::awaitable<void> Control::checkCurrent() {
  for (;;) {
    co_await pause(Link.policy().CheckInterval);
    bool current = !Link.provenAt();
    while (!current) {
      const Time sentAt = bootNow();
      const platform::StoreResult<StoreRevision> at = co_await Store.revision();
      noteCall("check", at);
      if (!at.Ok) {
        co_await pause(Link.policy().FirstRetry);
        continue;
      }
      current = Link.checked(*at.Ok, sentAt);
      if (!current) {
        co_await pause(Link.policy().CatchUp);
        current = Link.checked(*at.Ok, sentAt);
      }
      if (!current) {
        logLine("store", "change_missed",
                {{"known", std::to_string(Link.revision().Value)},
                 {"store", std::to_string(at.Ok->Value)}});
        co_await list();
        current = true;
      }
    }
    publish();
  }
}

asio::awaitable<void> Control::expireLater() {
  constexpr milliseconds interval{200};
  for (;;) {
    co_await pause(interval);
    if (State.expire(bootNow())) {
      publish();
    }
  }
}

void Control::publish() {
  for (const BeliefChange &it : State.takeChanges()) {
    Counters.decision(it.What);
    logLine("belief", it.What, it.Facts);
  }
  if (Link.provenAt()) {
    Shared.setProvenAt(*Link.provenAt());
  }
  if (!State.complete()) {
    return;
  }
  std::shared_ptr<const FleetView> fresh = State.view();
  if (fresh == View) {
    return;
  }
  View = fresh;
  const ReportPaths paths = reportPaths(View->Routers, Own.Host);
  std::set<HostId> receivers(paths.Row.begin(), paths.Row.end());
  receivers.insert(paths.Others.begin(), paths.Others.end());
  std::vector<PeerAddress> peers;
  peers.reserve(receivers.size());
  for (const RouterEntry &it : View->Routers) {
    if (receivers.count(it.Host) > 0) {
      peers.push_back({it.Host, it.PeerAddress});
    }
  }
  Peers->setPeers(peers);
  Shared.setView(std::move(fresh));
}

asio::awaitable<bool> Control::registerRouter() {
  if (!Registration) {
    const milliseconds life = std::max(RegistrationLife, Own.ShortestLease);
    platform::StoreResult<platform::Lease> lease =
        co_await Store.grantLease(life);
    noteCall("grant_lease", lease);
    if (!lease.Ok) {
      co_return false;
    }
    Registration = lease.Ok;
    StoreRevision present;
    platform::StoreResult<StoreRevision> put =
        co_await Store.putRouter(Self, Registration->Id, OwnEntry, present);
    noteCall("register", put);
    if (put.Ok) {
      OwnEntry = *put.Ok;
      logLine("registration", "registered",
              {{"revision", std::to_string(OwnEntry.Value)}});
      co_return true;
    }
    if (put.Failure == platform::StoreFailure::Conflict) {
      OwnEntry = present;
      put = co_await Store.putRouter(Self, Registration->Id, OwnEntry, present);
      noteCall("register", put);
      if (put.Ok) {
        OwnEntry = *put.Ok;
        co_return true;
      }
    }
    // The entry may have been written without an answer; the next attempt
    // finds it by its revision.
    Registration.reset();
    co_return false;
  }
  platform::StoreResult<platform::Lease> kept =
      co_await Store.keepLease(Registration->Id);
  noteCall("keep_lease", kept);
  if (!kept.Ok && kept.Failure == platform::StoreFailure::NoLease) {
    logLine("registration", "lease_ended", {});
    Registration.reset();
    OwnEntry = StoreRevision{0};
  }
  co_return kept.Ok.has_value();
}

asio::awaitable<void> Control::stayRegistered() {
  while (!Leaving) {
    const bool known = State.complete();
    bool registered = false;
    if (known) {
      registered = co_await registerRouter();
    }
    co_await pause(registered ? RegistrationRenewal : RegistrationRetry);
  }
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
    co_await pause(CacheLearningDelay);
  }
  co_await pause(CacheLearningDelay);
  const std::shared_ptr<const FleetView> view = View;
  for (const KnownTarget &it : view->Targets) {
    const PoolRule *pool = view->Config->pool(it.Entry.Pool);
    const bool engine = pool != nullptr && pool->Engine;
    if (engine && !it.Entry.Draining && !it.ZoneOut &&
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
      co_await platform::listCachedParts(Engines, *to, StoreTimeout, reason);
  logLine("belief", parts ? "cache_learned" : "cache_unknown",
          {{"target", target.Text},
           {"parts", std::to_string(parts ? parts->size() : 0)},
           {"reason", reason}});
  if (!parts || parts->empty() || !OnPeer) {
    co_return;
  }
  LoadReport report;
  report.Sent.push_back({target, 0, std::move(*parts)});
  OnPeer(Own.Host, std::move(report));
}

asio::awaitable<void> Control::endRegistration() {
  constexpr int attempts = 4;
  for (int i = 0; i < attempts && Registration; ++i) {
    platform::StoreResult<platform::LeaseId> ended =
        co_await Store.endLease(Registration->Id);
    noteCall("end_lease", ended);
    if (ended.Ok) {
      Registration.reset();
    } else {
      co_await pause(RegistrationRetry);
    }
  }
}

void Control::leave() {
  if (Leaving) {
    return;
  }
  Leaving = true;
  Shared.setLeaving();
  spawn(Io, endRegistration());
}

void Control::tellPeers(OutgoingReports reports) {
  asio::post(Io, [this, reports = std::move(reports)] {
    const std::string own = encodeLoad(reports.Own);
    for (const HostId &it : reports.Paths.Row) {
      Peers->send(it, LoadReportType, own);
    }
    if (!reports.Paths.Others.empty()) {
      const std::string row = encodeLoad(reports.Row);
      for (const HostId &it : reports.Paths.Others) {
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
  for (const HostId &it : report->Hosts) {
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
