/// Decides how many new connections a router takes.
///
/// Answers the load of callers that open more connections to one router than
/// its host bears. Requests on the connections in use keep their pace. What
/// is not taken is refused by the system, before the router accepts it: to
/// accept and close thousands of connections a second takes more processor
/// time than a small host has, and their callers come back at once.
#pragma once

#include "nutmegsill/types.h"

namespace nutmegsill::routing {

struct ConnectionAdmissionPolicy {
  /// Lag of the event loop up to which more connections are taken than before,
  /// and beyond which fewer are.
  Duration CalmLag = milliseconds(15);
  Duration MaxLag = milliseconds(40);
  /// Connections taken in one interval of the lag's probes: at first, and the
  /// changes of that limit (additive increase, multiplicative decrease).
  double InitialLimit = 1'000;
  double LimitIncrease = 1;
  double LimitDecrease = 0.7;
  /// Lag beyond which the limit falls in proportion: a flood that begins would
  /// otherwise be taken for several intervals.
  Duration SevereLag = milliseconds(100);
  /// Longest time in which no connection is taken: well under the shortest
  /// contact bound, 3 s.
  Duration MaxPause = milliseconds(500);
};

/// Not thread-safe.
class ConnectionAdmission {
public:
  explicit ConnectionAdmission(ConnectionAdmissionPolicy policy)
      : Policy(policy), Limit(policy.InitialLimit) {}

  /// Whether another connection may be taken now.
  bool mayAdmit(Time now) const {
    return static_cast<double>(AdmittedSinceProbe) + 1 <= Limit ||
           now - LastAdmissionAt >= Policy.MaxPause;
  }
  void recordAdmission(Time now);
  /// Records that a connection could not be taken.
  void recordExhaustion() { Exhausted = true; }
  /// Whether connections are refused instead of waiting for the next probe:
  /// those of the last interval had to wait too.
  bool refuses() const { return Exhausted && WasExhausted; }
  /// Records the event loop's lag and adapts the limit; call in regular
  /// intervals, the probes.
  void recordLag(Duration lag);

private:
  ConnectionAdmissionPolicy Policy;
  /// Connections that may be taken until the next probe.
  double Limit;
  std::size_t AdmittedSinceProbe = 0;
  Time LastAdmissionAt{};
  /// The limit kept connections waiting since the last probe, and in the
  /// interval before it.
  bool Exhausted = false;
  bool WasExhausted = false;
};

} // namespace nutmegsill::routing
