#include "entry.h"

#include <algorithm>

namespace nutmegsill::detail {

namespace {

/// Retries are paid with credit: a tenth of a retry for every request.
constexpr std::uint32_t RetryPrice = 100;
constexpr std::uint32_t CreditPerRequest = 10;
constexpr std::uint32_t MaxCredit = 1000;
/// Weight of the newest cost in a team's estimate is one in this number.
constexpr std::int64_t EstimateWindow = 8;

} // namespace

bool Entry::fire(Request &request, const std::string &event) {
  const auto guard = [&](const std::string &name) {
    if (name == "not_idempotent") {
      return !request.Call.Idempotent;
    }
    if (name == "may_repeat") {
      return request.Call.Idempotent &&
             request.Attempts < Ctx.Limits.MaxAttempts;
    }
    if (name == "retry_left") {
      return request.Attempts < Ctx.Limits.MaxAttempts;
    }
    return name == "nothing_sent";
  };
  return Ctx.advance(Ctx.ChartSet->Request, request.State, event, guard);
}

void Entry::onRequest(const CallerRequest &call, const std::string &state) {
  Request request;
  request.Call = call;
  request.State = Ctx.ChartSet->Request.initial();
  request.ReceivedAt = Ctx.Now;
  Request &stored = Requests.emplace(call.Id, request).first->second;
  RetryCredit = std::min(MaxCredit, RetryCredit + CreditPerRequest);
  if (state == "leaving" || state == "gone") {
    refuse(call.Id, stored, Refusal::Stopping);
    return;
  }
  if (!Ctx.Config || state == "starting") {
    refuse(call.Id, stored, Refusal::NoConfiguration);
    return;
  }
  if (state == "cut_off") {
    refuse(call.Id, stored, Refusal::CutOff);
    return;
  }
  const auto team = Ctx.Config->Teams.find(call.Team);
  const bool known = team != Ctx.Config->Teams.end() &&
                     Ctx.Config->Pools.count(call.Pool) != 0;
  if (!known) {
    refuse(call.Id, stored, Refusal::NoPool);
    return;
  }
  stored.Weight = team->second.Weight;
  const auto queue = Queues.find({call.Pool, call.Team});
  const bool full = queue != Queues.end() &&
                    queue->second.Waiting.size() >= team->second.QueueLimit;
  if (full) {
    refuse(call.Id, stored, Refusal::QueueFull);
    return;
  }
  if (call.Idempotent) {
    fire(stored, "queue");
    enqueue(call.Id, stored, false);
    return;
  }
  fire(stored, "claim");
  const std::optional<ClaimResult> result = Keys.begin(call);
  if (result) {
    onClaim(*result);
  }
}

void Entry::takeClaims() {
  for (const ClaimResult &result : Keys.takeResults()) {
    onClaim(result);
  }
}

void Entry::onClaim(const ClaimResult &result) {
  const RequestId id = std::visit([](const auto &it) { return it.Id; }, result);
  const auto at = Requests.find(id);
  if (at == Requests.end()) {
    Keys.finish(id, false);
    return;
  }
  Request &request = at->second;
  std::visit(Overloaded{
                 [&](const ClaimConfirmed &it) {
                   request.ClaimSentAt = it.SentAt;
                   fire(request, "claim_confirmed");
                   enqueue(id, request, false);
                 },
                 [&](const ClaimHeldBy &it) {
                   fire(request, "claim_held");
                   Ctx.decide("pass_on", {{"request", std::to_string(id.Value)},
                                          {"holder", it.Holder.Text}});
                   Ctx.emit(ForwardToHolder{id, it.Holder, it.Address});
                   Requests.erase(id);
                 },
                 [&](const ClaimJoins &it) {
                   fire(request, "claim_held");
                   Ctx.emit(JoinAttempt{id, it.Attempt});
                   Requests.erase(id);
                 },
                 [&](const ClaimUnknown &) { endUnknown(id, request); },
                 [&](const ClaimFailed &) {
                   refuse(id, request, Refusal::ClaimUnconfirmed);
                 },
             },
             result);
}

void Entry::enqueue(RequestId id, Request &request, bool atFront) {
  const TeamInPool team{request.Call.Pool, request.Call.Team};
  Queue &queue = Queues[team];
  const bool wasEmpty = queue.Waiting.empty();
  if (atFront) {
    queue.Waiting.push_front(id);
  } else {
    queue.Waiting.push_back(id);
  }
  if (!wasEmpty) {
    return;
  }
  Shares.setBacklogged(team, true);
  queue.Width = Ctx.Limits.FirstWidth;
  queue.RefreshWidth = Ctx.Limits.RefreshWidth;
  queue.Contacted.clear();
  queue.WidenedAt = Ctx.Now;
  sendDemand(team, queue, Ctx.Limits.FirstWidth);
}

void Entry::leaveQueue(RequestId id, const Request &request) {
  const TeamInPool team{request.Call.Pool, request.Call.Team};
  const auto it = Queues.find(team);
  if (it == Queues.end()) {
    return;
  }
  std::deque<RequestId> &waiting = it->second.Waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
  --it->second.KnownToOwners;
  if (waiting.empty()) {
    cancelDemand(team, it->second);
    Shares.setBacklogged(team, false);
  }
}

bool Entry::usable(const Grant &grant) const {
  const auto row = Owners.rows().find(grant.Target);
  const bool outdated =
      row != Owners.rows().end() && grant.TargetOwnership < row->second.Number;
  const bool late = Ctx.Now - grant.EchoSentAt >= Ctx.Limits.GrantLife;
  return !outdated && !late && Ctx.Config && Ctx.Config->accepts(grant.Target);
}

std::optional<RequestId> Entry::nextFor(const TeamInPool &team) {
  const auto it = Queues.find(team);
  if (it == Queues.end()) {
    return std::nullopt;
  }
  while (!it->second.Waiting.empty()) {
    const RequestId id = it->second.Waiting.front();
    Request &request = Requests.at(id);
    const bool claimOld =
        request.ClaimSentAt &&
        Ctx.Now - *request.ClaimSentAt >= Ctx.Limits.ClaimWindow;
    if (!claimOld) {
      return id;
    }
    leaveQueue(id, request);
    refuseTruly(id, request, Refusal::QueueTimeout);
  }
  return std::nullopt;
}

bool Entry::isNew(const Grant &grant) {
  return SeenGrants
      .emplace(std::make_pair(grant.Target,
                              GrantRef{grant.TargetOwnership, grant.Number}),
               grant.EchoSentAt)
      .second;
}

void Entry::onGrant(const HostId &owner, const Grant &grant, bool serving) {
  if (!isNew(grant)) {
    return;
  }
  Hints[{grant.Pool, owner}] = FreeHint{grant.Free, Ctx.Now};
  const std::optional<RequestId> next = serving && usable(grant)
                                            ? nextFor({grant.Pool, grant.Team})
                                            : std::nullopt;
  if (!next) {
    giveBack(owner, grant, SettleOutcome::Unused);
    return;
  }
  dispatch(*next, Requests.at(*next), owner, grant);
}

void Entry::dispatch(RequestId id, Request &request, const HostId &owner,
                     const Grant &grant) {
  const TeamInPool team{grant.Pool, grant.Team};
  fire(request, "grant");
  request.Held = HeldGrant{owner, grant};
  ++request.Attempts;
  charge(request, estimate(team));
  const TargetConfig &target = Ctx.Config->Targets.at(grant.Target);
  Ctx.decide(
      "dispatch",
      {{"request", std::to_string(id.Value)},
       {"team", grant.Team.Text},
       {"pool", grant.Pool.Text},
       {"target", grant.Target.Text},
       {"owner", owner.Text},
       {"epoch", std::to_string(grant.TargetOwnership.Value)},
       {"attempt", std::to_string(request.Attempts)},
       {"waited_us", std::to_string((Ctx.Now - request.ReceivedAt).count())}});
  Ctx.emit(Dispatch{id, grant.Target, target.Address, grant.TargetOwnership});
  leaveQueue(id, request);
}

void Entry::giveBack(const HostId &owner, const Grant &grant,
                     SettleOutcome outcome) {
  Ctx.send(owner,
           Settle{grant.Number, grant.Target, grant.TargetOwnership, outcome});
}

void Entry::settle(Request &request, SettleOutcome outcome) {
  if (!request.Held) {
    return;
  }
  const Grant &used = request.Held->Used;
  // The owner may have changed since the grant.
  const auto row = Owners.rows().find(used.Target);
  const HostId owner =
      row == Owners.rows().end() ? request.Held->Owner : row->second.Owner.Host;
  giveBack(owner, used, outcome);
  request.Held.reset();
}

std::optional<TeamInPool> Entry::lowestQueue(const PoolId &pool) const {
  std::optional<TeamInPool> best;
  VirtualService least;
  for (const auto &[team, queue] : Queues) {
    if (team.first != pool || queue.Waiting.empty()) {
      continue;
    }
    const VirtualService tag = Shares.tag(team);
    if (!best || tag < least) {
      best = team;
      least = tag;
    }
  }
  return best;
}

bool Entry::reuse(const HeldGrant &held) {
  const Grant &used = held.Used;
  const std::optional<TeamInPool> team =
      usable(used) ? lowestQueue(used.Pool) : std::nullopt;
  if (!team) {
    return false;
  }
  const TeamConfig &config = Ctx.Config->Teams.at(team->second);
  const VirtualService most =
      Shares.floorOf(used.Pool) + perWeight(estimate(*team), config.Weight);
  if (most < Shares.tag(*team)) {
    return false;
  }
  const std::optional<RequestId> next = nextFor(*team);
  if (!next) {
    return false;
  }
  Ctx.send(held.Owner, Settle{used.Number, used.Target, used.TargetOwnership,
                              SettleOutcome::Reused, team->second});
  Grant again = used;
  again.Team = team->second;
  dispatch(*next, Requests.at(*next), held.Owner, again);
  return true;
}

void Entry::onProgress(const AnswerProgress &progress) {
  const auto it = Requests.find(progress.Id);
  if (it != Requests.end() && it->second.Held &&
      it->second.Charged < progress.SoFar) {
    charge(it->second, progress.SoFar);
  }
}

void Entry::onEnded(const ExchangeEnded &ended, bool serving) {
  const auto it = Requests.find(ended.Id);
  if (it == Requests.end()) {
    return;
  }
  Request &request = it->second;
  charge(request, ended.Total);
  const bool faulty = ended.End == ExchangeEnd::NotSent ||
                      ended.End == ExchangeEnd::BrokenBeforeAnswer ||
                      ended.End == ExchangeEnd::BrokenMidAnswer;
  const bool whole = ended.End == ExchangeEnd::Complete;
  if (whole && serving && request.Held && reuse(*request.Held)) {
    request.Held.reset();
  }
  settle(request, faulty  ? SettleOutcome::Failed
                  : whole ? SettleOutcome::Completed
                          : SettleOutcome::Unused);
  if (ended.End == ExchangeEnd::Complete) {
    learn({request.Call.Pool, request.Call.Team}, ended.Total);
    fire(request, "complete");
    Keys.finish(ended.Id, true);
    Requests.erase(ended.Id);
    return;
  }
  const bool unsent = ended.End == ExchangeEnd::CallerLeftUnsent;
  if (ended.End == ExchangeEnd::CallerLeft || unsent) {
    fire(request, "caller_gone");
    Keys.finish(ended.Id, !unsent);
    Requests.erase(ended.Id);
    return;
  }
  retryOrEnd(ended.Id, request, ended.End);
}

bool Entry::spendRetry() {
  if (RetryCredit < RetryPrice) {
    return false;
  }
  RetryCredit -= RetryPrice;
  return true;
}

void Entry::retryOrEnd(RequestId id, Request &request, ExchangeEnd end) {
  const bool nothingSent =
      end == ExchangeEnd::NotSent || end == ExchangeEnd::RefusedByTarget;
  const bool repeatable = nothingSent || (request.Call.Idempotent &&
                                          end != ExchangeEnd::BrokenMidAnswer);
  request.MayHaveRun = request.MayHaveRun || !nothingSent;
  const bool again =
      repeatable && spendRetry() &&
      fire(request, nothingSent ? "not_sent" : "broken_before_answer");
  Ctx.decide("exchange_failed",
             {{"request", std::to_string(id.Value)},
              {"nothing_sent", nothingSent ? "true" : "false"},
              {"retried", again ? "true" : "false"},
              {"retry_credit", std::to_string(RetryCredit)}});
  if (again) {
    enqueue(id, request, true);
  } else {
    refuseTruly(id, request, Refusal::RetriesSpent);
  }
}

void Entry::refuse(RequestId id, Request &request, Refusal why) {
  fire(request, "refuse");
  Keys.finish(id, false);
  Ctx.decide("refuse", {{"request", std::to_string(id.Value)},
                        {"team", request.Call.Team.Text},
                        {"outcome", "not_run"}});
  Ctx.emit(Refuse{id, why, std::chrono::seconds(1)});
  Requests.erase(id);
}

void Entry::refuseTruly(RequestId id, Request &request, Refusal why) {
  if (request.MayHaveRun) {
    endUnknown(id, request);
  } else {
    refuse(id, request, why);
  }
}

void Entry::endUnknown(RequestId id, Request &request) {
  if (!fire(request, "lost")) {
    fire(request, "claim_lost");
  }
  Keys.finish(id, true);
  Ctx.decide("refuse", {{"request", std::to_string(id.Value)},
                        {"team", request.Call.Team.Text},
                        {"outcome", "unknown"}});
  Ctx.emit(Refuse{id, Refusal::OutcomeUnknown, std::chrono::seconds(1)});
  Requests.erase(id);
}

void Entry::onCallerGone(RequestId id) {
  const auto it = Requests.find(id);
  if (it == Requests.end()) {
    return;
  }
  Request &request = it->second;
  if (request.State == "dispatched") {
    return;
  }
  if (request.State == "queued") {
    leaveQueue(id, request);
  }
  fire(request, "caller_gone");
  Keys.finish(id, false);
  Requests.erase(it);
}

void Entry::charge(Request &request, Cost total) {
  const VirtualService before = perWeight(request.Charged, request.Weight);
  const VirtualService after = perWeight(total, request.Weight);
  request.Charged = total;
  Shares.charge({request.Call.Pool, request.Call.Team}, after - before);
}

Cost Entry::estimate(const TeamInPool &team) const {
  const auto it = Estimates.find(team);
  if (it != Estimates.end()) {
    return it->second;
  }
  const auto pool = Ctx.Config->Pools.find(team.first);
  return pool == Ctx.Config->Pools.end() ? Cost{1} : pool->second.Estimate;
}

void Entry::learn(const TeamInPool &team, Cost total) {
  const Cost before = estimate(team);
  const std::int64_t moved = (total.Units - before.Units) / EstimateWindow;
  Estimates[team] = Cost{std::max<std::int64_t>(1, before.Units + moved)};
}

void Entry::onInFlightQuery(const HostId &owner, const InFlightQuery &query) {
  InFlightReply reply{query.Target, query.Number, query.SentAt, {}};
  for (const auto &[id, request] : Requests) {
    if (request.Held && request.Held->Used.Target == query.Target) {
      reply.Held.push_back(
          {request.Held->Used.TargetOwnership, request.Held->Used.Number});
    }
  }
  Ctx.send(owner, reply);
}

std::map<TeamInPool, std::uint32_t> Entry::queued() const {
  std::map<TeamInPool, std::uint32_t> all;
  for (const auto &[team, queue] : Queues) {
    if (!queue.Waiting.empty()) {
      all[team] = static_cast<std::uint32_t>(queue.Waiting.size());
    }
  }
  return all;
}

} // namespace nutmegsill::detail
