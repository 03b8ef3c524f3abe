/// A proxy on the loopback address that disturbs connections.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace nutmegsill::soak {

enum class ProxyMode {
  Forwarding,
  /// Bytes are passed on some tens of milliseconds later.
  Delaying,
  /// Connections are reset, new ones too.
  Resetting,
  /// Nothing passes; connections stay open.
  Blocking,
  /// Nothing passes from the caller to the server.
  BlockingToServer,
  /// Nothing passes from the server to the caller.
  BlockingToCaller,
};

/// Thread-safe; serves on a thread of its own.
class FaultProxy {
public:
  /// Passes connections to `server` ("IP:port") on.
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
