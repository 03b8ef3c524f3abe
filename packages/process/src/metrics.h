/// Metrics of one router, scraped from its metrics address.
#pragma once

#include <memory>
#include <string>

namespace nutmegsill {

/// Thread-safe.
class Metrics {
public:
  /// Serves the metrics at "IP:port"; returns null and sets `reason` on
  /// failure.
  static std::unique_ptr<Metrics> start(const std::string &address,
                                        std::string &reason);
  ~Metrics();

  /// Counts a message and its bytes; `direction` is "sent" to or "received"
  /// from a peer.
  void countPeerMessage(const std::string &type, const std::string &direction,
                        std::size_t bytes);
  void countDroppedPeerMessage(const std::string &reason);
  void countPlatformCall(const std::string &type, const std::string &result);
  /// Records a caller's request that ended after `seconds`; `semantics` names
  /// the execution semantics of its route.
  void observeRequest(const std::string &semantics, const std::string &outcome,
                      double seconds);
  /// Records that the first part of a response arrived after `seconds`.
  void observeFirstPart(const std::string &semantics, double seconds);
  /// Sets the age in `seconds` of the part of the fleet state named `state`.
  void setStateAge(const std::string &state, double seconds);
  /// Sets how late, in `seconds`, the timers of an event loop run.
  void setLoopLag(const std::string &loop, double seconds);
  void setOpenRequests(std::size_t count);
  /// Sets the share of a pool's requests that this router sends to the version
  /// that is rolled out.
  void setRolloutShare(const std::string &pool, double share);
  void countFleetChange(const std::string &change);
  /// Counts the times that callers' connections were refused until the next
  /// probe for lack of processor time.
  void countListeningPauses(std::size_t count);
  /// Counts connections, and bytes in both directions, that were relayed to
  /// another host.
  void countRelayed(std::size_t connections, std::size_t bytes);
  /// Counts a connection that another host offered; `result` is "taken" or
  /// "refused".
  void countOfferedConnection(const std::string &result);
  /// Counts a second attempt beside a slow first one; `won` if its response was
  /// used.
  void countHedge(bool won);
  /// Counts a request that waited for a place at a target, by how that ended.
  void countPlaceWait(const std::string &outcome);
  /// Counts a request that takes a stream up again, by how it ended.
  void countTakeUp(const std::string &outcome);
  /// Counts a run of a stream at a target, "begun" or "resumed", by how it
  /// ended.
  void countStreamRun(const std::string &run, const std::string &end);
  /// Counts a caller at `port` that was refused or closed for a limit of the
  /// router.
  void countCallerRefusal(const std::string &port, const std::string &reason);
  /// Sets the bytes that callers hold.
  void setCallerMemory(std::size_t bytes);

private:
  struct Implementation;
  explicit Metrics(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> Impl;
};

} // namespace nutmegsill
