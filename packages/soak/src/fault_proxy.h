/// TCP proxy on the loopback address that injects connection faults.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace nutmegsill::soak {

enum class ProxyMode {
  Forwarding,
  /// Forwards bytes some tens of milliseconds late.
  Delaying,
  /// Resets open and new connections.
  Resetting,
  /// Forwards nothing in either direction; connections stay open.
  Blocking,
  /// Forwards nothing from the caller to the server.
  BlockingToServer,
  /// Forwards nothing from the server to the caller.
  BlockingToCaller,
};

/// Thread-safe; forwards on its own thread.
class FaultProxy {
public:
  /// Listens on a free port and forwards its connections to `server`
  /// ("IP:port").
  explicit FaultProxy(const std::string &server);
  ~FaultProxy();

  const std::string &address() const { return Address; }
  void setMode(ProxyMode mode);

private:
  struct Implementation;
  std::string Address;
  std::unique_ptr<Implementation> Impl;
};

} // namespace nutmegsill::soak
