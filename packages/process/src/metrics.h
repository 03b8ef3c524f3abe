/// Counters and histograms of one router, scraped from its metrics address.
#pragma once

#include <memory>
#include <string>

namespace nutmegsill {

/// Thread-safe.
class Metrics {
public:
  /// Serves the counters at "IP:port"; sets `reason` when it cannot.
  static std::unique_ptr<Metrics> start(const std::string &address,
                                        std::string &reason);
  ~Metrics();

  /// A message to ("sent") or from ("received") a peer, with its bytes.
  void countPeerMessage(const std::string &type, const std::string &direction,
                        std::size_t bytes);
  /// A peer message that was dropped, by reason.
  void countDroppedPeerMessage(const std::string &reason);
  void countPlatformCall(const std::string &type, const std::string &result);
  /// A caller's request of a route's `semantics` that ended after `seconds`.
  void observeRequest(const std::string &semantics, const std::string &outcome,
                      double seconds);
  /// The first part of an answer came after `seconds`.
  void observeFirstPart(const std::string &semantics, double seconds);
  /// How old a belief is.
  void setStateAge(const std::string &state, double seconds);
  void setOpenRequests(std::size_t count);
  void countFleetChange(const std::string &change);

private:
  struct Implementation;
  explicit Metrics(std::unique_ptr<Implementation> parts);
  std::unique_ptr<Implementation> Impl;
};

} // namespace nutmegsill
