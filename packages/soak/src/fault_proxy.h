/// A proxy on the loopback address that disturbs connections.
#pragma once

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace nutmegsill::soak {

enum class ProxyMode {
  Open,
  /// Bytes are passed on some tens of milliseconds later.
  Delayed,
  /// Connections are reset, new ones too.
  Reset,
  /// Nothing passes; connections stay open.
  Silent,
  /// Nothing passes from the caller to the server.
  CutForth,
  /// Nothing passes from the server to the caller.
  CutBack,
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
  struct Parts;
  std::string Address;
  std::unique_ptr<Parts> Impl;
};

} // namespace nutmegsill::soak
