#include "core.h"

namespace nutmegsill::detail {

namespace {

/// Longest time a stopping router waits for its last hand-over.
constexpr Duration HandOverPatience = std::chrono::seconds(10);
constexpr Duration MapRetry = milliseconds(1000);

} // namespace

Core::Core(Context context)
    : Ctx(std::move(context)), Members(Ctx), Shares(Ctx, Members),
      Owners(Ctx, Members), Grants(Ctx, Members, Shares, Owners),
      Keys(Ctx, Members), Requests(Ctx, Members, Shares, Owners, Keys),
      Config(Ctx, Members), State(Ctx.ChartSet->Instance.initial()) {
  OwnershipHooks hooks;
  hooks.Recover = [this](const TargetId &id, Epoch number) {
    Grants.recover(id, number);
  };
  hooks.Lost = [this](const TargetId &id) { Grants.forget(id); };
  Owners.setHooks(std::move(hooks));
}

std::vector<Effect> Core::handle(const Event &event) {
  Ctx.Now = event.Now;
  Ctx.Out.clear();
  std::visit([this](const auto &body) { on(body); }, event.Body);
  while (!Ctx.Loopback.empty()) {
    const Message message = std::move(Ctx.Loopback.front());
    Ctx.Loopback.pop_front();
    receive(Ctx.Me, message);
  }
  return std::move(Ctx.Out);
}

void Core::on(const Tick &) {
  Config.onTick();
  updateState();
  Owners.onTick();
  Grants.onTick();
  Keys.onTick();
  Requests.takeClaims();
  if (Ctx.Config) {
    Requests.onTick(serving() || State == "leaving");
  }
  Shares.onTick();
  askForOwnerMap();
  if (olderThan(BeatAt, Ctx.Now, Ctx.Limits.Heartbeat)) {
    sendHeartbeats();
  }
}

void Core::updateState() {
  const Chart &chart = Ctx.ChartSet->Instance;
  if (Ctx.Config && !Members.members().empty()) {
    Ctx.advance(chart, State, "configured");
  }
  const bool isolated =
      Config.age() > Ctx.Limits.IsolatedAfter && !Members.reachesMajority();
  const std::string before = State;
  Ctx.advance(chart, State, isolated ? "isolated" : "rejoined");
  if (before != State) {
    Ctx.decide("instance_state", {{"from", before}, {"to", State}});
  }
  if (State != "leaving") {
    return;
  }
  const bool waited = olderThan(StopAt, Ctx.Now, HandOverPatience);
  const bool emptied =
      Requests.openRequests() == 0 && (Owners.empty() || waited);
  if (emptied && Ctx.advance(chart, State, "emptied")) {
    Ctx.emit(Stopped{});
  }
}

void Core::on(const CallerRequest &request) {
  Requests.onRequest(request, State);
}

void Core::on(const CallerGone &gone) { Requests.onCallerGone(gone.Id); }

void Core::on(const AnswerProgress &progress) { Requests.onProgress(progress); }

void Core::on(const ExchangeEnded &ended) {
  Requests.onEnded(ended, serving() || State == "leaving");
}

void Core::on(const LoadReport &report) {
  if (Ctx.Config) {
    Grants.onLoadReport(report);
  }
}

void Core::on(const HostList &list) { Members.onHostList(list); }

void Core::on(const ConfigAccepted &accepted) {
  Config.onConfigReply(ConfigReply{accepted.Head, accepted.Texts});
  // Peers ask for a revision that they do not have.
  sendHeartbeats();
}

void Core::on(const StopRequested &) {
  if (!Ctx.advance(Ctx.ChartSet->Instance, State, "stop")) {
    return;
  }
  Ctx.Self.Leaving = true;
  StopAt = Ctx.Now;
  Members.noteLeaving(Ctx.Me.Host, true);
  Ctx.decide("instance_state", {{"to", State}});
  sendHeartbeats();
}

void Core::on(const PlatformReply &reply) {
  if (Keys.onReply(reply)) {
    Requests.takeClaims();
  } else if (!Config.onReply(reply)) {
    Owners.onReply(reply);
  }
}

void Core::on(const PeerMessage &message) {
  if (message.From.Host == Ctx.Me.Host) {
    return;
  }
  if (Members.onMessage(message.From)) {
    receive(message.From, message.Body);
  }
}

void Core::receive(const Instance &from, const Message &message) {
  const HostId &host = from.Host;
  const bool ready = Ctx.Config != nullptr;
  std::visit(
      Overloaded{
          [&](const Heartbeat &it) { onHeartbeat(from, it); },
          [&](const HeartbeatReply &it) { onHeartbeatReply(from, it); },
          [&](const Demand &it) {
            if (ready) {
              Grants.onDemand(from, it);
            }
          },
          [&](const Grant &it) {
            Requests.onGrant(host, it, serving() || State == "leaving");
          },
          [&](const Settle &it) {
            if (ready) {
              Grants.onSettle(from, it);
            }
          },
          [&](const Usage &it) { Shares.onUsage(from, it); },
          [&](const UsageReply &it) { Shares.onUsageReply(it); },
          [&](const OwnerMap &it) {
            MapKnown = true;
            Owners.onRows(it.Rows);
          },
          [&](const OwnerMapRequest &) {
            OwnerMap map;
            for (const auto &[target, row] : Owners.rows()) {
              map.Rows.push_back(row);
            }
            Ctx.send(host, map);
          },
          [&](const InFlightQuery &it) {
            Owners.onRows({OwnerRow{it.Target, it.Number, from}});
            Requests.onInFlightQuery(host, it);
          },
          [&](const InFlightReply &it) {
            if (ready) {
              Grants.onInFlight(from, it);
            }
          },
          [&](const Offer &it) {
            if (serving()) {
              Requests.onOffer(host, it);
            }
          },
          [&](const ConfigRequest &it) { Config.onConfigRequest(host, it); },
          [&](const ConfigReply &it) { Config.onConfigReply(it); },
      },
      message);
}

void Core::noteOwned(const Instance &from,
                     const std::vector<TargetEpoch> &owned) {
  std::vector<OwnerRow> rows;
  rows.reserve(owned.size());
  for (const TargetEpoch &it : owned) {
    rows.push_back(OwnerRow{it.Target, it.Number, from});
  }
  Owners.onRows(rows);
}

void Core::onHeartbeat(const Instance &from, const Heartbeat &beat) {
  Members.noteLeaving(from.Host, beat.Leaving);
  Config.onPeerRevision(from.Host, beat.Config, beat.ConfigAge, std::nullopt);
  Shares.noteFloors(from.Host, beat.Floors);
  noteOwned(from, beat.Owned);
  HeartbeatReply reply;
  reply.EchoSentAt = beat.SentAt;
  reply.Config = Config.revision();
  reply.ConfigAge = Config.age();
  reply.Leaving = Ctx.Self.Leaving;
  reply.Promises = Owners.promise(from, beat.AskPromise);
  reply.Owned = Owners.owned();
  reply.Floors = Shares.floors();
  Ctx.send(from.Host, reply);
}

void Core::onHeartbeatReply(const Instance &from, const HeartbeatReply &reply) {
  Members.noteAnswer(from.Host, reply.EchoSentAt, reply.Leaving, reply.Config);
  Config.onPeerRevision(from.Host, reply.Config, reply.ConfigAge,
                        reply.EchoSentAt);
  Shares.noteFloors(from.Host, reply.Floors);
  noteOwned(from, reply.Owned);
  Owners.onPromises(from, reply.EchoSentAt, reply.Promises);
}

void Core::sendHeartbeats() {
  BeatAt = Ctx.Now;
  std::set<HostId> peers = Owners.successorHosts();
  const bool reachable = Config.serviceReachable();
  const bool all = Beats++ % Ctx.Limits.SparseHeartbeat == 0 ||
                   Ctx.Self.Leaving || State == "starting";
  if (all) {
    for (const HostId &host : Members.heartbeatPeers(reachable)) {
      peers.insert(host);
    }
  }
  peers.erase(Ctx.Me.Host);
  Heartbeat beat;
  beat.SentAt = Ctx.Now;
  beat.Config = Config.revision();
  beat.ConfigAge = Config.age();
  beat.Leaving = Ctx.Self.Leaving;
  beat.Owned = Owners.owned();
  beat.Floors = Shares.floors();
  for (const HostId &host : peers) {
    beat.AskPromise = Owners.askOf(host);
    Ctx.send(host, beat);
  }
}

void Core::askForOwnerMap() {
  if (MapKnown || !olderThan(AskedMapAt, Ctx.Now, MapRetry)) {
    return;
  }
  AskedMapAt = Ctx.Now;
  for (const HostId &host : Members.ranking("map/" + Ctx.Me.Host.Text)) {
    if (host != Ctx.Me.Host) {
      Ctx.send(host, OwnerMapRequest{});
      return;
    }
  }
}

Status Core::status() const {
  Status status;
  status.State = State;
  status.Config = Config.revision();
  for (const auto &[host, member] : Members.members()) {
    Member shown = member;
    shown.Leaving = !Members.stays(host);
    status.Members.push_back(shown);
  }
  for (const TargetEpoch &it : Owners.owned()) {
    TargetStatus target;
    target.Target = it.Target;
    target.Number = it.Number;
    target.Ownership = Owners.state(it.Target);
    target.MayGrant = Owners.mayGrant(it.Target);
    if (Ctx.Config) {
      Grants.fillStatus(target);
    }
    status.Owned.push_back(target);
  }
  status.Teams = Shares.homeStatus();
  for (const auto &[team, count] : Requests.queued()) {
    status.Teams.push_back(
        {team.first, team.second, Shares.tag(team), true, count});
  }
  status.RequestsOpen = Requests.openRequests();
  return status;
}

} // namespace nutmegsill::detail
