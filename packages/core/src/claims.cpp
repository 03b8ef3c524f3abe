#include "claims.h"

#include <utility>

namespace nutmegsill::detail {

namespace {

/// Calls to the service for one claim at the most.
constexpr std::uint32_t MaxTries = 4;

} // namespace

std::string Claims::attemptId(RequestId id) const {
  return Ctx.Me.Host.Text + "/" + std::to_string(Ctx.Me.Life.Value) + "/" +
         std::to_string(id.Value);
}

std::optional<ClaimResult> Claims::begin(const CallerRequest &request) {
  const std::pair<TeamId, std::string> key{request.Team,
                                           request.IdempotencyKey};
  const auto known = ByKey.find(key);
  if (known != ByKey.end()) {
    Attempt &first = Attempts.at(known->second);
    if (first.At == Phase::Claiming || first.At == Phase::Reading) {
      first.Waiters.push_back(Waiter{request.Id, request.Forwarded});
      return std::nullopt;
    }
    return ClaimJoins{request.Id, known->second};
  }
  Attempt &attempt = Attempts[request.Id];
  attempt.Team = request.Team;
  attempt.Key = request.IdempotencyKey;
  attempt.Forwarded = request.Forwarded;
  ByKey[key] = request.Id;
  claim(request.Id, attempt, 0);
  return std::nullopt;
}

void Claims::claim(RequestId id, Attempt &attempt, std::uint64_t expected) {
  attempt.At = Phase::Claiming;
  attempt.SentAt = Ctx.Now;
  ++attempt.Tries;
  const CallId call = Ctx.call(
      KvSwap{claimKey(attempt.Team, attempt.Key), expected,
             encode(ClaimRecord{Ctx.Me, attemptId(id)}), Ctx.Limits.ClaimLife});
  Calls[call] = id;
}

void Claims::read(RequestId id, Attempt &attempt) {
  attempt.At = Phase::Reading;
  ++attempt.Tries;
  Calls[Ctx.call(KvRead{{claimKey(attempt.Team, attempt.Key)}})] = id;
}

bool Claims::onReply(const PlatformReply &reply) {
  const auto call = Calls.find(reply.Id);
  if (call == Calls.end()) {
    return false;
  }
  const RequestId id = call->second;
  Calls.erase(call);
  const auto it = Attempts.find(id);
  const bool open = it != Attempts.end() && it->second.At != Phase::Finished &&
                    it->second.At != Phase::Held;
  if (!open) {
    return true;
  }
  Attempt &attempt = it->second;
  const std::vector<Waiter> waiters = attempt.Waiters;
  std::optional<ClaimResult> out;
  std::visit(Overloaded{
                 [&](const KvSwapped &result) {
                   out = onSwapped(id, attempt, reply.SentAt, result);
                 },
                 [&](const KvValues &values) {
                   out = onRead(id, attempt,
                                values.Values.empty() ? KvValue{}
                                                      : values.Values.front());
                 },
                 [&](const KvFailed &) { out = onFailed(id, attempt); },
             },
             reply.Result);
  if (out) {
    resolve(id, *out, waiters);
  }
  return true;
}

void Claims::resolve(RequestId id, const ClaimResult &result,
                     const std::vector<Waiter> &waiters) {
  Results.push_back(result);
  for (const Waiter &it : waiters) {
    std::visit(Overloaded{
                   [&](const ClaimConfirmed &) {
                     Results.emplace_back(ClaimJoins{it.Id, id});
                   },
                   [&](const ClaimHeldBy &held) {
                     if (it.Forwarded) {
                       Results.emplace_back(ClaimUnknown{it.Id});
                     } else {
                       Results.emplace_back(
                           ClaimHeldBy{it.Id, held.Holder, held.Address});
                     }
                   },
                   [&](const ClaimJoins &joins) {
                     Results.emplace_back(ClaimJoins{it.Id, joins.Attempt});
                   },
                   [&](const ClaimUnknown &) {
                     Results.emplace_back(ClaimUnknown{it.Id});
                   },
                   [&](const ClaimFailed &) {
                     Results.emplace_back(ClaimFailed{it.Id});
                   },
               },
               result);
  }
  const auto at = Attempts.find(id);
  if (at != Attempts.end()) {
    at->second.Waiters.clear();
  }
}

std::vector<ClaimResult> Claims::takeResults() {
  return std::exchange(Results, {});
}

std::optional<ClaimResult> Claims::onSwapped(RequestId id, Attempt &attempt,
                                             Time sentAt,
                                             const KvSwapped &result) {
  if (result.Done) {
    attempt.SentAt = sentAt;
    return confirm(id, attempt, result.ModRevision);
  }
  read(id, attempt);
  return std::nullopt;
}

std::optional<ClaimResult> Claims::onRead(RequestId id, Attempt &attempt,
                                          const KvValue &value) {
  if (value.ModRevision == 0) {
    if (attempt.Tries >= MaxTries) {
      abandon(id);
      return ClaimFailed{id};
    }
    claim(id, attempt, 0);
    return std::nullopt;
  }
  const std::optional<ClaimRecord> record = decodeClaim(value.Text);
  if (!record) {
    abandon(id);
    return ClaimUnknown{id};
  }
  if (record->AttemptId == attemptId(id)) {
    return confirm(id, attempt, value.ModRevision);
  }
  const bool reusable =
      record->Holder == Ctx.Me && NotRun.count(record->AttemptId) != 0;
  if (reusable && attempt.Tries < MaxTries) {
    claim(id, attempt, value.ModRevision);
    return std::nullopt;
  }
  const bool forwarded = attempt.Forwarded;
  abandon(id);
  const Member *holder = Members.member(record->Holder.Host);
  const bool reachable = holder != nullptr && !Members.isDead(record->Holder) &&
                         record->Holder.Host != Ctx.Me.Host && !forwarded;
  if (!reachable) {
    return ClaimUnknown{id};
  }
  return ClaimHeldBy{id, holder->Host, holder->EntryAddress};
}

std::optional<ClaimResult> Claims::onFailed(RequestId id, Attempt &attempt) {
  if (attempt.Tries >= MaxTries) {
    NotRun[attemptId(id)] = Ctx.Now;
    abandon(id);
    return ClaimFailed{id};
  }
  read(id, attempt);
  return std::nullopt;
}

ClaimResult Claims::confirm(RequestId id, Attempt &attempt, std::uint64_t mod) {
  attempt.At = Phase::Held;
  attempt.ModRevision = mod;
  return ClaimConfirmed{id, attempt.SentAt};
}

void Claims::abandon(RequestId id) {
  const auto it = Attempts.find(id);
  if (it != Attempts.end()) {
    ByKey.erase({it->second.Team, it->second.Key});
    Attempts.erase(it);
  }
}

void Claims::remove(RequestId id, const Attempt &attempt) {
  NotRun[attemptId(id)] = Ctx.Now;
  if (attempt.ModRevision != 0) {
    Ctx.call(
        KvRemove{claimKey(attempt.Team, attempt.Key), attempt.ModRevision});
  }
}

void Claims::finish(RequestId id, bool ran) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end()) {
    return;
  }
  if (!ran) {
    // Whoever waits for this claim has not run either.
    for (const Waiter &waiter : it->second.Waiters) {
      Results.emplace_back(ClaimFailed{waiter.Id});
    }
    remove(id, it->second);
    abandon(id);
    return;
  }
  it->second.At = Phase::Finished;
  it->second.FinishedAt = Ctx.Now;
  Finished.push_back(id);
}

void Claims::onTick() {
  while (!Finished.empty()) {
    const auto it = Attempts.find(Finished.front());
    const bool keep = it != Attempts.end() && Ctx.Now - it->second.FinishedAt <
                                                  Ctx.Limits.AttemptMemory;
    if (keep) {
      break;
    }
    abandon(Finished.front());
    Finished.pop_front();
  }
  for (auto it = NotRun.begin(); it != NotRun.end();) {
    const bool old = Ctx.Now - it->second > Ctx.Limits.AttemptMemory;
    it = old ? NotRun.erase(it) : std::next(it);
  }
}

} // namespace nutmegsill::detail
