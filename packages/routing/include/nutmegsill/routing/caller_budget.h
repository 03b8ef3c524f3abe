/// Memory that callers' connections hold: unfinished heads and bodies,
/// pipelined requests, and requests that are being served.
#pragma once

#include "nutmegsill/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace nutmegsill::routing {

struct CallerBudgetPolicy {
  /// Bytes that all callers may hold together.
  std::size_t MaxBytes = 0;
  /// Half-life of what a caller has moved: a caller at the idle timeout of some
  /// seconds has little left, and one whose segment was lost keeps most of it.
  Duration MovedHalfLife = std::chrono::seconds(1);
  /// Bytes that a new caller counts as having moved, so that it is not refused
  /// before it could send: a segment's worth of a fast link.
  double NewCallerBytes = 64.0 * 1024;
  /// Bytes that each caller may hold without a difference: a usual head.
  double FreeBytes = 16.0 * 1024;
  /// Factor by which another caller must hold more, relative to what it moved,
  /// to be refused for one that asks. Without it callers of equal behaviour
  /// would refuse each other in turn, and none would complete.
  double RefusalFactor = 2;
};

/// Bytes that callers may hold on a host with `memoryBytes`: two fifths of what
/// a router at rest (13 MB) and buffered responses (16 MB) leave. The rest is
/// for the connections themselves, exchanges with targets, the small servers
/// and peers.
std::size_t callerBudgetBytes(std::size_t memoryBytes);

/// Not thread-safe.
class CallerBudget {
public:
  using CallerId = std::uint64_t;

  struct Decision {
    /// The caller may hold what it asked for.
    bool Granted = true;
    /// Callers that must be refused at once to make room.
    std::vector<CallerId> Refused;
  };

  explicit CallerBudget(const CallerBudgetPolicy &policy) : Policy(policy) {}

  CallerId add(Time now);
  void remove(CallerId caller);
  /// Makes room for two requests of `bytes`, whatever the policy says: a single
  /// request within the configured limits is always served.
  void setLargestRequest(std::size_t bytes) { LargestRequest = bytes; }
  /// Changes what `caller` holds. It may not take more than is then left, so
  /// that a few large requests leave room for small ones.
  Decision resize(CallerId caller, std::size_t bytes, Time now);
  /// Records bytes that `caller` has sent or taken.
  void recordMoved(CallerId caller, std::size_t bytes, Time now);
  /// A caller whose request is being served is not refused.
  void setServed(CallerId caller, bool served);

  std::size_t heldBytes() const { return HeldBytes; }
  std::size_t maxBytes() const;

private:
  struct Caller {
    std::size_t Held = 0;
    double Moved = 0;
    Time MovedAt{};
    bool Served = false;
  };

  double movedBytes(const Caller &caller, Time now) const;
  /// What the caller holds relative to what it moved recently.
  double excess(const Caller &caller, std::size_t held, Time now) const;

  CallerBudgetPolicy Policy;
  std::map<CallerId, Caller> Callers;
  CallerId LastId = 0;
  std::size_t LargestRequest = 0;
  std::size_t HeldBytes = 0;
};

} // namespace nutmegsill::routing
