#include "served_request.h"

#include "clock.h"
#include "request_log.h"

namespace nutmegsill::gateway {

bool ServedRequest::takesUpStream() const {
  return Admitted && Admitted->Route->isResumableStream() &&
         (!Head.Resumes.empty() || !Head.LastEventId.empty());
}

BufferedResponse makeLocalResponse(const std::string &id,
                                   const routing::LocalResponse &response) {
  const bool mayHaveRun = response.Status == 502 || response.Status == 504;
  BufferedResponse out;
  out.Status = response.Status;
  out.Fields = platform::makeLocalResponseFields(id, response.RetryAfter);
  out.Body = std::string(R"({"status":)") + std::to_string(response.Status) +
             R"(,"outcome":")" + (mayHaveRun ? "unknown" : "not_run") + "\"}";
  return out;
}

void recordEnd(SessionContext &context, const ServedRequest &request,
               const std::string &outcome, unsigned status,
               const std::string &reason) {
  const char *kind =
      request.Admitted
          ? routing::executionSemanticsName(request.Admitted->Route->Semantics)
          : "none";
  const Duration elapsed = bootTimeNow() - request.ArrivedAt;
  context.Counters.observeRequest(kind, outcome, toSeconds(elapsed));
  if (request.TimeToFirstPart) {
    context.Counters.observeFirstPart(kind,
                                      toSeconds(*request.TimeToFirstPart));
  }
  if (request.takesUpStream()) {
    context.Counters.countTakeUp(outcome);
  }
  RequestEnd end;
  end.Id = request.Head.RequestId;
  end.Team = request.Admitted ? request.Admitted->Team.Text : "";
  end.Route = request.Admitted ? request.Admitted->Route->Name : "";
  end.Outcome = outcome;
  end.Status = status;
  end.Reason = reason;
  end.Sends = request.Lifecycle ? request.Lifecycle->sentAttempts() : 0;
  end.TimeToFirstPart = request.TimeToFirstPart;
  end.ConfigAge = context.Shared.configAge(bootTimeNow());
  end.Elapsed = elapsed;
  logEnd(end);
}

} // namespace nutmegsill::gateway
