/// One router process of a virtual fleet.
#pragma once

#include "virtual_fleet.h"

#include <deque>

namespace nutmegsill::simulation {

struct VirtualFleet::Target {
  Target(Schedule &clock, TargetPlan plan, VirtualTarget::RunStarted started)
      : Served(clock, std::move(plan), std::move(started)) {}
  VirtualTarget Served;
  Time ColdUntil{};
};

/// Follows the store, exchanges reports and serves calls, as the gateway does.
struct VirtualFleet::Router {
  Router(VirtualFleet &fleet, HostId host, ZoneId zone);

  void start();
  void kill();
  void freeze(Duration span);
  void serve(std::size_t call, const TrafficPlan &plan,
             routing::PromptDescription content);
  void hear(const HostId &from, const routing::LoadReport &report);
  bool alive() const { return Alive; }

  Time PeersCutUntil{};

private:
  struct Open {
    routing::Admission Admitted;
    std::optional<routing::RequestLifecycle> Course;
    std::optional<routing::Assignment> Current;
    std::uint64_t Attempt = 0;
    bool Began = false;
  };

  /// Runs `work` in this life, after a freeze if need be.
  void post(Duration after, std::function<void()> work);
  OnReply reply(std::function<void(StoreReply)> work);
  void step(const char *event);
  void follow();
  void list();
  void watch(const routing::WatchCall &call);
  void check();
  void checkOnce();
  void expire();
  void stayRegistered();
  void report();
  void publish();
  void dispatch(std::size_t call);
  void send(std::size_t call);
  void attemptEnded(std::size_t call, std::uint64_t attempt,
                    routing::AttemptOutcome outcome);
  void end(std::size_t call, CallEnd end);
  std::string entryKey() const { return "routers/" + Host.Text; }

  VirtualFleet &Fleet;
  HostId Host;
  ZoneId Zone;
  bool Alive = false;
  std::uint64_t Life = 0;
  Time FrozenUntil{};
  std::optional<routing::StoreLink> Link;
  std::optional<routing::FleetState> State;
  std::optional<routing::Dispatcher> Choices;
  std::shared_ptr<const routing::FleetView> View;
  std::map<std::size_t, Open> Calls;
  /// Calls that it has not looked at yet.
  std::set<std::size_t> Arriving;
  bool Registered = false;
};

} // namespace nutmegsill::simulation
