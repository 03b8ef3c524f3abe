#include "nutmegsill/routing/processor_load.h"

#include <algorithm>

namespace nutmegsill::routing {

namespace {

constexpr Duration SlotLength = milliseconds(100);
/// The smallest quota: keeps the capacity above zero.
constexpr double MinQuota = 0.001;
constexpr Duration AdaptationInterval = milliseconds(1'000);

} // namespace

ProcessorLoad::ProcessorLoad(double quota, ProcessorLoadPolicy policy)
    : Quota(std::max(quota, MinQuota)), Policy(policy),
      Cost(policy.RequestCost) {}

ProcessorLoad::Slot &ProcessorLoad::slotAt(Time now) {
  const std::int64_t slot = now.time_since_epoch() / SlotLength;
  if (slot - CurrentSlot >= static_cast<std::int64_t>(SlotCount)) {
    Slots = {};
    CurrentSlot = slot;
  }
  while (CurrentSlot < slot) {
    ++CurrentSlot;
    Slots[static_cast<std::size_t>(CurrentSlot) % SlotCount] = {};
  }
  return Slots[static_cast<std::size_t>(CurrentSlot) % SlotCount];
}

void ProcessorLoad::drain(Time now) {
  const double drained = toSeconds(now - DrainedAt) * capacity();
  WaitingWork = std::max(0.0, WaitingWork - std::max(0.0, drained));
  DrainedAt = std::max(DrainedAt, now);
}

void ProcessorLoad::addRelayed(double work, double done, Time now) {
  Slot &slot = slotAt(now);
  slot.Own += done;
  slot.Demanded += work;
  drain(now);
  WaitingWork =
      std::min(WaitingWork + work, toSeconds(Policy.MaxWait) * capacity());
}

void ProcessorLoad::addOwn(double work, Time now) {
  addRelayed(work, work, now);
}

Duration ProcessorLoad::expectedWait(Time now) {
  drain(now);
  return Duration(static_cast<std::int64_t>(WaitingWork / capacity() * 1e6));
}

double ProcessorLoad::ownLoad(Time now) {
  slotAt(now);
  double sum = 0;
  for (const Slot &it : Slots) {
    sum += it.Own;
  }
  return sum / capacity();
}

double ProcessorLoad::demandedLoad(Time now) {
  slotAt(now);
  double sum = 0;
  for (const Slot &it : Slots) {
    sum += it.Demanded;
  }
  return sum / capacity();
}

void ProcessorLoad::recordLag(Duration lag, Time now) {
  LaggingProbes = lag > Policy.MaxLag ? LaggingProbes + 1 : 0;
  HighestLag = std::max(HighestLag, lag);
  if (now >= NextAdaptationAt) {
    adaptCost(now);
    NextAdaptationAt = now + AdaptationInterval;
    HighestLag = Duration{0};
  }
}

void ProcessorLoad::adaptCost(Time now) {
  const double load = ownLoad(now);
  double factor = 1;
  if (load >= Policy.InformativeLoad && HighestLag <= Policy.CalmLag) {
    factor = std::clamp(Policy.CostDecrease / load, Policy.MinCostDecrease,
                        Policy.CostDecrease);
  } else if (load < Policy.InformativeLoad && load > 0.1 && isLagging()) {
    factor = Policy.CostIncrease;
  }
  const Duration cost(
      static_cast<std::int64_t>(static_cast<double>(Cost.count()) * factor));
  Cost = std::clamp(cost, Policy.MinRequestCost, Policy.MaxRequestCost);
}

} // namespace nutmegsill::routing
