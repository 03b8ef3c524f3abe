#include "virtual_router.h"

namespace nutmegsill::simulation {

using namespace routing;

namespace {

constexpr Duration ReportInterval = milliseconds(100);
constexpr Duration ExpiryInterval = milliseconds(200);
constexpr Duration LeaseLife = milliseconds(4'000);
constexpr Duration Renewal = milliseconds(1'300);
constexpr Duration RegistrationRetry = milliseconds(250);
/// Pause after a watch with changes.
constexpr Duration WatchPause = milliseconds(25);

} // namespace

VirtualFleet::Router::Router(VirtualFleet &fleet, HostId host, ZoneId zone)
    : Fleet(fleet), Host(std::move(host)), Zone(std::move(zone)) {}

void VirtualFleet::Router::start() {
  Alive = true;
  ++Life;
  FrozenUntil = Time{};
  std::string reason;
  Link = StoreLink::create({}, reason);
  State.emplace(Host, FleetStatePolicy());
  Choices.emplace(Host, DispatchPolicy(), Fleet.Plan.Retries);
  View.reset();
  Registered = false;
  post(Duration{0}, [this] { follow(); });
  post(Link->policy().RevisionCheckInterval, [this] { check(); });
  post(ExpiryInterval, [this] { expire(); });
  post(RegistrationRetry, [this] { stayRegistered(); });
  post(ReportInterval, [this] { report(); });
}

void VirtualFleet::Router::kill() {
  Alive = false;
  ++Life;
  std::map<std::size_t, Open> open;
  open.swap(Calls);
  for (const auto &[call, it] : open) {
    if (it.Current) {
      Fleet.Targets.at(it.Current->Target)->Served.cancel(call);
    }
    Arriving.insert(call);
  }
  for (const std::size_t call : Arriving) {
    CallRecord &record = Fleet.Events.Calls[call];
    record.End = CallEnd::Cut;
    record.EndedAt = Fleet.Clock.now();
  }
  Arriving.clear();
}

void VirtualFleet::Router::freeze(Duration span) {
  FrozenUntil = Fleet.Clock.now() + span;
}

void VirtualFleet::Router::post(Duration after, std::function<void()> work) {
  Fleet.Clock.after(after, [this, life = Life, work = std::move(work)] {
    if (life != Life) {
      return;
    }
    const Duration frozen = FrozenUntil - Fleet.Clock.now();
    if (frozen > Duration{0}) {
      post(frozen, work);
    } else {
      work();
    }
  });
}

OnReply VirtualFleet::Router::reply(std::function<void(StoreReply)> work) {
  return [this, life = Life, work = std::move(work)](StoreReply it) {
    if (life != Life) {
      return;
    }
    post(Duration{0}, [this, work, it = std::move(it)] {
      if (std::holds_alternative<StoreAnswer>(it)) {
        State->recordStoreSuccess(Fleet.Clock.now());
      } else if (std::get<StoreLoss>(it) == StoreLoss::Away) {
        State->recordStoreFailure(Fleet.Clock.now());
      }
      work(it);
    });
  };
}

void VirtualFleet::Router::step(const char *event) {
  if (Fleet.OnStep) {
    Fleet.OnStep(Host, "store_link." + Link->state() + "." + event);
  }
}

void VirtualFleet::Router::follow() {
  const StoreCall next = Link->nextCall();
  if (const BackoffCall *it = std::get_if<BackoffCall>(&next)) {
    post(it->Delay, [this] { follow(); });
  } else if (const WatchCall *it = std::get_if<WatchCall>(&next)) {
    watch(*it);
  } else {
    list();
  }
}

void VirtualFleet::Router::list() {
  const Time sentAt = Fleet.Clock.now();
  Fleet.Store.list(Host, reply([this, sentAt](const StoreReply &it) {
                     if (const StoreAnswer *answer =
                             std::get_if<StoreAnswer>(&it)) {
                       step("listed");
                       State->applyListing(answer->Facts, Fleet.Clock.now());
                       Link->recordListing(answer->At, sentAt);
                     } else {
                       step("failed");
                       Link->recordFailure();
                     }
                     publish();
                     follow();
                   }));
}

void VirtualFleet::Router::watch(const WatchCall &call) {
  // One answer or the limit, whichever comes first.
  const std::shared_ptr<bool> ended = std::make_shared<bool>(false);
  const auto lost = [this, ended] {
    if (*ended) {
      return;
    }
    *ended = true;
    State->recordStoreFailure(Fleet.Clock.now());
    step("failed");
    Link->recordFailure();
    publish();
    follow();
  };
  post(call.MaxWait + Link->policy().ResponseMargin, lost);
  Fleet.Store.watch(
      Host, call.AfterRevision, call.MaxWait,
      reply([this, ended, after = call.AfterRevision](const StoreReply &it) {
        if (*ended) {
          return;
        }
        *ended = true;
        Duration pause{0};
        if (const StoreAnswer *answer = std::get_if<StoreAnswer>(&it)) {
          step("watched");
          if (Link->revision() <= after) {
            Link->recordWatch(answer->At);
            for (const StoreUpdate &fact : answer->Facts) {
              State->applyUpdate(fact, Fleet.Clock.now());
            }
            pause = answer->Facts.empty() ? Duration{0} : WatchPause;
          }
        } else if (std::get<StoreLoss>(it) == StoreLoss::HistoryGone) {
          step("history_gone");
          Link->recordHistoryGone();
        } else {
          step("failed");
          Link->recordFailure();
        }
        publish();
        post(pause, [this] { follow(); });
      }));
}

void VirtualFleet::Router::check() {
  if (Link->currentAsOf()) {
    checkOnce();
  } else {
    post(Link->policy().RevisionCheckInterval, [this] { check(); });
  }
}

void VirtualFleet::Router::checkOnce() {
  const Time sentAt = Fleet.Clock.now();
  const auto again = [this] {
    post(Link->policy().RevisionCheckInterval, [this] { check(); });
  };
  Fleet.Store.revision(
      Host, reply([this, sentAt, again](const StoreReply &it) {
        const StoreAnswer *answer = std::get_if<StoreAnswer>(&it);
        if (answer == nullptr) {
          post(Link->policy().MaxBackoff, [this] { checkOnce(); });
          return;
        }
        if (Link->confirmRevision(answer->At, sentAt)) {
          publish();
          again();
          return;
        }
        post(Link->policy().WatchLagTolerance + WatchPause,
             [this, sentAt, again, at = answer->At] {
               if (Link->confirmRevision(at, sentAt)) {
                 publish();
                 again();
                 return;
               }
               const Time listedAt = Fleet.Clock.now();
               Fleet.Store.list(
                   Host, reply([this, listedAt](const StoreReply &listing) {
                     const StoreAnswer *all =
                         std::get_if<StoreAnswer>(&listing);
                     if (all == nullptr) {
                       Link->recordFailure();
                       return;
                     }
                     if (all->At >= Link->revision()) {
                       State->applyListing(all->Facts, Fleet.Clock.now());
                     }
                     Link->recordListing(all->At, listedAt);
                     publish();
                   }));
               again();
             });
      }));
}

void VirtualFleet::Router::expire() {
  if (State->expire(Fleet.Clock.now())) {
    publish();
  }
  post(ExpiryInterval, [this] { expire(); });
}

void VirtualFleet::Router::stayRegistered() {
  if (!State->isComplete()) {
    post(RegistrationRetry, [this] { stayRegistered(); });
    return;
  }
  const OnReply done = reply([this](const StoreReply &it) {
    Registered = std::holds_alternative<StoreAnswer>(it);
    post(Registered ? Renewal : RegistrationRetry,
         [this] { stayRegistered(); });
  });
  if (Registered) {
    Fleet.Store.keep(Host, entryKey(), done);
    return;
  }
  RouterEntry entry;
  entry.Host = Host;
  entry.Zone = Zone;
  entry.Incarnation = IncarnationId{Life};
  Fleet.Store.write(Host, entryKey(), RouterUpdated{entry}, RouterRemoved{Host},
                    LeaseLife, done);
}

void VirtualFleet::Router::report() {
  const Time now = Fleet.Clock.now();
  if (View) {
    const OutgoingReports out = Choices->collectReports(now);
    const auto tell = [this, now](const HostId &to, const LoadReport &load) {
      const auto it = Fleet.Routers.find(to);
      if (it == Fleet.Routers.end() || PeersCutUntil > now) {
        return;
      }
      Router *peer = it->second.get();
      Fleet.Clock.after(Fleet.delay(),
                        [peer, from = Host, load] { peer->hear(from, load); });
    };
    for (const HostId &to : out.Recipients.GroupPeers) {
      tell(to, out.OwnReport);
    }
    for (const HostId &to : out.Recipients.RemotePeers) {
      tell(to, out.GroupReport);
    }
  }
  post(ReportInterval, [this] { report(); });
}

void VirtualFleet::Router::hear(const HostId &from, const LoadReport &report) {
  if (!Alive || PeersCutUntil > Fleet.Clock.now()) {
    return;
  }
  post(Duration{0}, [this, from, report] {
    if (View) {
      Choices->receiveReport(from, report, Fleet.Clock.now());
    }
  });
}

void VirtualFleet::Router::publish() {
  State->takeChanges();
  if (!State->isComplete()) {
    return;
  }
  const std::shared_ptr<const FleetView> fresh = State->view();
  if (fresh == View) {
    return;
  }
  const bool newConfig =
      !View || View->Config->Revision != fresh->Config->Revision;
  View = fresh;
  Choices->setView(View, Fleet.Clock.now());
  if (newConfig) {
    Fleet.Events.InForce.push_back(
        {Host, View->Config->Revision, Fleet.Clock.now()});
  }
}

void VirtualFleet::Router::serve(std::size_t call, const TrafficPlan &plan,
                                 PromptDescription content) {
  Arriving.insert(call);
  post(Duration{0}, [this, call, plan, content = std::move(content)] {
    Arriving.erase(call);
    const Time now = Fleet.Clock.now();
    const std::string path = "/" + plan.Route + "/x";
    const std::string id = std::to_string(call);
    IncomingRequest incoming;
    incoming.HostName = "models.example";
    incoming.Path = path;
    incoming.ApiKey = plan.Key;
    incoming.RequestId = id;
    const Duration age =
        Link->currentAsOf() ? now - *Link->currentAsOf() : Duration{0};
    const std::variant<Admission, LocalResponse> found =
        admit(incoming, View, age, Fleet.Plan.Admission);
    if (!std::holds_alternative<Admission>(found)) {
      end(call, CallEnd::NotRun);
      return;
    }
    Open &open = Calls[call];
    open.Admitted = std::get<Admission>(found);
    open.Course.emplace(open.Admitted, content, now);
    Choices->recordRequest(open.Course->dispatchRequest(), now);
    dispatch(call);
  });
}

void VirtualFleet::Router::dispatch(std::size_t call) {
  Open &open = Calls.at(call);
  const DispatchDecision choice =
      open.Course->chooseTarget(*Choices, Fleet.Clock.now());
  if (const Assignment *it = std::get_if<Assignment>(&choice)) {
    open.Current = *it;
    send(call);
    return;
  }
  const unsigned status = open.Course->localResponse().Status;
  end(call,
      status == 502 || status == 504 ? CallEnd::Unknown : CallEnd::NotRun);
}

void VirtualFleet::Router::send(std::size_t call) {
  Open &open = Calls.at(call);
  const Time now = Fleet.Clock.now();
  const std::uint64_t attempt = ++open.Attempt;
  open.Began = false;
  const auto ended = [this, call, attempt](ExchangeResult result, bool sent) {
    AttemptOutcome outcome;
    outcome.Result = result;
    outcome.RequestSent = sent;
    attemptEnded(call, attempt, outcome);
  };
  RunOrder order;
  order.Call = call;
  order.Content = open.Course->dispatchRequest().Prompt;
  order.OnFirstEvent = [this, call, attempt, life = Life] {
    if (life != Life) {
      return;
    }
    post(Fleet.delay(), [this, call, attempt] {
      const auto it = Calls.find(call);
      if (it == Calls.end() || it->second.Attempt != attempt) {
        return;
      }
      it->second.Began = true;
      Choices->recordProgress(*it->second.Current, Fleet.Clock.now());
      CallRecord &record = Fleet.Events.Calls[call];
      record.First = record.First.value_or(Fleet.Clock.now() - record.At);
    });
  };
  order.OnEnd = [this, ended, life = Life](RunEnd end) {
    if (life != Life) {
      return;
    }
    post(Fleet.delay(), [ended, end] {
      switch (end) {
      case RunEnd::Completed:
        return ended(ExchangeResult::Completed, true);
      case RunEnd::Failed:
        return ended(ExchangeResult::Failed, true);
      case RunEnd::Refused:
        return ended(ExchangeResult::Refused, true);
      case RunEnd::Broken:
        return ended(ExchangeResult::Broken, true);
      }
    });
  };
  const auto target = Fleet.Targets.find(open.Current->Target);
  const bool reached =
      target != Fleet.Targets.end() && target->second->Served.offer(order);
  if (!reached) {
    post(Fleet.delay(), [ended] { ended(ExchangeResult::Unreachable, false); });
    return;
  }
  Fleet.Events.Sends.push_back({Host, call, open.Current->Target, now,
                                open.Course->dispatchRequest().IsRetry});
  const auto limit = [this, call, attempt, ended](bool onlyBeforeBegin) {
    const auto it = Calls.find(call);
    const bool over = it != Calls.end() && it->second.Attempt == attempt &&
                      !(onlyBeforeBegin && it->second.Began);
    if (over) {
      Fleet.Targets.at(it->second.Current->Target)->Served.cancel(call);
      ended(ExchangeResult::TimedOut, true);
    }
  };
  post(open.Course->attemptTimeout(*open.Current, now),
       [limit] { limit(true); });
  post(open.Course->remainingTime(now), [limit] { limit(false); });
}

void VirtualFleet::Router::attemptEnded(std::size_t call, std::uint64_t attempt,
                                        AttemptOutcome outcome) {
  const auto it = Calls.find(call);
  if (it == Calls.end() || it->second.Attempt != attempt) {
    return;
  }
  Open &open = it->second;
  outcome.ResponseStarted = open.Began;
  ++open.Attempt;
  const bool again = open.Course->finishAttempt(*Choices, *open.Current,
                                                outcome, Fleet.Clock.now());
  open.Current.reset();
  if (outcome.Result == ExchangeResult::Completed) {
    end(call, CallEnd::Complete);
  } else if (again) {
    dispatch(call);
  } else {
    const unsigned status = open.Course->localResponse().Status;
    const bool known = !open.Began && status != 502 && status != 504;
    end(call, known ? CallEnd::NotRun : CallEnd::Unknown);
  }
}

void VirtualFleet::Router::end(std::size_t call, CallEnd end) {
  CallRecord &record = Fleet.Events.Calls[call];
  record.End = end;
  record.EndedAt = Fleet.Clock.now();
  if (end == CallEnd::Complete && !record.First) {
    record.First = record.EndedAt - record.At;
  }
  Calls.erase(call);
}

} // namespace nutmegsill::simulation
