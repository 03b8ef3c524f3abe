/// One router process of a virtual fleet.
#pragma once

#include "virtual_fleet.h"

#include <deque>

namespace nutmegsill::simulation {

struct VirtualFleet::Target {
  Target(VirtualClock &clock, TargetPlan plan,
         VirtualTarget::RunStartHandler onRunStart)
      : Process(clock, std::move(plan), std::move(onRunStart)) {}
  VirtualTarget Process;
  Time ColdUntil{};
};

/// Exchanges load reports and serves calls, as the gateway does. Reads the
/// store by itself: the proofs between routers are not simulated here.
struct VirtualFleet::Router {
  Router(VirtualFleet &fleet, HostId host, ZoneId zone);

  void start();
  void kill();
  void freeze(Duration duration);
  void serve(std::size_t call, const TrafficPlan &plan,
             routing::PromptDescription prompt);
  void receiveReport(const HostId &from, const routing::LoadReport &report);
  bool alive() const { return Alive; }

  Time PeersCutUntil{};

private:
  struct CallInFlight {
    routing::Admission Admitted;
    std::optional<routing::RequestLifecycle> Lifecycle;
    std::optional<routing::Assignment> CurrentAssignment;
    std::uint64_t AttemptNumber = 0;
    bool ResponseStarted = false;
  };

  /// Runs `work` after `delay`, or at the end of a freeze if that is later.
  /// Does nothing if the router was killed in between.
  void schedule(Duration delay, std::function<void()> work);
  /// Returns a handler that, by `schedule`, records in `State` whether the call
  /// succeeded or the store was unavailable, and then runs `work`.
  ReplyHandler makeReplyHandler(std::function<void(StoreReply)> work);
  void reportTransition(const char *event);
  void runWatchLoop();
  void listItems();
  void applyListing(const StoreUpdates &listed, Time sentAt);
  void watchChanges(const routing::WatchCall &call);
  void runCheckLoop();
  void checkForMissedChanges();
  void runExpiryLoop();
  void keepRegistered();
  void sendReports();
  void publishView();
  void dispatch(std::size_t call);
  void sendToTarget(std::size_t call);
  void finishAttempt(std::size_t call, std::uint64_t attempt,
                     routing::AttemptOutcome outcome);
  void endCall(std::size_t call, CallOutcome outcome);
  std::string registrationKey() const { return "routers/" + Host.Text; }

  VirtualFleet &Fleet;
  HostId Host;
  ZoneId Zone;
  bool Alive = false;
  std::uint64_t IncarnationNumber = 0;
  Time FrozenUntil{};
  std::optional<routing::StoreLink> Link;
  std::optional<routing::FleetState> State;
  std::optional<routing::Dispatcher> Dispatcher;
  std::shared_ptr<const routing::FleetView> View;
  std::map<std::size_t, CallInFlight> CallsInFlight;
  /// Calls that have arrived but are not processed yet.
  std::set<std::size_t> UnprocessedCalls;
  bool Registered = false;
};

} // namespace nutmegsill::simulation
