#include "request_log.h"

#include "log.h"

namespace nutmegsill::gateway {

void logDispatch(const platform::RequestHead &head,
                 const routing::DispatchRequest &request,
                 const routing::Assignment &assignment, std::uint64_t view,
                 ConfigRevision revision) {
  logLine(
      "request", "dispatched",
      {{"id", head.RequestId},
       {"takes_up", head.Resumes},
       {"after_event", head.LastEventId},
       {"team", request.Team.Text},
       {"route", request.Route->Name},
       {"target", assignment.Target.Text},
       {"version", assignment.Version},
       {"expected_ms",
        std::to_string(toMilliseconds(assignment.ExpectedFirstEvent))},
       {"cached", std::to_string(assignment.CachedTokens)},
       {"prefill", std::to_string(assignment.PrefillTokens)},
       {"output", std::to_string(request.Prompt.MaxOutputTokens)},
       {"used_share", std::to_string(assignment.Share.Usage)},
       {"fair_rate", std::to_string(assignment.Share.Rate)},
       {"capacity", std::to_string(assignment.Share.Capacity)},
       {"share_age_ms", std::to_string(toMilliseconds(assignment.Share.Age))},
       {"limit",
        assignment.StatedRate ? std::to_string(*assignment.StatedRate) : ""},
       {"view", std::to_string(view)},
       {"revision", std::to_string(revision.Value)},
       {"report_age_ms", std::to_string(assignment.OldestReportAgeMs)},
       {"left_ms", std::to_string(toMilliseconds(request.RemainingTime))}});
}

void logHedge(const std::string &requestId, const routing::Assignment &first,
              const routing::Assignment &second, Duration delay) {
  logLine("request", "hedged",
          {{"id", requestId},
           {"first", first.Target.Text},
           {"target", second.Target.Text},
           {"after_ms", std::to_string(toMilliseconds(delay))}});
}

void logEnd(const RequestEnd &end) {
  logLine("request", "ended",
          {{"id", end.Id},
           {"team", end.Team},
           {"route", end.Route},
           {"outcome", end.Outcome},
           {"status", std::to_string(end.Status)},
           {"reason", end.Reason},
           {"sends", std::to_string(end.Sends)},
           {"first_ms", end.TimeToFirstPart ? std::to_string(toMilliseconds(
                                                  *end.TimeToFirstPart))
                                            : ""},
           {"config_age_ms", std::to_string(toMilliseconds(end.ConfigAge))},
           {"ms", std::to_string(toMilliseconds(end.Elapsed))}});
}

} // namespace nutmegsill::gateway
