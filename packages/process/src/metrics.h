/// Counters of one router, scraped from its metrics address.
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
  void request(const std::string &outcome);
  void decision(const std::string &what);

private:
  struct Parts;
  explicit Metrics(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> Impl;
};

} // namespace nutmegsill
