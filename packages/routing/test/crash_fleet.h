/// Routers in virtual time whose targets are ended by some requests.
#pragma once

#include "nutmegsill/routing/crash_quarantine.h"
#include "nutmegsill/routing/report_recipients.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace nutmegsill::routing {

/// Contact bound of the users' fleets: routers know of what happened before.
constexpr milliseconds ContactBound{3'000};

/// A fleet of routers in virtual time that send requests to targets at random.
/// A deadly request, or one with a deadly part, ends its target, and all
/// requests there whose responses have not lasted are lost.
struct FleetLoad {
  std::size_t Routers = 9;
  std::size_t Engines = 9;
  int PromptsPerSecond = 120;
  double DeadlyShare = 0.05;
  /// Deadly parts, each with the time from which it is deadly.
  std::map<std::uint64_t, Time> Deadly;
  /// Requests that callers repeat and that end each target, each with the time
  /// from which it comes.
  std::map<std::uint64_t, Time> DeadlyRequests;
  /// Fraction of the requests that is each of them.
  double DeadlyRequestShare = 0.03;
  /// Requests have no prompts, and callers repeat sound ones too.
  bool Plain = false;
  /// Targets that a request may be sent to. Callers send a lost one once more.
  int Attempts = 1;
  /// Crashes for other reasons, each of one target.
  double OtherCrashesPerSecond = 0;
  /// Time after which each of the routers restarts, one after the other.
  std::optional<Time> RestartsFrom;
  /// Routers that stand still, and when.
  std::size_t FrozenRouters = 0;
  Time FrozenFrom{};
  Time FrozenUntil{};
  /// Index of the deadly part among the shared parts.
  std::size_t DeadlyPosition = 2;
  /// Times at which a third of the engines ends at once.
  std::vector<Time> ZoneCrashes;
  /// Routers that neither send nor receive reports, and until when.
  std::size_t CutRouters = 0;
  Time CutUntil{};
  double LostReports = 0.05;
  Duration Length = std::chrono::seconds(30);
  unsigned Seed = 1;
};

struct FleetOutcome {
  std::size_t DeadlyCrashes = 0;
  /// Most requests of one deadly cause that routers in touch sent later than
  /// the contact bound after its fifth crash, or the third if it is a request.
  std::size_t LateDeadlySends = 0;
  std::size_t Sound = 0;
  /// Sound requests that were rejected as quarantined.
  std::size_t SoundRejected = 0;
  std::set<std::string> QuarantinedParts;
  std::set<std::string> QuarantinedRequests;
};

class CrashQuarantineFleet {
public:
  explicit CrashQuarantineFleet(FleetLoad load)
      : Load(std::move(load)), Random(Load.Seed) {
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < Load.Routers; ++i) {
      RouterEntry entry;
      entry.Host = HostId{"host-" + std::to_string(1'000 + i)};
      Entries.push_back(entry);
      hosts.push_back(entry.Host);
      Index[entry.Host] = i;
    }
    for (const HostId &it : hosts) {
      Routers.emplace_back(it);
      Routers.back().setRouters(hosts);
      Recipients.push_back(reportRecipients(Entries, it));
    }
    InTouchFrom.resize(Load.Routers);
    Engines.resize(Load.Engines);
  }

  FleetOutcome play() {
    const Duration step = milliseconds(1);
    const ReportIntervals intervals = reportIntervals(Recipients.front());
    const auto isDue = [this](Duration interval) {
      return (Now - Time{}) % interval == Duration{0};
    };
    const Duration toGroup = wholeMs(intervals.ToGroup);
    const Duration toRemote =
        toGroup * (intervals.ToRemotePeers / intervals.ToGroup);
    for (; Now - Time{} < Load.Length; Now += step) {
      deliver();
      disturb();
      if (std::count(Load.ZoneCrashes.begin(), Load.ZoneCrashes.end(), Now) >
          0) {
        for (std::size_t i = 0; i < Engines.size(); i += 3) {
          crash(Engines[i]);
        }
      }
      Due += Load.PromptsPerSecond / 1'000.0;
      for (; Due >= 1; Due -= 1) {
        send();
      }
      for (Engine &it : Engines) {
        serve(it);
      }
      if (isDue(toGroup)) {
        report(isDue(toRemote));
      }
    }
    return Outcome;
  }

private:
  struct Prompt {
    RequestIdentity Identity;
    PromptDescription Description;
    std::size_t Router = 0;
    Time SentAt{};
    bool IsDeadly = false;
    /// The deadly request or parts.
    std::vector<std::uint64_t> DeadlyCauses;
    int Attempts = 0;
    bool IsCallersRepeat = false;
    operator SuspectRequest() const { return {Identity, Description}; }
  };
  struct DeadlyRecord {
    std::size_t Crashes = 0;
    std::optional<Time> BoundAt;
    std::size_t LateSends = 0;
  };
  struct Engine {
    std::int64_t StartedAtMs = 1;
    Time DownUntil{};
    std::deque<Prompt> Prompts;
  };
  struct Message {
    Time At{};
    std::size_t To = 0;
    QuarantineReport Report;
    bool Relayed = false;
  };

  static Duration wholeMs(Duration span) {
    return milliseconds(toMilliseconds(span));
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  std::size_t pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(Random);
  }
  bool isCut(std::size_t router) const {
    return router < Load.CutRouters && Now < Load.CutUntil;
  }
  bool isFrozen(std::size_t router) const {
    return router < Load.FrozenRouters && Now >= Load.FrozenFrom &&
           Now < Load.FrozenUntil;
  }
  bool isInTouch(std::size_t router) const {
    return !isCut(router) && Now >= InTouchFrom[router];
  }

  void disturb() {
    for (std::size_t i = 0; i < Load.FrozenRouters; ++i) {
      if (isFrozen(i)) {
        InTouchFrom[i] = Now + ContactBound;
      }
    }
    if (draw() < Load.OtherCrashesPerSecond / 1'000) {
      Engine &engine = Engines[pick(Engines.size())];
      if (engine.DownUntil <= Now) {
        crash(engine);
      }
    }
    constexpr milliseconds spacing{200};
    if (!Load.RestartsFrom || Now < *Load.RestartsFrom ||
        (Now - *Load.RestartsFrom) % spacing != Duration{0}) {
      return;
    }
    const auto next =
        static_cast<std::size_t>((Now - *Load.RestartsFrom) / spacing);
    if (next < Routers.size()) {
      Routers[next] = CrashQuarantine(Entries[next].Host);
      Routers[next].setRouters(hosts());
      InTouchFrom[next] = Now + ContactBound;
    }
  }

  std::vector<HostId> hosts() const {
    std::vector<HostId> out;
    out.reserve(Entries.size());
    for (const RouterEntry &it : Entries) {
      out.push_back(it.Host);
    }
    return out;
  }

  Prompt makePlainRequest() {
    Prompt out;
    // Callers ask for the same few things, and for some of their own.
    out.Identity = RequestIdentity(draw() < 0.5 ? 1 + pick(60) : ++LastOwnPart);
    return out;
  }

  std::optional<Prompt> makeDeadlyRequest() {
    for (const auto &[identity, from] : Load.DeadlyRequests) {
      if (Now < from || draw() >= Load.DeadlyRequestShare) {
        continue;
      }
      Prompt out;
      out.Identity = RequestIdentity(identity);
      out.IsDeadly = true;
      out.DeadlyCauses = {identity};
      if (!Load.Plain) {
        out.Description.Parts = {
            {1, 500}, {100 + identity % 7, 500}, {identity, 500}};
      }
      return out;
    }
    return std::nullopt;
  }

  Prompt makePrompt() {
    // A few parts that many prompts share, rarer ones after them, and one that
    // belongs to the prompt.
    std::vector<std::uint64_t> parts{1 + pick(4), 100 + pick(150)};
    Prompt out;
    for (const auto &[part, from] : Load.Deadly) {
      if (!out.IsDeadly && Now >= from && draw() < Load.DeadlyShare) {
        out.IsDeadly = true;
        out.DeadlyCauses.push_back(part);
        parts.insert(parts.begin() +
                         static_cast<std::ptrdiff_t>(Load.DeadlyPosition),
                     part);
      }
    }
    parts.push_back(++LastOwnPart);
    out.Identity = RequestIdentity(LastOwnPart);
    for (const std::uint64_t it : parts) {
      out.Description.Parts.push_back({it, 500});
    }
    return out;
  }

  void send() {
    std::optional<Prompt> deadly = makeDeadlyRequest();
    const bool plain = Load.Plain;
    Prompt prompt = deadly  ? *deadly
                    : plain ? makePlainRequest()
                            : makePrompt();
    accept(std::move(prompt));
  }

  /// A caller's request comes to any router.
  void accept(Prompt prompt) {
    prompt.Router = pick(Routers.size());
    prompt.Attempts = 0;
    Outcome.Sound += prompt.IsDeadly ? 0 : 1;
    if (!isFrozen(prompt.Router)) {
      attempt(std::move(prompt));
    }
  }

  void attempt(Prompt prompt) {
    CrashQuarantine &router = Routers[prompt.Router];
    if (router.findQuarantined(prompt, Now)) {
      Outcome.SoundRejected += prompt.IsDeadly ? 0 : 1;
      return;
    }
    Engine &engine = Engines[pick(Engines.size())];
    if (engine.DownUntil > Now) {
      return;
    }
    router.recordSent(prompt, Now);
    for (const std::uint64_t it : prompt.DeadlyCauses) {
      DeadlyRecord &record = Records[it];
      const bool late = record.BoundAt && Now > *record.BoundAt;
      record.LateSends += late && isInTouch(prompt.Router) ? 1 : 0;
      Outcome.LateDeadlySends =
          std::max(Outcome.LateDeadlySends, record.LateSends);
    }
    prompt.SentAt = Now;
    ++prompt.Attempts;
    engine.Prompts.push_back(std::move(prompt));
  }

  /// With a prompt, the first event comes after 100 ms, and the response has
  /// lasted after 350 ms.
  void serve(Engine &engine) {
    const Duration crashTime = milliseconds(Load.Plain ? 10 : 100);
    const Duration lastingTime = milliseconds(Load.Plain ? 15 : 350);
    for (const Prompt &it : engine.Prompts) {
      if (it.IsDeadly && Now - it.SentAt >= crashTime) {
        ++Outcome.DeadlyCrashes;
        for (const std::uint64_t cause : it.DeadlyCauses) {
          DeadlyRecord &record = Records[cause];
          const bool isRequest = Load.DeadlyRequests.count(cause) > 0;
          if (++record.Crashes == (isRequest ? 3U : 5U)) {
            record.BoundAt = Now + ContactBound;
          }
        }
        crash(engine);
        return;
      }
    }
    while (!engine.Prompts.empty() &&
           Now - engine.Prompts.front().SentAt >= lastingTime) {
      const Prompt &it = engine.Prompts.front();
      if (!isFrozen(it.Router)) {
        Routers[it.Router].recordSurvival(it, it.SentAt, Now);
      }
      engine.Prompts.pop_front();
    }
  }

  void crash(Engine &engine) {
    const std::size_t index = static_cast<std::size_t>(&engine - &Engines[0]);
    const TargetProcess process{TargetId{"e-" + std::to_string(index)},
                                engine.StartedAtMs};
    const std::deque<Prompt> lost = std::exchange(engine.Prompts, {});
    engine.StartedAtMs += 1;
    engine.DownUntil = Now + std::chrono::seconds(3);
    for (const Prompt &it : lost) {
      if (!isFrozen(it.Router)) {
        lose(it, process);
      }
    }
  }

  void lose(const Prompt &prompt, const TargetProcess &process) {
    CrashQuarantine &router = Routers[prompt.Router];
    router.recordLoss(prompt, process, prompt.SentAt, Now);
    if (prompt.Attempts < Load.Attempts && router.mayRepeat(prompt, Now)) {
      attempt(prompt);
    } else if (Load.Attempts > 1 && !prompt.IsCallersRepeat) {
      Prompt repeated = prompt;
      repeated.IsCallersRepeat = true;
      Later.push_back({Now + milliseconds(150), std::move(repeated)});
    }
  }

  void report(bool forRemotePeers) {
    for (std::size_t i = 0; i < Routers.size(); ++i) {
      if (isFrozen(i)) {
        continue;
      }
      Routers[i].update(Now);
      collectChanges(Routers[i]);
      post(i, Recipients[i].GroupPeers, Routers[i].takeOwnReport(Now), true);
      if (forRemotePeers) {
        post(i, Recipients[i].RemotePeers, Routers[i].takeGroupReport(Now),
             false);
      }
    }
  }

  void post(std::size_t from, const std::vector<HostId> &peers,
            const QuarantineReport &report, bool relayed) {
    if (report.isEmpty()) {
      return;
    }
    for (const HostId &it : peers) {
      const std::size_t to = Index.at(it);
      if (!isCut(from) && !isCut(to) && draw() >= Load.LostReports) {
        const Duration delay = milliseconds(1 + pick(20));
        Messages.push_back({Now + delay, to, report, relayed});
      }
    }
  }

  void deliver() {
    std::vector<std::pair<Time, Prompt>> due = std::exchange(Later, {});
    for (auto &[at, prompt] : due) {
      if (at > Now) {
        Later.push_back({at, std::move(prompt)});
      } else {
        accept(std::move(prompt));
      }
    }
    std::vector<Message> later;
    for (Message &it : Messages) {
      if (it.At > Now || isFrozen(it.To)) {
        later.push_back(std::move(it));
      } else {
        Routers[it.To].receive(it.Report, it.Relayed, Now);
      }
    }
    Messages = std::move(later);
  }

  void collectChanges(CrashQuarantine &router) {
    for (const FleetChange &it : router.takeChanges()) {
      if (it.Event == "prompt_part_quarantined") {
        Outcome.QuarantinedParts.insert(it.Fields.front().second);
      } else if (it.Event == "request_quarantined") {
        Outcome.QuarantinedRequests.insert(it.Fields.front().second);
      }
    }
  }

  FleetLoad Load;
  std::mt19937 Random;
  Time Now{};
  double Due = 0;
  std::uint64_t LastOwnPart = 1'000'000;
  std::vector<RouterEntry> Entries;
  std::map<HostId, std::size_t> Index;
  std::vector<CrashQuarantine> Routers;
  std::vector<ReportRecipients> Recipients;
  std::vector<Engine> Engines;
  std::vector<Message> Messages;
  std::vector<std::pair<Time, Prompt>> Later;
  std::map<std::uint64_t, DeadlyRecord> Records;
  /// Time from which each router has had contact for long enough.
  std::vector<Time> InTouchFrom;
  FleetOutcome Outcome;
};

} // namespace nutmegsill::routing
