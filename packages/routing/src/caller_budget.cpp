#include "nutmegsill/routing/caller_budget.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace nutmegsill::routing {

namespace {

/// Memory of a router at rest, and of the responses that it buffers.
constexpr std::size_t OtherBytes = 29U << 20U;

} // namespace

std::size_t callerBudgetBytes(std::size_t memoryBytes) {
  return memoryBytes > OtherBytes ? (memoryBytes - OtherBytes) / 5 * 2 : 0;
}

std::size_t CallerBudget::maxBytes() const {
  return std::max(Policy.MaxBytes, 2 * LargestRequest);
}

CallerBudget::CallerId CallerBudget::add(Time now) {
  Callers[++LastId] = Caller{0, Policy.NewCallerBytes, now, false};
  return LastId;
}

void CallerBudget::remove(CallerId caller) {
  const auto it = Callers.find(caller);
  if (it != Callers.end()) {
    HeldBytes -= it->second.Held;
    Callers.erase(it);
  }
}

double CallerBudget::movedBytes(const Caller &caller, Time now) const {
  const double halfLives = std::max(0.0, toSeconds(now - caller.MovedAt)) /
                           toSeconds(Policy.MovedHalfLife);
  return caller.Moved * std::exp2(-halfLives);
}

double CallerBudget::excess(const Caller &caller, std::size_t held,
                            Time now) const {
  return static_cast<double>(held) /
         (movedBytes(caller, now) + Policy.FreeBytes);
}

void CallerBudget::recordMoved(CallerId caller, std::size_t bytes, Time now) {
  const auto it = Callers.find(caller);
  if (it != Callers.end()) {
    it->second.Moved = movedBytes(it->second, now) + static_cast<double>(bytes);
    it->second.MovedAt = now;
  }
}

void CallerBudget::setServed(CallerId caller, bool served) {
  const auto it = Callers.find(caller);
  if (it != Callers.end()) {
    it->second.Served = served;
  }
}

CallerBudget::Decision CallerBudget::resize(CallerId caller, std::size_t bytes,
                                            Time now) {
  Decision out;
  const auto it = Callers.find(caller);
  if (it == Callers.end()) {
    out.Granted = false;
    return out;
  }
  Caller &own = it->second;
  std::size_t others = HeldBytes - own.Held;
  const auto fits = [&] { return others + 2 * bytes <= maxBytes(); };
  if (bytes > own.Held && !fits()) {
    const double limit = Policy.RefusalFactor * excess(own, bytes, now);
    std::vector<std::pair<double, CallerId>> candidates;
    for (const auto &[id, other] : Callers) {
      const double otherExcess = excess(other, other.Held, now);
      if (id != caller && !other.Served && otherExcess > limit) {
        candidates.emplace_back(otherExcess, id);
      }
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    std::size_t freed = 0;
    std::size_t needed = others + 2 * bytes - maxBytes();
    for (const auto &[otherExcess, id] : candidates) {
      if (freed >= needed) {
        break;
      }
      freed += Callers[id].Held;
      out.Refused.push_back(id);
    }
    if (freed < needed) {
      return {false, {}};
    }
    for (const CallerId id : out.Refused) {
      HeldBytes -= std::exchange(Callers[id].Held, std::size_t{0});
    }
    others = HeldBytes - own.Held;
  }
  HeldBytes = others + bytes;
  own.Held = bytes;
  return out;
}

} // namespace nutmegsill::routing
