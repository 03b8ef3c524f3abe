/// Routers in virtual time that send prompts of several teams to engines which
/// serve less than is asked for. Each engine works off one prompt after the
/// other. Routers exchange load reports as the gateway does.
#pragma once

#include "fleet_fixture.h"

#include <functional>
#include <queue>
#include <random>

namespace nutmegsill::routing {

struct CapacityLoad {
  std::size_t Routers = 9;
  std::size_t Engines = 12;
  /// Prompt tokens per second of an engine, relative to the configuration.
  double Pace = 0.6;
  /// Requests of each of the two large teams, relative to what all engines
  /// serve, and of all others together.
  double LargeDemand = 1.5;
  double OtherDemand = 0.3;
  /// Objectives of the large teams: the one at the two small hosts 0 and 1, and
  /// the one at the large host 2.
  milliseconds SmallHostObjective = milliseconds(800);
  milliseconds LargeHostObjective = milliseconds(800);
  /// Time by which a small host sees events late.
  Duration SmallHostLag = milliseconds(60);
  unsigned Seed = 1;
};

class CapacityFleet : FleetFixture {
public:
  static constexpr std::uint32_t PromptTokens = 1'500;
  static constexpr double ConfiguredRate = 30'000;

  explicit CapacityFleet(CapacityLoad load) : Load(load), Random(Load.Seed) {
    const auto config = FleetFixture::config();
    config->Routes.push_back(config->Routes.front());
    config->Routes[0].LatencyObjective = Load.SmallHostObjective;
    config->Routes.back().LatencyObjective = Load.LargeHostObjective;
    config->RatedTokensPerSecond =
        ConfiguredRate / 2 * static_cast<double>(Load.Engines);
    View->Config = config;
    for (std::size_t i = 0; i < Load.Routers; ++i) {
      View->Routers.push_back(router("host-" + std::to_string(1'000 + i)));
      View->Routers.back().ProcessorShare = i % 8 == 2 ? 0.5 : 0.1;
    }
    for (std::size_t i = 0; i < Load.Engines; ++i) {
      KnownTarget it{target("e-" + std::to_string(i), "engines"), {}, false};
      View->Targets.push_back(it);
    }
    FreeAt.resize(Load.Engines);
    Frozen.resize(Load.Routers);
    Cut.resize(Load.Routers);
    Capacities.resize(Load.Routers);
    for (std::size_t i = 0; i < Load.Routers; ++i) {
      Routers.emplace_back(
          View->Routers[i].Host, DispatchPolicy{},
          RetryBudgetPolicy{0.2, std::chrono::seconds(10), 10});
      start(i);
      const Duration phase = milliseconds(i * 7 % 360);
      schedule(Now + phase, [this, i] { report(i, Time{}); });
    }
    const double all = Load.Pace * ConfiguredRate / PromptTokens *
                       static_cast<double>(Load.Engines);
    arrive("team-small-hosts", 0, all * Load.LargeDemand, {0, 1});
    arrive("team-large-host", 2, all * Load.LargeDemand, {2});
    for (int team = 0; team < 6; ++team) {
      arrive("team-" + std::to_string(team), 0, all * Load.OtherDemand / 6, {});
    }
  }

  void runUntil(Time end) {
    while (!Events.empty() && Events.top().At <= end) {
      const Event next = Events.top();
      Events.pop();
      Now = next.At;
      next.Run();
    }
    Now = end;
  }

  void start(std::size_t router) {
    Routers[router] = Dispatcher(View->Routers[router].Host, {},
                                 {0.2, std::chrono::seconds(10), 10});
    Routers[router].setView(View, Now);
  }
  void freeze(std::size_t router, Duration duration) {
    Frozen[router] = Now + duration;
  }
  /// Routers that are cut off hear only each other.
  void cut(std::size_t router, Duration duration) {
    Cut[router] = Now + duration;
  }
  void limitEngines(double rate) { Limit = rate; }
  /// Takes a number of engines out of the view of all routers.
  void removeEngines(std::size_t count) {
    View = std::make_shared<FleetView>(*View);
    View->Targets.resize(View->Targets.size() - count);
    for (Dispatcher &it : Routers) {
      it.setView(View, Now);
    }
  }

  /// Most that a team got of its max-min share of all that was served since
  /// `resetCounts`, and least, relative to that share; of the large teams.
  std::pair<double, double> sharesOfLargeTeams() const {
    std::vector<double> demands;
    double served = 0;
    for (const auto &[team, tokens] : Asked) {
      demands.push_back(tokens);
      served += servedOf(team);
    }
    const double share = maxMinFairRate(demands, served);
    const double a = servedOf("team-small-hosts") / share;
    const double b = servedOf("team-large-host") / share;
    return {std::min(a, b), std::max(a, b)};
  }
  void resetCounts() {
    Asked.clear();
    Served.clear();
  }
  /// Highest capacity that a router used for its last decision, relative to the
  /// lowest; of the routers that are not cut off.
  double capacitySpread() {
    double least = std::numeric_limits<double>::infinity();
    double most = 0;
    for (std::size_t i = 0; i < Load.Routers; ++i) {
      if (Cut[i] <= Now) {
        const double it = capacityOf(i);
        least = std::min(least, it);
        most = std::max(most, it);
      }
    }
    return most / least;
  }
  double capacityOf(std::size_t router) {
    request("team-0", 0, router, 0);
    return Capacities[router] / View->Config->RatedTokensPerSecond;
  }

private:
  struct Event {
    Time At{};
    std::uint64_t Number = 0;
    std::function<void()> Run;
    bool operator<(const Event &other) const {
      return std::pair(other.At, other.Number) < std::pair(At, Number);
    }
  };

  double servedOf(const std::string &team) const {
    const auto it = Served.find(team);
    return it == Served.end() ? 0 : it->second;
  }
  void schedule(Time at, std::function<void()> run) {
    Events.push({at, ++LastEvent, std::move(run)});
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  Duration seconds(double value) {
    return Duration(static_cast<std::int64_t>(value * 1e6));
  }

  /// Runs `work` when the router is not frozen.
  void whenAwake(std::size_t router, std::function<void()> work) {
    if (Frozen[router] > Now) {
      schedule(Frozen[router], std::move(work));
    } else {
      work();
    }
  }

  void arrive(const std::string &team, std::size_t route, double perSecond,
              std::vector<std::size_t> hosts) {
    const double gap = -std::log(1 - draw()) / perSecond;
    schedule(Now + seconds(gap), [this, team, route, perSecond, hosts] {
      const std::size_t count = hosts.empty() ? Load.Routers : hosts.size();
      const std::size_t pick =
          static_cast<std::size_t>(draw() * static_cast<double>(count));
      const std::size_t host = hosts.empty() ? pick : hosts[pick];
      whenAwake(host,
                [this, team, route, host] { request(team, route, host, 2); });
      arrive(team, route, perSecond, hosts);
    });
  }

  void request(const std::string &team, std::size_t route, std::size_t host,
               int retries) {
    DispatchRequest request;
    request.Route = &View->Config->Routes[route == 0 ? 0 : 2];
    request.Pool = PoolId{"engines"};
    request.Team = TeamId{team};
    request.Prompt.InputTokens = PromptTokens;
    request.Prompt.MaxOutputTokens = 50;
    request.Prompt.Parts = {{1'000'000 + LastEvent, PromptTokens}};
    request.RemainingTime = std::chrono::seconds(6);
    Dispatcher &router = Routers[host];
    router.recordRequest(request, Now);
    Asked[team] += request.Prompt.ratedTokens();
    const DispatchDecision decision = router.chooseTarget(request, Now);
    if (const Rejection *it = std::get_if<Rejection>(&decision)) {
      Capacities[host] = it->Share.Capacity;
      if (retries > 0) {
        schedule(Now + it->RetryAfter, [=, this] {
          whenAwake(host, [=, this] {
            this->request(team, route, host, retries - 1);
          });
        });
      }
      return;
    }
    Assignment sent = std::get<Assignment>(decision);
    Capacities[host] = sent.Share.Capacity;
    Served[team] += request.Prompt.ratedTokens();
    std::size_t engine = std::stoul(sent.Target.Text.substr(2));
    FreeAt[engine] = std::max(FreeAt[engine], Now) +
                     seconds(PromptTokens / ConfiguredRate / Load.Pace);
    const Duration lag =
        milliseconds(45) + (host < 2 ? Load.SmallHostLag : Duration{0});
    schedule(FreeAt[engine] + lag, [this, host, sent]() mutable {
      whenAwake(host, [this, host, sent]() mutable {
        Routers[host].recordProgress(sent, Now);
        TargetStatement statement;
        statement.RequestRate = Limit;
        Routers[host].recordStatement(sent, statement, Now);
        Routers[host].recordResult(sent, ExchangeResult::Completed, Now);
      });
    });
  }

  void report(std::size_t from, Time nextRemoteAt) {
    whenAwake(from, [this, from, nextRemoteAt] {
      const ReportIntervals intervals =
          reportIntervals(Routers[from].reportRecipients());
      const bool remote = Now >= nextRemoteAt;
      const OutgoingReports out = Routers[from].collectReports(Now, remote);
      post(from, out.Recipients.GroupPeers, out.OwnReport);
      post(from, out.Recipients.RemotePeers, out.GroupReport);
      schedule(Now + intervals.ToGroup, [=, this] {
        report(from, remote ? Now + intervals.ToRemotePeers -
                                  intervals.ToGroup * 3 / 2
                            : nextRemoteAt);
      });
    });
  }

  void post(std::size_t from, const std::vector<HostId> &peers,
            const LoadReport &report) {
    for (const HostId &it : peers) {
      const std::size_t to = std::stoul(it.Text.substr(5)) - 1'000;
      if ((Cut[from] > Now) != (Cut[to] > Now)) {
        continue;
      }
      schedule(Now + seconds(0.001 + 0.02 * draw()), [this, from, to, report] {
        whenAwake(to, [this, from, to, report] {
          Routers[to].receiveReport(View->Routers[from].Host, report, Now);
        });
      });
    }
  }

  CapacityLoad Load;
  std::mt19937 Random;
  Time Now{};
  std::shared_ptr<FleetView> View = std::make_shared<FleetView>();
  std::vector<Dispatcher> Routers;
  std::vector<Time> FreeAt;
  std::vector<Time> Frozen;
  std::vector<Time> Cut;
  std::vector<double> Capacities;
  std::optional<double> Limit;
  std::map<std::string, double> Asked;
  std::map<std::string, double> Served;
  std::priority_queue<Event> Events;
  std::uint64_t LastEvent = 0;
};

} // namespace nutmegsill::routing
