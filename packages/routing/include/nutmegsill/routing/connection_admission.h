/// Decides which of the new connections a router serves.
///
/// Answers the load of callers that open more connections to one router than
/// its host bears. Requests on the connections in use keep their pace. Of the
/// new connections the youngest are taken, whose callers have waited least; one
/// that has waited too long is closed before it is read, which tells its caller
/// that nothing ran, and costs less than a response.
#pragma once

#include "nutmegsill/types.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

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
  /// Longest wait of a connection: a fraction of the shortest latency
  /// objectives, of which the target needs most.
  Duration MaxWait = milliseconds(100);
  /// Longest time in which no connection is taken: well under the shortest
  /// contact bound, 3 s.
  Duration MaxPause = milliseconds(500);
};

/// Not thread-safe.
template <class Connection> class ConnectionAdmission {
public:
  struct Decision {
    std::vector<Connection> Admitted;
    std::vector<Connection> Refused;
  };

  explicit ConnectionAdmission(ConnectionAdmissionPolicy policy)
      : Policy(policy), Limit(policy.InitialLimit) {}

  /// Adds a connection that has been accepted; call `decide` after it.
  void add(Connection connection, Time now) {
    Waiting.emplace_back(now, std::move(connection));
  }
  /// Records the event loop's lag and adapts the limit; call in regular
  /// intervals.
  void recordLag(Duration lag) {
    if (lag > Policy.MaxLag) {
      Limit = std::min(Limit, static_cast<double>(AdmittedSinceProbe)) *
              Policy.LimitDecrease;
    } else if (lag <= Policy.CalmLag) {
      Limit = std::min(Policy.InitialLimit, Limit + Policy.LimitIncrease);
    }
    AdmittedSinceProbe = 0;
  }
  /// Removes the connections that are to be served, youngest first, and those
  /// that are to be closed.
  Decision decide(Time now) {
    Decision out;
    while (!Waiting.empty() && mayAdmit(now)) {
      out.Admitted.push_back(std::move(Waiting.back().second));
      Waiting.pop_back();
      ++AdmittedSinceProbe;
      LastAdmissionAt = now;
    }
    while (!Waiting.empty() && now - Waiting.front().first >= Policy.MaxWait) {
      out.Refused.push_back(std::move(Waiting.front().second));
      Waiting.pop_front();
    }
    return out;
  }

private:
  bool mayAdmit(Time now) const {
    return static_cast<double>(AdmittedSinceProbe) + 1 <= Limit ||
           now - LastAdmissionAt >= Policy.MaxPause;
  }

  ConnectionAdmissionPolicy Policy;
  /// Connections that may be taken until the next probe.
  double Limit;
  std::size_t AdmittedSinceProbe = 0;
  Time LastAdmissionAt{};
  std::deque<std::pair<Time, Connection>> Waiting;
};

} // namespace nutmegsill::routing
