#include "stream_run.h"

#include "log.h"

namespace nutmegsill::gateway {

using routing::ExchangeResult;

void recordStreamRun(Metrics &counters, const StreamRun &run,
                     const routing::EventStreamBuffer &events) {
  const bool isComplete = run.Result == ExchangeResult::Completed;
  const bool isResumed = !run.After.empty();
  const std::string end = isComplete ? "complete" : "incomplete";
  counters.countStreamRun(isResumed ? "resumed" : "begun", end);
  if (isComplete && !isResumed) {
    return;
  }
  logLine("request", "run_ended",
          {{"id", run.RequestId},
           {"target", run.Target.Text},
           {"after", run.After},
           {"first", events.firstEventId()},
           {"last", events.lastEventId()},
           {"end", end},
           {"reason", run.Reason}});
}

} // namespace nutmegsill::gateway
