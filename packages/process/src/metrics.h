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
  void peerMessage(const std::string &type, const std::string &direction,
                   std::size_t bytes);
  /// A peer message that was dropped, by reason.
  void peerDropped(const std::string &reason);
  void platformCall(const std::string &type, const std::string &result);
  /// A caller's request of a route's `kind` that ended after `seconds`.
  void request(const std::string &kind, const std::string &outcome,
               double seconds);
  /// The first part of an answer came after `seconds`.
  void firstPart(const std::string &kind, double seconds);
  /// How old a belief is.
  void age(const std::string &belief, double seconds);
  void openRequests(std::size_t count);
  void decision(const std::string &what);

private:
  struct Parts;
  explicit Metrics(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> Impl;
};

} // namespace nutmegsill
