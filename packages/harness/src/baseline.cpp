#include "baseline.h"

#include <deque>

namespace nutmegsill::harness {

namespace {

struct WaitingCall {
  std::size_t Load = 0;
  Cost Work;
  Time SubmittedAt;
};

/// A set of slots with one queue.
struct Station {
  std::uint32_t Slots = 0;
  std::uint32_t Used = 0;
  std::deque<WaitingCall> Queue;
};

class Baseline {
public:
  Baseline(BaselineKind kind, const std::vector<HostId> &entries,
           const std::vector<TeamLoad> &loads, std::uint32_t slots,
           Duration unitTime, std::uint64_t seed)
      : Loads(loads), UnitTime(unitTime), Random(seed),
        NextEntry(loads.size(), 0), Shared(kind == BaselineKind::FirstCome) {
    if (Shared) {
      Stations[{HostId{}, 0}].Slots = slots;
      return;
    }
    std::uint32_t weights = 0;
    for (const TeamLoad &load : loads) {
      weights += load.Weight;
    }
    const std::uint32_t perEntry =
        slots / static_cast<std::uint32_t>(entries.size());
    for (const HostId &entry : entries) {
      for (std::size_t i = 0; i < loads.size(); ++i) {
        // Rounded up, which favours this baseline.
        Stations[{entry, i}].Slots =
            (perEntry * loads[i].Weight + weights - 1) / weights;
      }
    }
  }

  Report run(Time until, std::uint32_t slots);

private:
  struct Scheduled {
    Time At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const Scheduled &o) const {
      return std::tie(At, Order) > std::tie(o.At, o.Order);
    }
  };

  void at(Time time, std::function<void()> action) {
    Queue.push(Scheduled{time, ++LastOrder, std::move(action)});
  }
  void send(std::size_t load);
  void sendAtRate(std::size_t load);
  void serve(Station &station);

  const std::vector<TeamLoad> &Loads;
  Duration UnitTime;
  std::mt19937_64 Random;
  std::vector<std::size_t> NextEntry;
  bool Shared;
  Time Now;
  std::uint64_t LastOrder = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> Queue;
  std::map<std::pair<HostId, std::size_t>, Station> Stations;
  History Seen;
  std::map<TeamId, std::vector<double>> Waits;
};

void Baseline::send(std::size_t index) {
  const TeamLoad &load = Loads[index];
  const HostId &entry = load.Entries[NextEntry[index]++ % load.Entries.size()];
  const std::uint64_t span =
      static_cast<std::uint64_t>(load.Most.Units - load.Least.Units + 1);
  const Cost work{load.Least.Units +
                  static_cast<std::int64_t>(Random() % span)};
  Station &station =
      Shared ? Stations[{HostId{}, 0}] : Stations[{entry, index}];
  station.Queue.push_back(WaitingCall{index, work, Now});
  serve(station);
}

void Baseline::sendAtRate(std::size_t index) {
  send(index);
  const double mean = 1e6 / Loads[index].Rate;
  const double part = 0.5 + static_cast<double>(Random() % 1000) / 1000.0;
  at(Now + Duration(static_cast<std::int64_t>(mean * part)),
     [this, index] { sendAtRate(index); });
}

void Baseline::serve(Station &station) {
  while (station.Used < station.Slots && !station.Queue.empty()) {
    const WaitingCall call = station.Queue.front();
    station.Queue.pop_front();
    ++station.Used;
    const TeamLoad &load = Loads[call.Load];
    Waits[load.Team].push_back(
        static_cast<double>((Now - call.SubmittedAt).count()) / 1000.0);
    at(Now + UnitTime * call.Work.Units, [this, &station, call] {
      --station.Used;
      const TeamLoad &done = Loads[call.Load];
      Seen.Services.push_back(
          ServiceRecord{PoolId{}, done.Team, call.Work, Now});
      if (done.Outstanding > 0) {
        send(call.Load);
      }
      serve(station);
    });
  }
}

Report Baseline::run(Time until, std::uint32_t slots) {
  for (std::size_t i = 0; i < Loads.size(); ++i) {
    for (std::uint32_t n = 0; n < Loads[i].Outstanding; ++n) {
      at(Now, [this, i] { send(i); });
    }
    if (Loads[i].Rate > 0) {
      at(Now, [this, i] { sendAtRate(i); });
    }
  }
  while (!Queue.empty() && Queue.top().At <= until) {
    const Scheduled next = Queue.top();
    Queue.pop();
    Now = next.At;
    next.Action();
  }
  Report report;
  std::map<TeamId, std::uint32_t> weights;
  std::int64_t done = 0;
  for (const TeamLoad &load : Loads) {
    if (load.Outstanding > 0) {
      weights[load.Team] = load.Weight;
    }
    report.Teams[load.Team].Wait = percentilesOf(Waits[load.Team]);
  }
  for (const ServiceRecord &it : Seen.Services) {
    report.Teams[it.Team].Service.Units += it.Work.Units;
    done += it.Work.Units;
  }
  report.Gap = largestGap(Seen, PoolId{}, weights, Time(), until);
  const Duration used = UnitTime * done;
  const Duration all = until.time_since_epoch() * slots;
  report.Idle = 1.0 - static_cast<double>(used.count()) /
                          static_cast<double>(all.count());
  return report;
}

} // namespace

Report runBaseline(BaselineKind kind, const std::vector<HostId> &entries,
                   const std::vector<TeamLoad> &loads, std::uint32_t slots,
                   Duration unitTime, std::uint64_t seed, Time until) {
  Baseline baseline(kind, entries, loads, slots, unitTime, seed);
  return baseline.run(until, slots);
}

} // namespace nutmegsill::harness
