/// Routers in virtual time that move pools to another version by the decisions
/// of real dispatchers, with a store, targets, and faults of all of them.
#pragma once

#include "fleet_fixture.h"

#include <cmath>
#include <functional>
#include <map>
#include <random>

namespace nutmegsill::routing {

enum class VersionFault {
  None,
  /// A third of the responses are failures.
  AtOnce,
  /// The same from 40% of the time to the deadline.
  Late,
  /// The same at a target that gets two thirds of its normal load.
  UnderLoad,
  /// The same on one of two routes.
  OneRoute,
  /// A third of the responses take five times as long.
  Slow,
  /// A third of the responses of both versions are failures for 2 s.
  BothVersions,
  /// One target of the new version fails always.
  OneNewTarget,
  /// One target of the previous version fails always.
  OneOldTarget,
  /// No target has the version.
  NoTargets,
};

/// A period in seconds since the order.
struct Period {
  double From = 0;
  double To = 0;
  bool contains(double at) const { return at >= From && at < To; }
};

struct RolloutPlay {
  std::size_t Routers = 9;
  /// One pool for each.
  std::vector<VersionFault> Faults;
  unsigned Seed = 1;
  double Deadline = 20;
  /// Requests per second of each pool.
  double Rate = 100;
  /// The store answers nobody.
  Period StoreAway;
  /// The store comes back as it was at this time when it returns.
  std::optional<double> CopyAt;
  /// The first routers hear no others.
  std::size_t CutRouters = 0;
  Period Cut;
};

struct RolloutOutcome {
  std::uint32_t Requests = 0;
  std::uint32_t Exposed = 0;
  std::uint32_t ExposedBeforeOrder = 0;
  std::uint32_t Bad = 0;
  std::optional<double> FiftiethBadAt;
  double LastExposedAt = 0;
  std::optional<RolloutState> State;
  double DecidedAt = 0;
  /// At or after the write of `complete`.
  std::uint32_t LostAtPrevious = 0;
};

class RolloutFleet : FleetFixture {
public:
  explicit RolloutFleet(RolloutPlay play) : Play(play), Random(Play.Seed) {
    const std::size_t pools = Play.Faults.size();
    Outcomes.resize(pools);
    Store.resize(pools);
    Copy.resize(pools);
    std::shared_ptr<ServiceConfig> made = std::make_shared<ServiceConfig>();
    for (std::size_t i = 0; i < pools; ++i) {
      PoolRule rule;
      rule.Pool = pool(i);
      made->Pools[rule.Pool] = rule;
      for (const char *name : {"a", "b"}) {
        made->Routes.push_back(route(
            rule.Pool.Text + name, ExecutionSemantics::Idempotent, rule.Pool));
      }
    }
    made->buildIndex();
    Config = made;
    for (std::size_t i = 0; i < Play.Routers; ++i) {
      Entries.push_back(router("host-" + std::to_string(1'000 + i)));
      Index[Entries.back().Host] = i;
    }
    DispatchPolicy policy;
    policy.Rollout = RolloutPolicy();
    RetryBudgetPolicy budget;
    budget.ExtraRetries = 50;
    for (const RouterEntry &it : Entries) {
      Routers.push_back({Dispatcher(it.Host, policy, budget), {}, {}, {}});
    }
  }

  std::vector<RolloutOutcome> play() {
    const double end = Play.Deadline + 2;
    for (Now = -OrderDelay; Now < end; Now += Step) {
      if (Now >= 0 && !Ordered) {
        Ordered = true;
        for (RolloutItems &it : Store) {
          it.Order = RolloutOrder{"v2", fromSeconds(Play.Deadline)};
        }
      }
      stepStore();
      for (; !Events.empty() && Events.begin()->first <= Now;
           Events.erase(Events.begin())) {
        Events.begin()->second();
      }
      Due += Play.Rate * static_cast<double>(Play.Faults.size()) * Step;
      for (; Due >= 1; Due -= 1) {
        request(pick(Play.Faults.size()));
      }
      ++Ticks;
      for (std::size_t i = 0; i < Play.Routers; ++i) {
        stepRouter(i);
      }
    }
    return Outcomes;
  }

private:
  static constexpr double Step = 0.01;
  static constexpr double OrderDelay = 1;
  static constexpr std::size_t TargetsPerVersion = 4;

  struct Router {
    Dispatcher Decider;
    std::vector<RolloutItems> Known;
    double StoreSeenAt = 0;
    /// When each pool's status was first to be written.
    std::map<std::size_t, std::pair<RolloutDecision, double>> Wanted;
    bool HasView = false;
    bool SawTargets = false;
  };

  static Duration fromSeconds(double s) {
    return Duration(static_cast<std::int64_t>(s * 1e6));
  }
  Time time() const { return Time(fromSeconds(Now + 100)); }
  static PoolId pool(std::size_t i) { return PoolId{"p" + std::to_string(i)}; }
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(Random);
  }
  bool isCut(std::size_t router) const {
    return router < Play.CutRouters && Play.Cut.contains(Now);
  }
  void later(double delay, std::function<void()> act) {
    Events.emplace(Now + delay, std::move(act));
  }
  bool isAway() const { return Play.StoreAway.contains(Now); }

  void stepStore() {
    if (Play.CopyAt && !HasCopy && Now >= *Play.CopyAt) {
      HasCopy = true;
      Copy = Store;
    }
    if (HasCopy && !Restored && Now >= Play.StoreAway.To) {
      Restored = true;
      Store = Copy;
    }
  }

  void stepRouter(std::size_t i) {
    Router &it = Routers[i];
    if ((Ticks + i) % 10 == 0 && !isAway()) {
      it.StoreSeenAt = Now;
      refreshView(it);
      writeStatus(i);
    }
    const ReportIntervals intervals =
        reportIntervals(it.Decider.reportRecipients());
    const auto ticks = [](Duration span) {
      return static_cast<std::size_t>(
          std::max(1L, std::lround(toSeconds(span) / Step)));
    };
    const std::size_t group = ticks(intervals.ToGroup);
    if ((Ticks + i) % group == 0) {
      const std::size_t rounds =
          std::max<std::size_t>(1, ticks(intervals.ToRemotePeers) / group);
      report(i, (Ticks + i) / group % rounds == 0);
    }
  }

  void refreshView(Router &it) {
    const bool hasTargets = Ordered && Now >= 0.5;
    const auto same = [](const RolloutItems &a, const RolloutItems &b) {
      return a.Order == b.Order && a.Status == b.Status;
    };
    if (it.HasView && it.SawTargets == hasTargets &&
        std::equal(Store.begin(), Store.end(), it.Known.begin(), same)) {
      return;
    }
    it.HasView = true;
    it.SawTargets = hasTargets;
    it.Known = Store;
    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    view->Config = Config;
    view->Routers = Entries;
    for (std::size_t i = 0; i < Play.Faults.size(); ++i) {
      if (Store[i].Order || Store[i].Status) {
        view->Rollouts[pool(i)] = Store[i];
      }
      for (std::size_t t = 0; t < TargetsPerVersion; ++t) {
        addTarget(*view, i, t, "v1");
        if (hasTargets && Play.Faults[i] != VersionFault::NoTargets) {
          addTarget(*view, i, t, "v2");
        }
      }
    }
    it.Decider.setView(view, time());
  }

  static void addTarget(FleetView &view, std::size_t poolIndex, std::size_t t,
                        const std::string &version) {
    KnownTarget known;
    known.Entry =
        target(version + "-" + std::to_string(t) + "-" + pool(poolIndex).Text,
               pool(poolIndex).Text);
    known.Entry.Version = version;
    view.Targets.push_back(known);
  }

  void writeStatus(std::size_t router) {
    Router &it = Routers[router];
    for (const RolloutDecision &decision : it.Decider.rollouts().decisions()) {
      const std::size_t i = std::stoul(decision.Pool.Text.substr(1));
      if (!mayWriteStatus(it.Known[i], decision)) {
        it.Wanted.erase(i);
        continue;
      }
      auto &[wanted, since] =
          it.Wanted.try_emplace(i, decision, Now).first->second;
      if (!(wanted == decision)) {
        wanted = decision;
        since = Now;
      }
      const double rank = static_cast<double>(
          rolloutWriterRank(Entries, Entries[router].Host, decision));
      if (Now - since >= rank && mayWriteStatus(Store[i], decision)) {
        recordWrite(i, decision.Status);
      }
    }
  }

  void recordWrite(std::size_t i, const RolloutStatus &status) {
    Store[i].Status = status;
    RolloutOutcome &out = Outcomes[i];
    if (status.State == RolloutState::Running) {
      return;
    }
    out.State = status.State;
    out.DecidedAt = Now;
    if (status.State == RolloutState::Complete) {
      out.LostAtPrevious += PreviousInFlight[i];
    }
  }

  void report(std::size_t router, bool toRemote) {
    Router &it = Routers[router];
    if (!it.HasView) {
      return;
    }
    it.Decider.rollouts().setStoreAge(fromSeconds(Now - it.StoreSeenAt));
    OutgoingReports out = it.Decider.collectReports(time(), toRemote);
    it.Decider.takeChanges();
    post(router, out.Recipients.GroupPeers, out.OwnReport);
    post(router, out.Recipients.RemotePeers, out.GroupReport);
  }

  void post(std::size_t from, const std::vector<HostId> &peers,
            const LoadReport &report) {
    const auto shared = std::make_shared<LoadReport>(report);
    for (const HostId &peer : peers) {
      const std::size_t to = Index.at(peer);
      if (isCut(from) || isCut(to) || draw() < 0.02) {
        continue;
      }
      later(0.005 + 0.1 * draw(), [this, from, to, shared] {
        if (Routers[to].HasView) {
          Routers[to].Decider.receiveReport(Entries[from].Host, *shared,
                                            time());
        }
      });
    }
  }

  void request(std::size_t i) {
    const std::size_t router = pick(Play.Routers);
    if (!Routers[router].HasView) {
      return;
    }
    if (Now >= 0 && Now < Play.Deadline) {
      ++Outcomes[i].Requests;
    }
    auto request = std::make_shared<DispatchRequest>();
    request->Route = &Config->Routes[2 * i + pick(2)];
    request->Pool = pool(i);
    request->RemainingTime = std::chrono::seconds(3);
    Routers[router].Decider.recordRequest(*request, time());
    attempt(i, router, request);
  }

  void attempt(std::size_t i, std::size_t router,
               const std::shared_ptr<DispatchRequest> &request) {
    DispatchDecision decision =
        Routers[router].Decider.chooseTarget(*request, time());
    Assignment *chosen = std::get_if<Assignment>(&decision);
    if (chosen == nullptr) {
      return;
    }
    auto assignment = std::make_shared<Assignment>(*chosen);
    const bool isNew = assignment->Target.Text.starts_with("v2");
    RolloutOutcome &out = Outcomes[i];
    const auto [failed, slow] = respond(i, *assignment, *request);
    if (isNew) {
      ++out.Exposed;
      out.ExposedBeforeOrder += Ordered ? 0 : 1;
      out.LastExposedAt = Now;
    } else {
      ++PreviousInFlight[i];
      out.LostAtPrevious += out.State == RolloutState::Complete ? 1 : 0;
    }
    const double usual = 0.03 * (0.7 + 0.6 * draw());
    later(failed ? 0.01
          : slow ? 5 * usual
                 : usual,
          [this, i, router, request, assignment, isNew, failed = failed,
           slow = slow] {
            PreviousInFlight[i] -= isNew ? 0 : 1;
            RolloutOutcome &seen = Outcomes[i];
            const bool counts =
                isNew && (failed || slow) && Now >= Play.StoreAway.To;
            if (counts && ++seen.Bad == 50) {
              seen.FiftiethBadAt = Now;
            }
            Routers[router].Decider.recordResult(
                *assignment,
                failed ? ExchangeResult::Failed : ExchangeResult::Completed,
                time());
            if (failed && request->AttemptedTargets.empty()) {
              request->AttemptedTargets.push_back(assignment->Target);
              request->IsRetry = true;
              attempt(i, router, request);
            }
          });
  }

  /// Whether the response is a failure, and whether it is slow.
  std::pair<bool, bool> respond(std::size_t i, const Assignment &assignment,
                                const DispatchRequest &request) {
    const VersionFault fault = Play.Faults[i];
    const std::string &target = assignment.Target.Text;
    const bool isNew = target.starts_with("v2");
    std::vector<double> &recent = Recent[target];
    recent.push_back(Now);
    std::erase_if(recent, [this](double at) { return at < Now - 0.3; });
    const double normal =
        0.3 * Play.Rate / static_cast<double>(TargetsPerVersion);
    const bool third = draw() < 1.0 / 3;
    const bool loaded = static_cast<double>(recent.size()) > normal * 2 / 3;
    switch (fault) {
    case VersionFault::AtOnce:
      return {isNew && third, false};
    case VersionFault::Late:
      return {isNew && third && Now > 0.4 * Play.Deadline, false};
    case VersionFault::UnderLoad:
      return {isNew && third && loaded, false};
    case VersionFault::OneRoute:
      return {isNew && third && request.Route->Name.ends_with("b"), false};
    case VersionFault::Slow:
      return {false, isNew && third};
    case VersionFault::BothVersions:
      return {third && Now > 0.3 * Play.Deadline &&
                  Now < 0.3 * Play.Deadline + 2,
              false};
    case VersionFault::OneNewTarget:
      return {target.starts_with("v2-0"), false};
    case VersionFault::OneOldTarget:
      return {target.starts_with("v1-0"), false};
    case VersionFault::None:
    case VersionFault::NoTargets:
      break;
    }
    return {false, false};
  }

  RolloutPlay Play;
  std::mt19937 Random;
  double Now = 0;
  std::size_t Ticks = 0;
  double Due = 0;
  bool Ordered = false;
  bool HasCopy = false;
  bool Restored = false;
  std::shared_ptr<const ServiceConfig> Config;
  std::vector<RouterEntry> Entries;
  std::map<HostId, std::size_t> Index;
  std::vector<Router> Routers;
  std::vector<RolloutItems> Store;
  std::vector<RolloutItems> Copy;
  std::vector<RolloutOutcome> Outcomes;
  std::map<std::size_t, std::uint32_t> PreviousInFlight;
  std::map<std::string, std::vector<double>> Recent;
  std::multimap<double, std::function<void()>> Events;
};

} // namespace nutmegsill::routing
