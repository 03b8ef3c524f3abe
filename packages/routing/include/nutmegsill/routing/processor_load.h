/// Estimates how much of a host's processor time the callers' requests need.
///
/// The lag of the event loop shows that a small host is saturated only when its
/// requests are late. Connections and requests are counted as they arrive
/// instead, at a cost that is adapted by the lag.
#pragma once

#include "nutmegsill/types.h"

#include <array>
#include <cstddef>

namespace nutmegsill::routing {

struct ProcessorLoadPolicy {
  /// Processor time of a request on a connection of its own, at first: hosts of
  /// 0.084 to 0.12 cores were measured to serve 110 to 150 requests a second.
  Duration RequestCost = std::chrono::microseconds(750);
  /// Bounds of that cost when it is adapted: the cost of a request without
  /// other load is 37 to 55 us.
  Duration MinRequestCost = std::chrono::microseconds(40);
  Duration MaxRequestCost = std::chrono::microseconds(2'000);
  /// Load, as a fraction of the quota, from which the lag shows whether the
  /// cost is right.
  double InformativeLoad = 0.6;
  /// Lag below which the host is calm, and beyond which it is not: a third of
  /// the shortest objective, 150 ms.
  Duration CalmLag = milliseconds(15);
  Duration MaxLag = milliseconds(50);
  /// Factors of the cost after a calm second, and after one with lag. A host
  /// that is calm at a load of 1 or more does less than was estimated: the cost
  /// then falls in proportion, by half at most.
  double CostDecrease = 0.9;
  double MinCostDecrease = 0.5;
  double CostIncrease = 1.2;
  /// Longest wait for processor time that is counted.
  Duration MaxWait = milliseconds(1'000);
};

/// Work is counted in requests: 1 is a plain request on a connection of its
/// own. Not thread-safe.
class ProcessorLoad {
public:
  /// `quota` is the processor time of the host, in cores.
  ProcessorLoad(double quota, ProcessorLoadPolicy policy);

  /// Records work that this host does.
  void addOwn(double work, Time now);
  /// Records work that this host would do if it relayed no connections, of
  /// which it does `done` itself.
  void addRelayed(double work, double done, Time now);
  /// Records the lag of the event loop; call in regular intervals.
  void recordLag(Duration lag, Time now);

  /// How long a request would wait for processor time if all work was done
  /// here.
  Duration expectedWait(Time now);
  void resetWait() { WaitingWork = 0; }
  /// Work of the last second as a fraction of the quota: what this host does,
  /// and what it would do if it relayed no connections.
  double ownLoad(Time now);
  double demandedLoad(Time now);
  /// Whether the last two probes showed that requests wait.
  bool isLagging() const { return LaggingProbes >= 2; }
  /// Requests a second that the quota suffices for.
  double capacity() const { return Quota / toSeconds(Cost); }

private:
  static constexpr std::size_t SlotCount = 10;
  struct Slot {
    double Own = 0;
    double Demanded = 0;
  };
  /// The slot of `now`; clears those that have become too old.
  Slot &slotAt(Time now);
  void drain(Time now);
  void adaptCost(Time now);

  double Quota;
  ProcessorLoadPolicy Policy;
  Duration Cost;
  std::array<Slot, SlotCount> Slots;
  std::int64_t CurrentSlot = 0;
  /// Work that waits in a queue which is served at the quota.
  double WaitingWork = 0;
  Time DrainedAt{};
  Time NextAdaptationAt{};
  Duration HighestLag{0};
  int LaggingProbes = 0;
};

} // namespace nutmegsill::routing
