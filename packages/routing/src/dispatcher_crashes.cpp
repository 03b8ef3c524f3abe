#include "nutmegsill/routing/dispatcher.h"

namespace nutmegsill::routing {

SuspectRequest Dispatcher::suspectOf(const DispatchRequest &request) const {
  static const PromptDescription none;
  const PoolRule *pool = View->Config->findPool(request.Pool);
  const bool toEngine = pool != nullptr && pool->Engine;
  return {request.Identity, toEngine ? request.Prompt : none};
}

std::optional<Rejection>
Dispatcher::rejectQuarantined(const DispatchRequest &request, Time now) const {
  const std::optional<CrashCause> cause =
      Quarantine.findQuarantined(suspectOf(request), now);
  if (!cause) {
    return std::nullopt;
  }
  const bool wholeRequest = cause->Type == CrashCause::Kind::Request;
  Rejection out;
  out.Reason = wholeRequest ? RejectionReason::RequestQuarantined
                            : RejectionReason::PromptQuarantined;
  out.Evidence = (wholeRequest ? "request " : "part ") +
                 formatHash(cause->Hash) + ", crashes " +
                 std::to_string(Quarantine.crashCount(*cause));
  return out;
}

void Dispatcher::withdrawTrial(const DispatchRequest &request,
                               const Assignment &assignment) {
  if (assignment.IsTrial) {
    Quarantine.withdrawTrial(suspectOf(request));
  }
}

void Dispatcher::recordLost(const DispatchRequest &request,
                            const Assignment &assignment, Time now) {
  Quarantine.recordLoss(suspectOf(request),
                        {assignment.Target, assignment.TargetStartedAtMs},
                        assignment.SentAt, now);
}

void Dispatcher::recordSurvived(const DispatchRequest &request,
                                const Assignment &assignment, Time now) {
  Quarantine.recordSurvival(suspectOf(request), assignment.SentAt, now);
}

} // namespace nutmegsill::routing
