#include "stream_run.h"

#include "log.h"

namespace nutmegsill::gateway {

using routing::ExchangeResult;

namespace {

std::string endName(ExchangeResult result,
                    const std::optional<routing::StreamFault> &fault) {
  if (fault) {
    return fault->FaultKind == routing::StreamFault::Kind::NotJoined
               ? "not_joined"
               : "not_increasing";
  }
  return result == ExchangeResult::Completed ? "complete" : "incomplete";
}

} // namespace

void recordStreamRun(Metrics &counters, const StreamRun &run,
                     const routing::EventStreamBuffer &events) {
  const bool isComplete = run.Result == ExchangeResult::Completed;
  const bool isResumed = !events.runBeginsAfter().empty();
  const std::string end = endName(run.Result, events.fault());
  counters.countStreamRun(isResumed ? "resumed" : "begun", end);
  if (isComplete && !isResumed) {
    return;
  }
  logLine("request", "run_ended",
          {{"id", run.RequestId},
           {"target", run.Target.Text},
           {"after", events.runBeginsAfter()},
           {"first", events.firstEventId()},
           {"last", events.lastEventId()},
           {"end", end},
           {"reason", run.Reason}});
}

} // namespace nutmegsill::gateway
