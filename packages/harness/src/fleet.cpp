#include "fleet.h"

#include "nutmegsill/codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmegsill::harness {

using nlohmann::json;

namespace {

constexpr Duration HostListInterval = milliseconds(500);
constexpr Duration SlowService = milliseconds(800);
constexpr Duration CallTimeout = milliseconds(1000);
constexpr std::int64_t MaxDrift = 20;

void countFromReceipt(EventBody &body, Time now) {
  if (PlatformReply *reply = std::get_if<PlatformReply>(&body)) {
    reply->SentAt = now;
  }
  PeerMessage *message = std::get_if<PeerMessage>(&body);
  if (message == nullptr) {
    return;
  }
  if (HeartbeatReply *it = std::get_if<HeartbeatReply>(&message->Body)) {
    it->EchoSentAt = now;
  }
}

json configText(const VirtualPlan &plan, const std::set<ZoneId> &zonesOut,
                const std::set<TargetId> &targetsOut) {
  json root{{"zones", json::object()},
            {"pools", json::object()},
            {"targets", json::object()},
            {"teams", json::object()}};
  for (const auto &[host, zone] : plan.Hosts) {
    root["zones"][zone.Text] = {{"out", zonesOut.count(zone) != 0}};
  }
  for (const auto &[id, pool] : plan.Pools) {
    json &out = root["pools"][id.Text];
    out = {{"kind", pool.Kind == PoolKindOf::Model ? "model" : "service"},
           {"estimate", pool.Estimate.Units},
           {"queue_timeout_ms", pool.QueueTimeout.count()}};
    if (!pool.Prefix.empty()) {
      out["prefix"] = pool.Prefix;
    }
  }
  for (const TargetPlan &it : plan.Targets) {
    root["targets"][it.Id.Text] = {
        {"pool", it.Pool.Text},       {"zone", it.Zone.Text},
        {"address", "127.0.0.1:1"},   {"slots", it.Slots},
        {"cold_slots", it.ColdSlots}, {"warm_up_ms", 2 * it.WarmUp.count()},
        {"fencing", it.Fencing},      {"out", targetsOut.count(it.Id) != 0}};
  }
  for (const auto &[id, team] : plan.Teams) {
    root["teams"][id.Text] = {{"weight", team.Weight},
                              {"queue_limit", team.QueueLimit}};
  }
  return root;
}

} // namespace

VirtualFleet::VirtualFleet(VirtualPlan plan)
    : Plan(std::move(plan)), Sound(Plan), Random(Plan.Seed) {
  std::vector<std::string> faults;
  ChartSet = parseCharts(builtInCharts(), faults);
  for (const TargetPlan &it : Plan.Targets) {
    Targets[it.Id] = Target{it, Now - it.WarmUp, 1, Epoch{}, {}};
  }
  for (const auto &[id, zone] : Plan.Hosts) {
    Host &host = Hosts[id];
    host.Self = Member{id, zone, id.Text + ":1", id.Text + ":2", false};
    host.ClockOffset = Duration(Random() % 1'000'000'000);
    host.ClockDrift =
        static_cast<std::int64_t>(Random() % (2 * MaxDrift)) - MaxDrift;
    const auto drift = Plan.ClockDrift.find(id);
    host.ClockDrift =
        drift == Plan.ClockDrift.end() ? host.ClockDrift : drift->second;
  }
  publishHostList();
  configure({}, {});
  for (const auto &[id, zone] : Plan.Hosts) {
    start(id);
  }
}

void VirtualFleet::at(Time time, std::function<void()> action) {
  Queue.push(Scheduled{std::max(time, Now), ++LastOrder, std::move(action)});
}

void VirtualFleet::runUntil(Time end) {
  while (!Queue.empty() && Queue.top().At <= end) {
    const Scheduled next = Queue.top();
    Queue.pop();
    Now = next.At;
    next.Action();
  }
  Now = end;
}

Duration VirtualFleet::delay() {
  const Duration span = Plan.MostDelay - Plan.LeastDelay + Duration(1);
  return Plan.LeastDelay +
         Duration(Random() % static_cast<std::uint64_t>(span.count()));
}

bool VirtualFleet::chance(unsigned percent) {
  return percent > 0 && Random() % 100 < percent;
}

Time VirtualFleet::localNow(const Host &host) const {
  const Duration since = Now.time_since_epoch();
  return Time(host.ClockOffset + since + since * host.ClockDrift / 1000);
}

void VirtualFleet::feed(const HostId &id, Incarnation life, EventBody body) {
  Host &host = Hosts[id];
  if (!host.Decisions || host.Life != life) {
    return;
  }
  if (host.PausedUntil) {
    host.WhilePaused.push_back(
        [this, id, life, body = std::move(body)] { feed(id, life, body); });
    return;
  }
  if (Plan.CountFromReceipt) {
    countFromReceipt(body, localNow(host));
  }
  const std::vector<Effect> effects =
      host.Decisions->handle(Event{localNow(host), std::move(body)});
  for (const Effect &effect : effects) {
    apply(id, effect);
  }
}

void VirtualFleet::start(const HostId &id) {
  Host &host = Hosts[id];
  if (host.Decisions) {
    return;
  }
  host.Life = Incarnation{++LastLife};
  host.Self.Leaving = false;
  std::string reason;
  host.Decisions = RouterBuilder()
                       .self(host.Self, host.Life)
                       .charts(ChartSet)
                       .timing(Plan.Limits)
                       .build(reason);
  host.Ended.clear();
  host.Joined.clear();
  host.Dispatched.clear();
  host.Left.clear();
  host.LifeIndex = Seen.Lives.size();
  Seen.Lives.push_back(LifeRecord{
      Instance{id, host.Life}, Now, std::nullopt, std::nullopt, false, {}});
  scheduleTick(id, host.Life);
  scheduleHostList(id, host.Life);
}

void VirtualFleet::kill(const HostId &id) {
  Host &host = Hosts[id];
  if (!host.Decisions) {
    return;
  }
  host.Decisions.reset();
  host.PausedUntil.reset();
  host.WhilePaused.clear();
  Seen.Lives[host.LifeIndex].Until = Now;
  const std::map<RequestId, std::size_t> open = std::move(host.Open);
  host.Open.clear();
  for (const auto &[request, call] : open) {
    endCall(call, CallEnd::Cut, "");
  }
}

void VirtualFleet::stop(const HostId &id) {
  Host &host = Hosts[id];
  if (host.Decisions) {
    Seen.Lives[host.LifeIndex].StopAskedAt = Now;
    disturb(id, Now + std::chrono::hours(1));
    feed(id, host.Life, StopRequested{});
  }
}

void VirtualFleet::pause(const HostId &id, Duration time) {
  Host &host = Hosts[id];
  if (!host.Decisions || host.PausedUntil) {
    return;
  }
  host.PausedUntil = Now + time;
  disturb(id, Now + time);
  const Incarnation life = host.Life;
  at(Now + time, [this, id, life] {
    Host &woken = Hosts[id];
    if (woken.Life != life) {
      return;
    }
    woken.PausedUntil.reset();
    const std::vector<std::function<void()>> missed =
        std::move(woken.WhilePaused);
    woken.WhilePaused.clear();
    for (const std::function<void()> &it : missed) {
      it();
    }
  });
}

void VirtualFleet::cut(const HostId &from, const HostId &to, Duration time) {
  Time &until = Cuts[{from, to}];
  until = std::max(until, Now + time);
}

void VirtualFleet::isolate(const HostId &host, Duration time, bool platform) {
  for (const auto &[other, state] : Hosts) {
    cut(host, other, time);
    cut(other, host, time);
  }
  if (platform) {
    cutPlatform(host, time);
  }
}

void VirtualFleet::cutPlatform(const HostId &host, Duration time) {
  PlatformCuts[host] = Now + time;
  disturb(host, Now + time);
}

void VirtualFleet::setNetwork(unsigned lossPercent, unsigned repeatPercent,
                              Duration mostDelay, Duration time) {
  Plan.LossPercent = lossPercent;
  Plan.RepeatPercent = repeatPercent;
  Plan.MostDelay = mostDelay;
  const std::uint64_t change = ++NetworkChanges;
  at(Now + time, [this, change] {
    if (change == NetworkChanges) {
      Plan.LossPercent = Sound.LossPercent;
      Plan.RepeatPercent = Sound.RepeatPercent;
      Plan.MostDelay = Sound.MostDelay;
    }
  });
}

void VirtualFleet::setPlatform(PlatformFault fault, Duration time) {
  Fault = fault;
  for (const auto &[id, host] : Hosts) {
    disturb(id, Now + time);
  }
  at(Now + time, [this] { Fault = PlatformFault::None; });
}

void VirtualFleet::disturb(const HostId &id, Time until) {
  const Host &host = Hosts[id];
  if (host.Decisions) {
    Seen.Lives[host.LifeIndex].Disturbed.emplace_back(Now, until);
  }
}

void VirtualFleet::makeCold(const TargetId &id) {
  ++ColdStarts;
  restartTarget(Targets[id]);
}

void VirtualFleet::restartTarget(Target &target) {
  breakWork(target);
  target.StartedAt = Now;
  ++target.Starts;
}

void VirtualFleet::refuseWork(const TargetId &target, Duration time) {
  Targets[target].RefusesUntil = Now + time;
}

void VirtualFleet::leave(std::size_t call) {
  for (auto &[id, host] : Hosts) {
    const auto it =
        std::find_if(host.Open.begin(), host.Open.end(),
                     [call](const auto &open) { return open.second == call; });
    if (it == host.Open.end()) {
      continue;
    }
    const RequestId request = it->first;
    endCall(call, CallEnd::Cut, "");
    if (host.Dispatched.count(request) != 0) {
      host.Left.insert(request);
      dropWork(id, host, request);
    } else {
      feed(id, host.Life, CallerGone{request});
      endRequest(host, request, CallEnd::NotRun, "");
    }
    return;
  }
}

/// Breaks off work whose caller left; a call that may not be repeated goes on.
void VirtualFleet::dropWork(const HostId &id, const Host &host,
                            RequestId request) {
  for (auto &[name, target] : Targets) {
    for (const auto &[number, run] : target.Work) {
      const bool own = run.Entry == id && run.EntryLife == host.Life &&
                       run.Id == request && Seen.Calls[run.Call].Idempotent;
      if (own) {
        const Running left = run;
        target.Work.erase(number);
        endExchange(left, ExchangeEnd::CallerLeft, Cost{1});
        return;
      }
    }
  }
}

void VirtualFleet::listHost(const HostId &host, bool listed) {
  at(Now + Plan.HostListLag, [this, host, listed] {
    if (listed) {
      Unlisted.erase(host);
    } else {
      Unlisted.insert(host);
    }
    publishHostList();
  });
}

void VirtualFleet::publishHostList() {
  Listed.clear();
  for (const auto &[id, host] : Hosts) {
    if (Unlisted.count(id) == 0) {
      Listed.push_back(host.Self);
    }
  }
}

bool VirtualFleet::configure(const std::set<ZoneId> &zonesOut,
                             const std::set<TargetId> &targetsOut) {
  if (Fault == PlatformFault::Down) {
    return false;
  }
  const std::string text = configText(Plan, zonesOut, targetsOut).dump();
  const std::string hash = std::to_string(std::hash<std::string>()(text));
  LastRevision = Revision{LastRevision.Value + 1};
  Values[fileKey(hash)] = KvValue{text, ++ModRevision};
  HeadRecord head;
  head.Number = LastRevision;
  head.ChangeId = "change-" + std::to_string(LastRevision.Value);
  head.Files = {{"all.json", hash}};
  Values[HeadKey] = KvValue{encode(head), ++ModRevision};
  AcceptedRecord record{LastRevision, Now, {}};
  for (const TargetPlan &it : Plan.Targets) {
    if (targetsOut.count(it.Id) != 0 || zonesOut.count(it.Zone) != 0) {
      record.Out.push_back(it.Id);
    }
  }
  Seen.Accepted.push_back(std::move(record));
  // The router through which the operator made the change knows it at once.
  for (const auto &[id, host] : Hosts) {
    if (host.Decisions && !host.PausedUntil) {
      const Incarnation life = host.Life;
      const ConfigAccepted accepted{encode(head), {text}};
      at(Now + delay(),
         [this, id, life, accepted] { feed(id, life, accepted); });
      break;
    }
  }
  return true;
}

bool VirtualFleet::alive(const HostId &host) const {
  return Hosts.at(host).Decisions.has_value();
}

Status VirtualFleet::status(const HostId &host) const {
  return Hosts.at(host).Decisions->status();
}

const History &VirtualFleet::history() {
  Seen.EndedAt = Now;
  return Seen;
}

void VirtualFleet::scheduleTick(const HostId &id, Incarnation life) {
  at(Now + Plan.TickInterval, [this, id, life] {
    const Host &host = Hosts[id];
    if (!host.Decisions || host.Life != life) {
      return;
    }
    noteSlots();
    if (!host.PausedUntil) {
      feed(id, life, Tick{});
    }
    scheduleTick(id, life);
  });
}

void VirtualFleet::scheduleHostList(const HostId &id, Incarnation life) {
  const Host &host = Hosts[id];
  if (!host.Decisions || host.Life != life) {
    return;
  }
  const auto cutUntil = PlatformCuts.find(id);
  if (cutUntil == PlatformCuts.end() || cutUntil->second <= Now) {
    feed(id, life, HostList{Listed});
  }
  at(Now + HostListInterval, [this, id, life] { scheduleHostList(id, life); });
}

void VirtualFleet::apply(const HostId &id, const Effect &effect) {
  Host &host = Hosts[id];
  if (const SendPeer *it = std::get_if<SendPeer>(&effect)) {
    sendPeer(id, *it);
  } else if (const PlatformCall *it = std::get_if<PlatformCall>(&effect)) {
    callPlatform(id, *it);
  } else if (const PollLoad *it = std::get_if<PollLoad>(&effect)) {
    pollLoad(id, *it);
  } else if (const Dispatch *it = std::get_if<Dispatch>(&effect)) {
    dispatch(id, *it);
  } else if (const Refuse *it = std::get_if<Refuse>(&effect)) {
    endRequest(host, it->Id,
               it->Why == Refusal::OutcomeUnknown ? CallEnd::Unknown
                                                  : CallEnd::NotRun,
               "");
  } else if (const ForwardToHolder *it =
                 std::get_if<ForwardToHolder>(&effect)) {
    forward(id, *it);
  } else if (const JoinAttempt *it = std::get_if<JoinAttempt>(&effect)) {
    join(id, *it);
  } else if (const ConfigInForce *it = std::get_if<ConfigInForce>(&effect)) {
    Seen.InForce.push_back(
        InForceRecord{Instance{id, host.Life}, it->Value->Number, Now});
  } else if (const Decision *it = std::get_if<Decision>(&effect)) {
    trace(id, *it);
    if (it->What == "grant") {
      const std::map<std::string, std::string> facts(it->Facts.begin(),
                                                     it->Facts.end());
      Seen.Grants.push_back(GrantRecord{id, TargetId{facts.at("target")},
                                        Epoch{std::stoull(facts.at("epoch"))},
                                        Now});
    }
  } else if (const Step *it = std::get_if<Step>(&effect)) {
    trace(id, *it);
    if (OnStep) {
      at(Now, [this, id, step = *it] { OnStep(id, step); });
    }
  } else if (std::holds_alternative<Stopped>(effect)) {
    Seen.Lives[host.LifeIndex].Stopped = true;
    at(Now, [this, id, life = host.Life] {
      if (Hosts[id].Life == life) {
        kill(id);
      }
    });
  }
}

void VirtualFleet::trace(const HostId &id, const Decision &decision) {
  if (!Plan.Trace) {
    return;
  }
  std::string line = timeText() + " " + id.Text + " " + decision.What;
  for (const auto &[name, value] : decision.Facts) {
    line.append(" ").append(name).append("=").append(value);
  }
  Lines.push_back(std::move(line));
}

void VirtualFleet::trace(const HostId &id, const Step &step) {
  if (Plan.Trace) {
    Lines.push_back(timeText() + " " + id.Text + " " + step.Chart + ": " +
                    step.From + " --" + step.Event + "--> " + step.To);
  }
}

std::string VirtualFleet::timeText() const {
  return std::to_string(Now.time_since_epoch().count() / 1000) + " ms";
}

void VirtualFleet::sendPeer(const HostId &from, const SendPeer &send) {
  Traffic &traffic = ByType[messageName(send.Body)];
  ++traffic.Messages;
  traffic.Bytes += encodeMessage(send.Body).size();
  const Instance sender{from, Hosts[from].Life};
  const auto deliver = [this, sender, send] {
    const auto to = Hosts.find(send.To);
    const auto until = Cuts.find({sender.Host, send.To});
    const bool lost =
        to == Hosts.end() || (until != Cuts.end() && Now < until->second);
    if (!lost) {
      feed(send.To, to->second.Life, PeerMessage{sender, send.Body});
    }
  };
  if (!chance(Plan.LossPercent)) {
    at(Now + delay(), deliver);
  }
  if (chance(Plan.RepeatPercent)) {
    at(Now + 10 * delay(), deliver);
  }
}

PlatformResult VirtualFleet::runPlatform(const PlatformRequest &request) {
  if (const KvRead *read = std::get_if<KvRead>(&request)) {
    KvValues result;
    for (const std::string &key : read->Keys) {
      const auto it = Values.find(key);
      result.Values.push_back(it == Values.end() ? KvValue{} : it->second);
    }
    return result;
  }
  const KvSwap *swap = std::get_if<KvSwap>(&request);
  const std::string &key =
      swap != nullptr ? swap->Key : std::get<KvRemove>(request).Key;
  const std::uint64_t expected =
      swap != nullptr ? swap->Expected : std::get<KvRemove>(request).Expected;
  const auto it = Values.find(key);
  const std::uint64_t present = it == Values.end() ? 0 : it->second.ModRevision;
  if (present != expected) {
    return KvSwapped{false, 0};
  }
  ++ModRevision;
  if (swap != nullptr) {
    Values[key] = KvValue{swap->Text, ModRevision};
  } else {
    Values.erase(key);
  }
  return KvSwapped{true, ModRevision};
}

void VirtualFleet::callPlatform(const HostId &id, const PlatformCall &call) {
  ++Calls;
  const Host &host = Hosts[id];
  const Incarnation life = host.Life;
  const Time sentAt = localNow(host);
  const auto answer = [this, id, life, call, sentAt](PlatformResult result) {
    feed(id, life, PlatformReply{call.Id, sentAt, std::move(result)});
  };
  const auto cutUntil = PlatformCuts.find(id);
  const bool isCut = cutUntil != PlatformCuts.end() && Now < cutUntil->second;
  if (isCut || Fault == PlatformFault::Down) {
    at(Now + CallTimeout, [answer] { answer(KvFailed{"unreachable"}); });
    return;
  }
  const PlatformFault fault = Fault;
  const Duration way =
      delay() + (fault == PlatformFault::Slow ? SlowService : Duration(0));
  const Duration late =
      fault == PlatformFault::LateEffect ? 3 * CallTimeout / 2 : Duration(0);
  at(Now + way + late, [this, answer, call, fault] {
    PlatformResult result = runPlatform(call.Request);
    const bool heard =
        fault == PlatformFault::None || fault == PlatformFault::Slow;
    if (heard) {
      at(Now + delay(), [answer, result] { answer(result); });
    }
  });
  const bool unheard =
      fault == PlatformFault::LoseAnswers || fault == PlatformFault::LateEffect;
  if (unheard) {
    at(Now + CallTimeout, [answer] { answer(KvFailed{"no answer"}); });
  }
}

std::size_t VirtualFleet::submit(const CallPlan &plan) {
  noteSlots();
  const std::size_t call = Seen.Calls.size();
  CallRecord record;
  record.Entry = plan.Entry;
  record.Team = plan.Team;
  record.Pool = plan.Pool;
  record.Idempotent = plan.Idempotent;
  record.Key = plan.Key;
  record.Work = plan.Work;
  record.SubmittedAt = Now;
  record.Expected = identity(record, call);
  Seen.Calls.push_back(record);
  ++OpenCalls[plan.Pool];
  deliverRequest(plan.Entry, call, false);
  return call;
}

void VirtualFleet::deliverRequest(const HostId &to, std::size_t call,
                                  bool forwarded) {
  Host &host = Hosts[to];
  if (!host.Decisions) {
    // A refused connection is not run; a holder that is gone is unknown.
    endCall(call, forwarded ? CallEnd::Unknown : CallEnd::NotRun, "");
    return;
  }
  const RequestId id{++host.LastRequest};
  host.Open[id] = call;
  const CallRecord &record = Seen.Calls[call];
  feed(to, host.Life,
       CallerRequest{id, record.Team, record.Pool, record.Idempotent,
                     record.Key, forwarded});
}

void VirtualFleet::forward(const HostId &from, const ForwardToHolder &order) {
  Host &host = Hosts[from];
  const auto it = host.Open.find(order.Id);
  if (it == host.Open.end()) {
    return;
  }
  const std::size_t call = it->second;
  host.Open.erase(it);
  at(Now + delay(),
     [this, to = order.Holder, call] { deliverRequest(to, call, true); });
}

void VirtualFleet::join(const HostId &id, const JoinAttempt &order) {
  Host &host = Hosts[id];
  const auto done = host.Ended.find(order.Attempt);
  if (done == host.Ended.end()) {
    host.Joined[order.Attempt].push_back(order.Id);
    return;
  }
  const auto call = host.Open.find(order.Id);
  if (call != host.Open.end()) {
    const CallRecord &record = Seen.Calls[call->second];
    endRequest(host, order.Id, done->second, "key " + record.Key);
  }
}

} // namespace nutmegsill::harness
