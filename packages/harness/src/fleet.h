/// A few routers, the platform and some targets in virtual time. Delivers
/// messages with delay, loss, repetition and cuts; nothing else.
#pragma once

#include "history.h"
#include "nutmegsill/router.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace nutmegsill::harness {

struct TargetPlan {
  TargetId Id;
  PoolId Pool;
  ZoneId Zone;
  std::uint32_t Slots = 4;
  std::uint32_t ColdSlots = 1;
  /// Time from a start until it bears all its slots.
  milliseconds WarmUp{1000};
  bool Fencing = false;
};

/// What a virtual fleet consists of.
struct VirtualPlan {
  std::uint64_t Seed = 1;
  std::vector<std::pair<HostId, ZoneId>> Hosts;
  std::vector<TargetPlan> Targets;
  std::map<TeamId, TeamConfig> Teams;
  std::map<PoolId, PoolConfig> Pools;
  Duration LeastDelay = milliseconds(1);
  Duration MostDelay = milliseconds(5);
  /// Probability in percent that a peer message is lost or repeated.
  unsigned LossPercent = 0;
  unsigned RepeatPercent = 0;
  /// Processing time of one cost unit at a target.
  Duration UnitTime = milliseconds(2);
  Duration TickInterval = milliseconds(20);
  Duration HostListLag = milliseconds(500);
  Timing Limits;
  /// Clock error of a host in parts per thousand, in place of a drawn one.
  std::map<HostId, std::int64_t> ClockDrift{};
  /// Breaks the rule that limits count from the asker's send time: answers are
  /// taken as if they had been asked for when they arrive.
  bool CountFromReceipt = false;
  /// Keeps a line for each decision and step.
  bool Trace = false;
};

struct CallPlan {
  HostId Entry;
  TeamId Team;
  PoolId Pool;
  bool Idempotent = true;
  std::string Key;
  Cost Work{10};
};

/// Messages of one type.
struct Traffic {
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
};

/// How the key-value service misbehaves.
enum class PlatformFault { None, Down, Slow, LoseAnswers, LateEffect };

class VirtualFleet {
public:
  explicit VirtualFleet(VirtualPlan plan);

  Time now() const { return Now; }
  /// Runs until `end`.
  void runUntil(Time end);
  void runFor(Duration time) { runUntil(Now + time); }
  /// Calls `action` at `time`.
  void at(Time time, std::function<void()> action);

  /// Sends a call; returns its place in the history.
  std::size_t submit(const CallPlan &call);
  /// Called when a call has ended.
  std::function<void(std::size_t)> OnCallEnd;
  /// Called when a router took a step of a chart.
  std::function<void(const HostId &, const Step &)> OnStep;

  /// The caller of an open call closes its connection.
  void leave(std::size_t call);
  /// The target refuses connections for some time.
  void refuseWork(const TargetId &target, Duration time);

  void kill(const HostId &host);
  void start(const HostId &host);
  void stop(const HostId &host);
  void pause(const HostId &host, Duration time);
  /// Cuts messages from `from` to `to`.
  void cut(const HostId &from, const HostId &to, Duration time);
  /// Cuts the host off from all peers, and from the platform if `platform`.
  void isolate(const HostId &host, Duration time, bool platform);
  /// Cuts the host off from the platform only.
  void cutPlatform(const HostId &host, Duration time);
  void setNetwork(unsigned lossPercent, unsigned repeatPercent,
                  Duration mostDelay, Duration time);
  void setPlatform(PlatformFault fault, Duration time);
  /// Forgets all about what the target ran and how warm it was.
  void makeCold(const TargetId &target);
  /// Takes a host out of the host list, or puts it back, after the lag.
  void listHost(const HostId &host, bool listed);
  /// Accepts a configuration with these zones and targets out; false when the
  /// service is down.
  bool configure(const std::set<ZoneId> &zonesOut,
                 const std::set<TargetId> &targetsOut);

  bool alive(const HostId &host) const;
  Status status(const HostId &host) const;
  const History &history();
  /// Peer messages by type, with the bytes of their encoding.
  const std::map<std::string, Traffic> &messages() const { return ByType; }
  /// Time for which slots of the pool were idle, per slot of a warm target,
  /// while a call of the pool waited.
  Duration idleWhileWaiting(const PoolId &pool, Time from, Time until) const;
  std::uint64_t platformCalls() const { return Calls; }
  /// Unannounced starts of targets so far, those by overload not counted.
  std::size_t coldStarts() const { return ColdStarts; }
  const std::vector<std::string> &lines() const { return Lines; }

private:
  struct Scheduled {
    Time At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const Scheduled &o) const {
      return std::tie(At, Order) > std::tie(o.At, o.Order);
    }
  };
  struct Host {
    Member Self;
    std::optional<Router> Decisions;
    Incarnation Life;
    std::size_t LifeIndex = 0;
    Duration ClockOffset{};
    /// Clock error in parts per thousand.
    std::int64_t ClockDrift = 0;
    std::optional<Time> PausedUntil;
    std::vector<std::function<void()>> WhilePaused;
    std::map<RequestId, std::size_t> Open;
    std::map<RequestId, CallEnd> Ended;
    std::set<RequestId> Dispatched;
    /// Requests whose caller left after the dispatch.
    std::set<RequestId> Left;
    std::map<RequestId, std::vector<RequestId>> Joined;
    std::uint64_t LastRequest = 0;
  };
  /// A call that a target works on.
  struct Running {
    HostId Entry;
    Incarnation EntryLife;
    RequestId Id;
    std::size_t Call = 0;
    Time StartedAt;
  };
  struct Target {
    TargetPlan Plan;
    Time StartedAt;
    std::uint64_t Starts = 1;
    Epoch Highest;
    Time RefusesUntil;
    std::map<std::uint64_t, Running> Work{};
  };

  Time localNow(const Host &host) const;
  void feed(const HostId &id, Incarnation life, EventBody body);
  void apply(const HostId &id, const Effect &effect);
  void trace(const HostId &id, const Decision &decision);
  void trace(const HostId &id, const Step &step);
  std::string timeText() const;
  void sendPeer(const HostId &from, const SendPeer &send);
  void callPlatform(const HostId &id, const PlatformCall &call);
  PlatformResult runPlatform(const PlatformRequest &request);
  void pollLoad(const HostId &id, const PollLoad &poll);
  void dispatch(const HostId &id, const Dispatch &order);
  void startWork(const HostId &id, Incarnation life, const Dispatch &order,
                 std::size_t call);
  void finishWork(const TargetId &target, std::uint64_t work);
  void breakWork(Target &target);
  void restartTarget(Target &target);
  void dropWork(const HostId &id, const Host &host, RequestId request);
  void endExchange(const Running &run, ExchangeEnd end, Cost total);
  void endRequest(Host &host, RequestId id, CallEnd end,
                  const std::string &answer);
  void endCall(std::size_t call, CallEnd end, const std::string &answer);
  void forward(const HostId &from, const ForwardToHolder &order);
  void join(const HostId &id, const JoinAttempt &order);
  void deliverRequest(const HostId &to, std::size_t call, bool forwarded);
  void scheduleTick(const HostId &id, Incarnation life);
  void scheduleHostList(const HostId &id, Incarnation life);
  void publishHostList();
  std::uint32_t bearable(const Target &target) const;
  void noteSlots();
  Duration delay();
  bool chance(unsigned percent);
  void disturb(const HostId &host, Time until);

  VirtualPlan Plan;
  /// The plan as given, whose network returns after a disturbance.
  VirtualPlan Sound;
  std::uint64_t NetworkChanges = 0;
  std::mt19937_64 Random;
  Time Now;
  std::uint64_t LastOrder = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> Queue;
  std::shared_ptr<const Charts> ChartSet;
  std::map<HostId, Host> Hosts;
  std::map<TargetId, Target> Targets;
  std::set<HostId> Unlisted;
  std::vector<Member> Listed;
  std::map<std::pair<HostId, HostId>, Time> Cuts;
  std::map<HostId, Time> PlatformCuts;
  PlatformFault Fault = PlatformFault::None;
  std::map<std::string, KvValue> Values;
  std::uint64_t ModRevision = 0;
  std::uint64_t Calls = 0;
  std::uint64_t LastWork = 0;
  std::size_t ColdStarts = 0;
  std::uint64_t LastLife = 0;
  Revision LastRevision;
  History Seen;
  std::map<std::string, Traffic> ByType;
  std::map<PoolId, Duration> Idle;
  /// `Idle` by time, about once in a hundred milliseconds.
  std::map<PoolId, std::map<Time, Duration>> IdleBy;
  std::map<PoolId, std::int64_t> OpenCalls;
  std::vector<std::string> Lines;
  Time SlotsNotedAt;
};

} // namespace nutmegsill::harness
