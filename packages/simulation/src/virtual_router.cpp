#include "virtual_router.h"

namespace nutmegsill::simulation {

using namespace routing;

namespace {

constexpr Duration ReportInterval = milliseconds(100);
constexpr Duration ExpiryInterval = milliseconds(200);
constexpr Duration LeaseTtl = milliseconds(4'000);
constexpr Duration LeaseRenewalInterval = milliseconds(1'300);
constexpr Duration RegistrationRetryInterval = milliseconds(250);
/// Pause after a watch that returned changes.
constexpr Duration WatchDelay = milliseconds(25);

} // namespace

VirtualFleet::Router::Router(VirtualFleet &fleet, HostId host, ZoneId zone)
    : Fleet(fleet), Host(std::move(host)), Zone(std::move(zone)) {}

void VirtualFleet::Router::start() {
  Alive = true;
  ++IncarnationNumber;
  FrozenUntil = Time{};
  std::string reason;
  Link = StoreLink::create({}, reason);
  State.emplace(Host, FleetStatePolicy());
  Dispatcher.emplace(Host, DispatchPolicy(), Fleet.Plan.RetryBudget);
  View.reset();
  Registered = false;
  schedule(Duration{0}, [this] { runWatchLoop(); });
  schedule(Link->policy().RevisionCheckInterval, [this] { runCheckLoop(); });
  schedule(ExpiryInterval, [this] { runExpiryLoop(); });
  schedule(RegistrationRetryInterval, [this] { keepRegistered(); });
  schedule(ReportInterval, [this] { sendReports(); });
}

void VirtualFleet::Router::kill() {
  Alive = false;
  ++IncarnationNumber;
  std::map<std::size_t, CallInFlight> callsInFlight;
  callsInFlight.swap(CallsInFlight);
  for (const auto &[call, it] : callsInFlight) {
    if (it.CurrentAssignment) {
      Fleet.Targets.at(it.CurrentAssignment->Target)->Process.cancel(call);
    }
    UnprocessedCalls.insert(call);
  }
  for (const std::size_t call : UnprocessedCalls) {
    CallRecord &record = Fleet.History.Calls[call];
    record.Outcome = CallOutcome::ConnectionLost;
    record.EndedAt = Fleet.Clock.now();
  }
  UnprocessedCalls.clear();
}

void VirtualFleet::Router::freeze(Duration duration) {
  FrozenUntil = Fleet.Clock.now() + duration;
}

void VirtualFleet::Router::schedule(Duration delay,
                                    std::function<void()> work) {
  Fleet.Clock.scheduleAfter(
      delay, [this, incarnation = IncarnationNumber, work = std::move(work)] {
        if (incarnation != IncarnationNumber) {
          return;
        }
        const Duration frozen = FrozenUntil - Fleet.Clock.now();
        if (frozen > Duration{0}) {
          schedule(frozen, work);
        } else {
          work();
        }
      });
}

ReplyHandler
VirtualFleet::Router::makeReplyHandler(std::function<void(StoreReply)> work) {
  return [this, incarnation = IncarnationNumber,
          work = std::move(work)](StoreReply it) {
    if (incarnation != IncarnationNumber) {
      return;
    }
    schedule(Duration{0}, [this, work, it = std::move(it)] {
      if (std::holds_alternative<StoreUpdates>(it)) {
        State->recordStoreSuccess(Fleet.Clock.now());
      } else if (std::get<StoreFailure>(it) == StoreFailure::Unavailable) {
        State->recordStoreFailure(Fleet.Clock.now());
      }
      work(it);
    });
  };
}

void VirtualFleet::Router::reportTransition(const char *event) {
  if (Fleet.OnTransition) {
    Fleet.OnTransition(Host, "store_link." + Link->state() + "." + event);
  }
}

void VirtualFleet::Router::runWatchLoop() {
  const StoreCall next = Link->nextCall();
  if (const BackoffCall *it = std::get_if<BackoffCall>(&next)) {
    schedule(it->Delay, [this] { runWatchLoop(); });
  } else if (const WatchCall *it = std::get_if<WatchCall>(&next)) {
    watchChanges(*it);
  } else {
    listItems();
  }
}

void VirtualFleet::Router::listItems() {
  const Time sentAt = Fleet.Clock.now();
  Fleet.Store.list(Host, makeReplyHandler([this, sentAt](const StoreReply &it) {
                     if (const StoreUpdates *updates =
                             std::get_if<StoreUpdates>(&it)) {
                       reportTransition("listed");
                       applyListing(*updates, sentAt);
                     } else {
                       reportTransition("failed");
                       Link->recordFailure();
                     }
                     publishView();
                     runWatchLoop();
                   }));
}

void VirtualFleet::Router::applyListing(const StoreUpdates &listed,
                                        Time sentAt) {
  const Time now = Fleet.Clock.now();
  if (State->isComplete() && listed.Revision.Era > Link->revision().Era) {
    State->applyRestoredListing(listed.Updates, now);
  } else if (listed.Revision >= Link->revision()) {
    State->applyListing(listed.Updates, now);
  }
  Link->recordListing(listed.Revision, sentAt);
}

void VirtualFleet::Router::watchChanges(const WatchCall &call) {
  // The store's reply or the time-out ends the watch, whichever comes first.
  const std::shared_ptr<bool> ended = std::make_shared<bool>(false);
  const auto failWatch = [this, ended] {
    if (*ended) {
      return;
    }
    *ended = true;
    State->recordStoreFailure(Fleet.Clock.now());
    reportTransition("failed");
    Link->recordFailure();
    publishView();
    runWatchLoop();
  };
  schedule(call.MaxWait + Link->policy().ResponseMargin, failWatch);
  Fleet.Store.watch(
      Host, call.AfterRevision, call.MaxWait,
      makeReplyHandler([this, ended,
                        after = call.AfterRevision](const StoreReply &it) {
        if (*ended) {
          return;
        }
        *ended = true;
        Duration pause{0};
        if (const StoreUpdates *updates = std::get_if<StoreUpdates>(&it)) {
          reportTransition("watched");
          if (Link->revision() <= after) {
            Link->recordWatch(updates->Revision);
            for (const StoreUpdate &update : updates->Updates) {
              State->applyUpdate(update, Fleet.Clock.now());
            }
            pause = updates->Updates.empty() ? Duration{0} : WatchDelay;
          }
        } else if (std::get<StoreFailure>(it) == StoreFailure::HistoryGone) {
          reportTransition("history_gone");
          Link->recordHistoryGone();
        } else {
          reportTransition("failed");
          Link->recordFailure();
        }
        publishView();
        schedule(pause, [this] { runWatchLoop(); });
      }));
}

void VirtualFleet::Router::runCheckLoop() {
  if (Link->currentAsOf()) {
    checkForMissedChanges();
  } else {
    schedule(Link->policy().RevisionCheckInterval, [this] { runCheckLoop(); });
  }
}

void VirtualFleet::Router::checkForMissedChanges() {
  const Time sentAt = Fleet.Clock.now();
  const auto scheduleNextCheck = [this] {
    schedule(Link->policy().RevisionCheckInterval, [this] { runCheckLoop(); });
  };
  Fleet.Store.readRevision(
      Host,
      makeReplyHandler([this, sentAt, scheduleNextCheck](const StoreReply &it) {
        const StoreUpdates *updates = std::get_if<StoreUpdates>(&it);
        if (updates == nullptr) {
          schedule(Link->policy().MaxBackoff,
                   [this] { checkForMissedChanges(); });
          return;
        }
        if (Link->confirmRevision(updates->Revision, sentAt)) {
          publishView();
          scheduleNextCheck();
          return;
        }
        schedule(
            Link->policy().WatchLagTolerance + WatchDelay,
            [this, sentAt, scheduleNextCheck, revision = updates->Revision] {
              if (Link->confirmRevision(revision, sentAt)) {
                publishView();
                scheduleNextCheck();
                return;
              }
              const Time listedAt = Fleet.Clock.now();
              Fleet.Store.list(
                  Host,
                  makeReplyHandler([this, listedAt](const StoreReply &listing) {
                    const StoreUpdates *listed =
                        std::get_if<StoreUpdates>(&listing);
                    if (listed == nullptr) {
                      Link->recordFailure();
                      return;
                    }
                    applyListing(*listed, listedAt);
                    publishView();
                  }));
              scheduleNextCheck();
            });
      }));
}

void VirtualFleet::Router::runExpiryLoop() {
  if (State->expire(Fleet.Clock.now())) {
    publishView();
  }
  schedule(ExpiryInterval, [this] { runExpiryLoop(); });
}

void VirtualFleet::Router::keepRegistered() {
  if (!State->isComplete()) {
    schedule(RegistrationRetryInterval, [this] { keepRegistered(); });
    return;
  }
  const ReplyHandler handleReply =
      makeReplyHandler([this](const StoreReply &it) {
        Registered = std::holds_alternative<StoreUpdates>(it);
        schedule(Registered ? LeaseRenewalInterval : RegistrationRetryInterval,
                 [this] { keepRegistered(); });
      });
  if (Registered) {
    Fleet.Store.renewLease(Host, registrationKey(), handleReply);
    return;
  }
  RouterEntry entry;
  entry.Host = Host;
  entry.Zone = Zone;
  entry.Incarnation = IncarnationId{IncarnationNumber};
  Fleet.Store.write(Host, registrationKey(), RouterUpdated{entry},
                    RouterRemoved{Host}, LeaseTtl, handleReply);
}

void VirtualFleet::Router::sendReports() {
  const Time now = Fleet.Clock.now();
  if (View) {
    const OutgoingReports reports = Dispatcher->collectReports(now);
    const auto sendReport = [this, now](const HostId &to,
                                        const LoadReport &load) {
      const auto it = Fleet.Routers.find(to);
      if (it == Fleet.Routers.end() || PeersCutUntil > now) {
        return;
      }
      Router *peer = it->second.get();
      Fleet.Clock.scheduleAfter(
          Fleet.drawMessageDelay(),
          [peer, from = Host, load] { peer->receiveReport(from, load); });
    };
    for (const HostId &to : reports.Recipients.GroupPeers) {
      sendReport(to, reports.OwnReport);
    }
    for (const HostId &to : reports.Recipients.RemotePeers) {
      sendReport(to, reports.GroupReport);
    }
  }
  schedule(ReportInterval, [this] { sendReports(); });
}

void VirtualFleet::Router::receiveReport(const HostId &from,
                                         const LoadReport &report) {
  if (!Alive || PeersCutUntil > Fleet.Clock.now()) {
    return;
  }
  schedule(Duration{0}, [this, from, report] {
    if (View) {
      Dispatcher->receiveReport(from, report, Fleet.Clock.now());
    }
  });
}

void VirtualFleet::Router::publishView() {
  State->takeChanges();
  if (!State->isComplete()) {
    return;
  }
  const std::shared_ptr<const FleetView> newest = State->view();
  if (newest == View) {
    return;
  }
  const bool configChanged =
      !View || View->Config->Revision != newest->Config->Revision;
  View = newest;
  Dispatcher->setView(View, Fleet.Clock.now());
  if (configChanged) {
    Fleet.History.AppliedConfigs.push_back(
        {Host, View->Config->Revision, Fleet.Clock.now()});
  }
}

void VirtualFleet::Router::serve(std::size_t call, const TrafficPlan &plan,
                                 PromptDescription prompt) {
  UnprocessedCalls.insert(call);
  schedule(Duration{0}, [this, call, plan, prompt = std::move(prompt)] {
    UnprocessedCalls.erase(call);
    const Time now = Fleet.Clock.now();
    const std::string path = "/" + plan.Route + "/x";
    const std::string id = std::to_string(call);
    IncomingRequest incoming;
    incoming.HostName = "models.example";
    incoming.Path = path;
    incoming.ApiKey = plan.ApiKey;
    incoming.RequestId = id;
    const Duration configAge =
        Link->currentAsOf() ? now - *Link->currentAsOf() : Duration{0};
    const std::variant<Admission, LocalResponse> admitted =
        admit(incoming, View, configAge, Fleet.Plan.Admission);
    if (!std::holds_alternative<Admission>(admitted)) {
      endCall(call, CallOutcome::NotRun);
      return;
    }
    CallInFlight &inFlight = CallsInFlight[call];
    inFlight.Admitted = std::get<Admission>(admitted);
    inFlight.Lifecycle.emplace(inFlight.Admitted, prompt,
                               routing::RequestIdentity(), now);
    Dispatcher->recordRequest(inFlight.Lifecycle->dispatchRequest(), now);
    dispatch(call);
  });
}

void VirtualFleet::Router::dispatch(std::size_t call) {
  CallInFlight &inFlight = CallsInFlight.at(call);
  const DispatchDecision decision =
      inFlight.Lifecycle->chooseTarget(*Dispatcher, Fleet.Clock.now());
  if (const Assignment *it = std::get_if<Assignment>(&decision)) {
    inFlight.CurrentAssignment = *it;
    sendToTarget(call);
    return;
  }
  const unsigned status = inFlight.Lifecycle->localResponse().Status;
  endCall(call, status == 502 || status == 504 ? CallOutcome::MayHaveRun
                                               : CallOutcome::NotRun);
}

void VirtualFleet::Router::sendToTarget(std::size_t call) {
  CallInFlight &inFlight = CallsInFlight.at(call);
  const Time now = Fleet.Clock.now();
  const std::uint64_t attempt = ++inFlight.AttemptNumber;
  inFlight.ResponseStarted = false;
  const auto reportResult = [this, call, attempt](ExchangeResult result,
                                                  bool sent) {
    AttemptOutcome outcome;
    outcome.Result = result;
    outcome.RequestSent = sent;
    finishAttempt(call, attempt, outcome);
  };
  TargetRequest request;
  request.CallIndex = call;
  request.Prompt = inFlight.Lifecycle->dispatchRequest().Prompt;
  request.OnFirstEvent = [this, call, attempt,
                          incarnation = IncarnationNumber] {
    if (incarnation != IncarnationNumber) {
      return;
    }
    schedule(Fleet.drawMessageDelay(), [this, call, attempt] {
      const auto it = CallsInFlight.find(call);
      if (it == CallsInFlight.end() || it->second.AttemptNumber != attempt) {
        return;
      }
      it->second.ResponseStarted = true;
      it->second.Lifecycle->recordProgress(
          *Dispatcher, *it->second.CurrentAssignment, Fleet.Clock.now());
      CallRecord &record = Fleet.History.Calls[call];
      record.TimeToFirstPart =
          record.TimeToFirstPart.value_or(Fleet.Clock.now() - record.StartedAt);
    });
  };
  request.OnEnd = [this, reportResult,
                   incarnation = IncarnationNumber](RunOutcome outcome) {
    if (incarnation != IncarnationNumber) {
      return;
    }
    schedule(Fleet.drawMessageDelay(), [reportResult, outcome] {
      switch (outcome) {
      case RunOutcome::Completed:
        return reportResult(ExchangeResult::Completed, true);
      case RunOutcome::Failed:
        return reportResult(ExchangeResult::Failed, true);
      case RunOutcome::Refused:
        return reportResult(ExchangeResult::Refused, true);
      case RunOutcome::Broken:
        return reportResult(ExchangeResult::Broken, true);
      }
    });
  };
  const auto target = Fleet.Targets.find(inFlight.CurrentAssignment->Target);
  const bool accepted =
      target != Fleet.Targets.end() && target->second->Process.submit(request);
  if (!accepted) {
    schedule(Fleet.drawMessageDelay(), [reportResult] {
      reportResult(ExchangeResult::Unreachable, false);
    });
    return;
  }
  Fleet.History.Sends.push_back(
      {Host, call, inFlight.CurrentAssignment->Target, now,
       inFlight.Lifecycle->dispatchRequest().IsRetry});
  const auto expireAttempt = [this, call, attempt,
                              reportResult](bool onlyBeforeResponse) {
    const auto it = CallsInFlight.find(call);
    const bool expired = it != CallsInFlight.end() &&
                         it->second.AttemptNumber == attempt &&
                         !(onlyBeforeResponse && it->second.ResponseStarted);
    if (expired) {
      Fleet.Targets.at(it->second.CurrentAssignment->Target)
          ->Process.cancel(call);
      reportResult(ExchangeResult::TimedOut, true);
    }
  };
  schedule(inFlight.Lifecycle->attemptTimeout(*inFlight.CurrentAssignment, now),
           [expireAttempt] { expireAttempt(true); });
  schedule(inFlight.Lifecycle->remainingTime(now),
           [expireAttempt] { expireAttempt(false); });
}

void VirtualFleet::Router::finishAttempt(std::size_t call,
                                         std::uint64_t attempt,
                                         AttemptOutcome outcome) {
  const auto it = CallsInFlight.find(call);
  if (it == CallsInFlight.end() || it->second.AttemptNumber != attempt) {
    return;
  }
  CallInFlight &inFlight = it->second;
  outcome.ResponseStarted = inFlight.ResponseStarted;
  ++inFlight.AttemptNumber;
  const bool mayRetry = inFlight.Lifecycle->finishAttempt(
      *Dispatcher, *inFlight.CurrentAssignment, outcome, Fleet.Clock.now());
  inFlight.CurrentAssignment.reset();
  if (outcome.Result == ExchangeResult::Completed) {
    endCall(call, CallOutcome::Completed);
  } else if (mayRetry) {
    dispatch(call);
  } else {
    const unsigned status = inFlight.Lifecycle->localResponse().Status;
    const bool knownNotRun =
        !inFlight.ResponseStarted && status != 502 && status != 504;
    endCall(call, knownNotRun ? CallOutcome::NotRun : CallOutcome::MayHaveRun);
  }
}

void VirtualFleet::Router::endCall(std::size_t call, CallOutcome outcome) {
  CallRecord &record = Fleet.History.Calls[call];
  record.Outcome = outcome;
  record.EndedAt = Fleet.Clock.now();
  if (outcome == CallOutcome::Completed && !record.TimeToFirstPart) {
    record.TimeToFirstPart = record.EndedAt - record.StartedAt;
  }
  CallsInFlight.erase(call);
}

} // namespace nutmegsill::simulation
