/// TCP proxy on the loopback address that injects connection faults. Its
/// clients are routers, its server is the store or a target.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace nutmegsill::soak {

enum class ProxyMode {
  Forwarding,
  /// Forwards bytes 40 ms late.
  Delaying,
  /// Resets open and new connections.
  Resetting,
  /// Forwards nothing in either direction; connections stay open.
  Blocking,
  /// Forwards nothing from the client to the server.
  BlockingToServer,
  /// Forwards nothing from the server to the client.
  BlockingToClient,
};

/// Thread-safe; forwards on its own thread.
class FaultProxy {
public:
  /// Listens on a free port and forwards its connections to `server`
  /// ("IP:port"). Throws `boost::system::system_error` if it cannot listen.
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
