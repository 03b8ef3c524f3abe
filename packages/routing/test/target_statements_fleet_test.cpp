#include "nutmegsill/routing/report_recipients.h"
#include "nutmegsill/routing/target_statements.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

namespace nutmegsill::routing {

namespace {

/// Window and factor of the users' bound on what a limited target gets, and
/// the requests beyond.
constexpr std::chrono::seconds BoundWindow{4};
constexpr double BoundFactor = 1.5;
constexpr double BoundExtra = 5;

/// Routers in virtual time that send requests to targets with limits. Each
/// target is the first choice of the same number of requests; a request that
/// may not be sent there tries one other target.
struct LimitLoad {
  std::size_t Routers = 9;
  std::size_t Targets = 9;
  double Rate = 5;
  /// Requests per second to each target, relative to `Rate`.
  double Demand = 3;
  /// Fraction of the requests that come to one router.
  double HotShare = 0;
  /// Time after which another router gets `HotShare`.
  Duration HotTurn = std::chrono::seconds(3);
  /// Routers that neither send nor receive reports while cut off, nor are
  /// judged.
  std::size_t CutRouters = 0;
  /// Time at which the routers restart one after the other.
  std::optional<Duration> RestartsFrom;
  double LostReports = 0.05;
  Duration Length = std::chrono::seconds(20);
  /// Time at which the targets begin to state their limits.
  Duration StatedFrom = std::chrono::seconds(1);
  unsigned Seed = 1;
};

struct LimitOutcome {
  /// Most requests that a target got in any window, of those sent from half a
  /// second after the router had heard of the limit.
  std::ptrdiff_t MostInWindow = 0;
  /// The same of all requests in the second half.
  std::ptrdiff_t MostLater = 0;
  /// Requests sent to all targets in the second half, relative to their limits.
  double UsedFraction = 0;
};

class LimitedFleet {
public:
  explicit LimitedFleet(LimitLoad load) : Load(load), Random(Load.Seed) {
    for (std::size_t i = 0; i < Load.Routers; ++i) {
      RouterEntry entry;
      entry.Host = HostId{"host-" + std::to_string(1'000 + i)};
      Entries.push_back(entry);
      Index[entry.Host] = i;
    }
    for (std::size_t i = 0; i < Load.Targets; ++i) {
      Processes.push_back({TargetId{"t-" + std::to_string(i)}, 1});
    }
    Statements.assign(Load.Routers, TargetStatements(HostId{}));
    HeardAt.resize(Load.Routers);
    for (std::size_t i = 0; i < Load.Routers; ++i) {
      start(i);
      Recipients.push_back(reportRecipients(Entries, Entries[i].Host));
    }
    Arrivals.resize(Load.Targets);
    Judged.resize(Load.Targets);
  }

  LimitOutcome play() {
    const ReportIntervals intervals = reportIntervals(Recipients.front());
    const Duration toGroup = wholeMs(intervals.ToGroup);
    const Duration toRemote =
        toGroup * (intervals.ToRemotePeers / intervals.ToGroup);
    for (; Now - Time{} < Load.Length; Now += milliseconds(1)) {
      deliver();
      restart();
      Due += Load.Demand * Load.Rate * static_cast<double>(Load.Targets) / 1e3;
      for (; Due >= 1; Due -= 1) {
        request();
      }
      for (std::size_t i = 0; i < Load.Routers; ++i) {
        // Routers report at different times.
        const Duration phase = milliseconds(i * 7);
        if ((Now - Time{} + phase) % toGroup == Duration{0}) {
          report(i, (Now - Time{} + phase) % toRemote == Duration{0});
        }
      }
    }
    return outcome();
  }

private:
  struct Message {
    Time At{};
    std::function<void()> Receive;
  };

  static Duration wholeMs(Duration span) {
    return milliseconds(toMilliseconds(span));
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(Random);
  }
  bool isCut(std::size_t router) const { return router < Load.CutRouters; }

  void start(std::size_t router) {
    Statements[router] = TargetStatements(Entries[router].Host);
    Statements[router].setFleet({Processes.begin(), Processes.end()},
                                Load.Routers, Now);
    HeardAt[router].assign(Load.Targets, std::nullopt);
  }

  void restart() {
    if (!Load.RestartsFrom) {
      return;
    }
    const Duration since = Now - Time{} - *Load.RestartsFrom;
    constexpr milliseconds spacing{500};
    if (since >= Duration{0} && since % spacing == Duration{0}) {
      const std::size_t next = static_cast<std::size_t>(since / spacing);
      if (next < Load.Routers) {
        start(next);
      }
    }
  }

  void request() {
    std::size_t router = pick(Load.Routers);
    if (draw() < Load.HotShare) {
      router = static_cast<std::size_t>((Now - Time{}) / Load.HotTurn) %
               Load.Routers;
    }
    const std::size_t first = pick(Load.Targets);
    if (!send(router, first)) {
      send(router, pick(Load.Targets));
    }
  }

  bool send(std::size_t router, std::size_t target) {
    if (!Statements[router].offer(Processes[target], Now)) {
      return false;
    }
    const std::optional<Time> &heard = HeardAt[router][target];
    const bool judged =
        heard && Now - *heard >= milliseconds(500) && !isCut(router);
    if (judged) {
      Judged[target].push_back(Now);
    }
    Arrivals[target].push_back(Now);
    if (Now - Time{} < Load.StatedFrom) {
      return true;
    }
    const Duration responseTime = milliseconds(20 + pick(200));
    Messages.push_back(
        {Now + responseTime, [this, router, target, sentAt = Now] {
           TargetStatement statement;
           statement.RequestRate = Load.Rate;
           Statements[router].hear(Processes[target], statement, sentAt, Now);
           HeardAt[router][target] = HeardAt[router][target].value_or(Now);
         }});
    return true;
  }

  void report(std::size_t router, bool forRemotePeers) {
    const std::vector<StatementReport> own = Statements[router].ownReport(Now);
    post(router, Recipients[router].GroupPeers, own);
    if (forRemotePeers) {
      post(router, Recipients[router].RemotePeers,
           Statements[router].groupReport(own, Recipients[router].GroupPeers,
                                          Now));
    }
  }

  void post(std::size_t from, const std::vector<HostId> &peers,
            const std::vector<StatementReport> &report) {
    for (const HostId &it : peers) {
      const std::size_t to = Index.at(it);
      if (isCut(from) || isCut(to) || draw() < Load.LostReports) {
        continue;
      }
      Messages.push_back(
          {Now + milliseconds(1 + pick(20)), [this, from, to, report] {
             Statements[to].receive(Entries[from].Host, report, Now);
           }});
    }
  }

  void deliver() {
    std::vector<Message> due;
    std::vector<Message> later;
    for (Message &it : Messages) {
      (it.At > Now ? later : due).push_back(std::move(it));
    }
    Messages = std::move(later);
    for (const Message &it : due) {
      it.Receive();
    }
  }

  static std::ptrdiff_t mostInWindow(const std::vector<Time> &times,
                                     Time from) {
    std::ptrdiff_t most = 0;
    for (auto it = std::lower_bound(times.begin(), times.end(), from);
         it != times.end(); ++it) {
      const auto end = std::upper_bound(it, times.end(), *it + BoundWindow);
      most = std::max(most, end - it);
    }
    return most;
  }

  LimitOutcome outcome() const {
    LimitOutcome out;
    const Time half = Time{} + Load.Length / 2;
    double used = 0;
    for (std::size_t i = 0; i < Load.Targets; ++i) {
      const std::vector<Time> &all = Arrivals[i];
      out.MostInWindow =
          std::max(out.MostInWindow, mostInWindow(Judged[i], Time{}));
      out.MostLater = std::max(out.MostLater, mostInWindow(all, half));
      used += static_cast<double>(
          all.end() - std::lower_bound(all.begin(), all.end(), half));
    }
    out.UsedFraction = used / (Load.Rate * toSeconds(Load.Length / 2) *
                               static_cast<double>(Load.Targets));
    return out;
  }

  LimitLoad Load;
  std::mt19937 Random;
  Time Now{};
  double Due = 0;
  std::vector<RouterEntry> Entries;
  std::map<HostId, std::size_t> Index;
  std::vector<ReportRecipients> Recipients;
  std::vector<TargetProcess> Processes;
  std::vector<TargetStatements> Statements;
  /// When each router first heard of each target's limit.
  std::vector<std::vector<std::optional<Time>>> HeardAt;
  std::vector<std::vector<Time>> Arrivals;
  /// Of those, the ones that count against the users' bound.
  std::vector<std::vector<Time>> Judged;
  std::vector<Message> Messages;
};

} // namespace

class TargetStatementsFleetFixture {
protected:
  static LimitLoad load(std::size_t routers, double rate) {
    LimitLoad out;
    out.Routers = routers;
    out.Targets = routers == 9 ? 9 : 30;
    out.Rate = rate;
    out.Length = std::chrono::seconds(routers == 300 ? 10 : 20);
    return out;
  }
  static LimitOutcome checkBound(const LimitLoad &load) {
    const LimitOutcome out = LimitedFleet(load).play();
    const double bound =
        BoundFactor * load.Rate * toSeconds(BoundWindow) + BoundExtra;
    CAPTURE(load.Routers, load.Rate, load.Demand, load.HotShare, load.Seed);
    CHECK(static_cast<double>(out.MostInWindow) <= bound);
    CHECK(static_cast<double>(out.MostLater) <= bound);
    return out;
  }
};

// Guards against targets that get more than the limit that they state.
TEST_CASE_METHOD(TargetStatementsFleetFixture,
                 "target_statements_fleet_keeps_within_limit_and_uses_it") {
  for (const std::size_t routers : {9U, 75U, 300U}) {
    for (const double rate : {1.0, 5.0}) {
      LimitLoad it = load(routers, rate);
      CHECK(checkBound(it).UsedFraction >= 0.7);
      it.HotShare = 0.7;
      CHECK(checkBound(it).UsedFraction >= 0.7);
    }
  }
}

TEST_CASE_METHOD(TargetStatementsFleetFixture,
                 "target_statements_demand_below_limit_is_served") {
  for (const std::size_t routers : {9U, 75U}) {
    LimitLoad it = load(routers, 6);
    it.Demand = 0.5;
    CHECK(checkBound(it).UsedFraction >= 0.45);
  }
}

TEST_CASE_METHOD(TargetStatementsFleetFixture,
                 "target_statements_routers_that_restart_keep_within_limit") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    LimitLoad it = load(9, 3);
    it.Seed = seed;
    it.RestartsFrom = std::chrono::seconds(6);
    checkBound(it);
  }
}

TEST_CASE_METHOD(TargetStatementsFleetFixture,
                 "target_statements_routers_cut_from_peers_are_borne") {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    LimitLoad it = load(9, 3);
    it.Seed = seed;
    it.CutRouters = 3;
    checkBound(it);
  }
}

TEST_CASE_METHOD(TargetStatementsFleetFixture,
                 "target_statements_half_of_reports_lost_keeps_within_limit") {
  for (const std::size_t routers : {9U, 75U}) {
    LimitLoad it = load(routers, 4);
    it.LostReports = 0.5;
    checkBound(it);
  }
}

} // namespace nutmegsill::routing
