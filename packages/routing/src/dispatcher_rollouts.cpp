#include "nutmegsill/routing/dispatcher.h"

namespace nutmegsill::routing {

namespace {

/// What a result says of the version of the target.
SampleResult sampleResult(ExchangeResult result) {
  switch (result) {
  case ExchangeResult::Completed:
    return SampleResult::Completed;
  case ExchangeResult::Failed:
  case ExchangeResult::Broken:
  case ExchangeResult::TargetEnded:
  case ExchangeResult::TimedOut:
    return SampleResult::Failed;
  case ExchangeResult::Cancelled:
    return SampleResult::CallerLeft;
  case ExchangeResult::Refused:
  case ExchangeResult::Misdirected:
  case ExchangeResult::Unreachable:
    return SampleResult::NotRun;
  }
  return SampleResult::NotRun;
}

} // namespace

DispatchDecision Dispatcher::chooseByKind(const DispatchRequest &request,
                                          Time now) {
  const PoolRule *pool = View->Config->findPool(request.Pool);
  return pool != nullptr && pool->Engine ? chooseEngine(request, now)
                                         : chooseService(request, now);
}

DispatchDecision Dispatcher::chooseByVersion(const DispatchRequest &request,
                                             Time now) {
  if (!Versions.concerns(request.Pool)) {
    return chooseByKind(request, now);
  }
  DispatchDecision decision = Rejection{};
  const bool isRepeated = !request.AttemptedTargets.empty();
  // The version of a stream was drawn when it began.
  const std::vector<VersionChoice> choices =
      request.Version ? std::vector{VersionChoice::NotReverted}
                      : Versions.choose(request.Pool, isRepeated);
  for (const VersionChoice it : choices) {
    AllowedVersions = it;
    decision = chooseByKind(request, now);
    if (std::holds_alternative<Assignment>(decision)) {
      break;
    }
  }
  AllowedVersions.reset();
  return decision;
}

void Dispatcher::recordVersionResult(const Assignment &assignment,
                                     ExchangeResult result, Time now) {
  if (assignment.Rollout) {
    Versions.recordResult(assignment.Pool, *assignment.Rollout,
                          sampleResult(result), assignment.SentAt, now);
  }
}

void Dispatcher::updateVersions(Time now) {
  std::map<PoolId, Rollouts::InFlight> inFlight;
  for (const auto &[pool, to] : Versions.openPools()) {
    Rollouts::InFlight &sum = inFlight[pool];
    for (const TargetState *it : Pools[pool].Targets) {
      if (it->Known.Entry.Version != to) {
        sum.Own += it->RunningRequests;
        sum.Fleet += it->RunningRequests +
                     Peers.loadOf(it->Known.Entry.Target).RunningRequests;
      }
    }
  }
  Versions.update(inFlight, now);
}

std::vector<FleetChange> Dispatcher::takeChanges() {
  std::vector<FleetChange> out = Quarantine.takeChanges();
  for (FleetChange &it : Statements.takeChanges()) {
    out.push_back(std::move(it));
  }
  for (FleetChange &it : Services.takeChanges()) {
    out.push_back(std::move(it));
  }
  for (FleetChange &it : Capacity.takeChanges()) {
    out.push_back(std::move(it));
  }
  for (FleetChange &it : Versions.takeChanges()) {
    out.push_back(std::move(it));
  }
  return out;
}

} // namespace nutmegsill::routing
