#include "rollout_writer.h"

#include "log.h"
#include "spawn.h"

#include <algorithm>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using namespace routing;

namespace {

constexpr milliseconds CheckInterval{100};
/// Time that a router gives each one ranked before it: longer than a call to
/// the store may take.
constexpr milliseconds RankDelay{1'000};
/// Routers with a delay of their own; the others follow closely after them.
constexpr std::size_t SpacedRanks = 4;
constexpr milliseconds LateRankDelay{100};
/// Time until a write that failed, or that the view does not show, is tried
/// again.
constexpr milliseconds RetryDelay{1'000};

Duration rankDelay(std::size_t rank) {
  const std::size_t spaced = std::min(rank, SpacedRanks);
  return RankDelay * spaced + LateRankDelay * (rank - spaced);
}

} // namespace

void RolloutWriter::setView(std::shared_ptr<const FleetView> view) {
  View = std::move(view);
  wake();
}

void RolloutWriter::setDecisions(std::vector<RolloutDecision> decisions) {
  Decisions = std::move(decisions);
  wake();
}

void RolloutWriter::wake() {
  updatePending();
  if (!PendingWrites.empty() && !Running) {
    Running = true;
    spawn(Io, run());
  }
}

void RolloutWriter::updatePending() {
  if (!View) {
    return;
  }
  std::map<PoolId, Pending> fresh;
  for (const RolloutDecision &it : Decisions) {
    const auto known = View->Rollouts.find(it.Pool);
    if (known == View->Rollouts.end() || !mayWriteStatus(known->second, it)) {
      continue;
    }
    const auto old = PendingWrites.find(it.Pool);
    if (old != PendingWrites.end() && old->second.Decision == it) {
      fresh[it.Pool] = old->second;
    } else {
      const std::size_t rank = rolloutWriterRank(View->Routers, Self, it);
      fresh[it.Pool] = {it, bootTimeNow() + rankDelay(rank)};
    }
  }
  PendingWrites = std::move(fresh);
}

asio::awaitable<void> RolloutWriter::run() {
  while (!PendingWrites.empty()) {
    const std::map<PoolId, Pending> pending = PendingWrites;
    for (const auto &[pool, it] : pending) {
      if (it.WriteAt <= bootTimeNow()) {
        co_await write(it.Decision);
        const auto left = PendingWrites.find(pool);
        if (left != PendingWrites.end()) {
          left->second.WriteAt = bootTimeNow() + RetryDelay;
        }
      }
    }
    co_await sleepFor(Io, CheckInterval);
  }
  Running = false;
}

asio::awaitable<void> RolloutWriter::write(RolloutDecision decision) {
  const platform::StoreResult<platform::StoredRollout> stored =
      co_await Watcher.store().readRollout(decision.Pool);
  Watcher.recordCall("read_rollout", stored);
  // The view may lag: another router may have written, or the order changed.
  if (!stored.Ok || !mayWriteStatus(stored.Ok->Items, decision)) {
    co_return;
  }
  const platform::StoreResult<StoreRevision> put =
      co_await Watcher.store().putRolloutStatus(decision.Pool, decision.Status,
                                                *stored.Ok);
  Watcher.recordCall("write_rollout", put);
  if (put.Ok) {
    logLine("rollout", "status_written",
            {{"pool", decision.Pool.Text},
             {"to", decision.Status.To},
             {"state", rolloutStateName(decision.Status.State)},
             {"revision", std::to_string(put.Ok->Value)}});
  }
}

} // namespace nutmegsill::gateway
