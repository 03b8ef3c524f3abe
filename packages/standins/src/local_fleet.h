/// A fleet on the loopback address: router processes, and the stand-ins of the
/// store and of targets within this process. Test-only.
#pragma once

#include "process.h"
#include "raw_caller.h"
#include "store_standin.h"
#include "target_standin.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegsill::standin {

/// "127.0.0.1:PORT" with a free port.
std::string freeLoopbackAddress();

struct RouterAddresses {
  std::string Host;
  std::string CallerAddress;
  std::string ReadinessAddress;
  std::string DirectoryAddress;
  std::string MetricsAddress;
};

class LocalFleet {
public:
  /// `program` is the router's path.
  explicit LocalFleet(std::string program);

  /// Starts a router; true when it is ready.
  bool addRouter();
  /// Starts a router again that has ended.
  void restartRouter(std::size_t index);
  /// A configuration whose orders go to `buyPool`, all else to "desk".
  static std::string
  configText(std::uint64_t version,
             const std::string &apiKeysJson = "\"key-prints\"",
             const std::string &buyPool = "desk");
  /// Writes the target's entry; `address` replaces its own.
  void writeTargetEntry(const TargetStandin &target,
                        const std::string &state = "ready",
                        const std::string &address = "");
  /// Writes a configuration as an operator.
  void writeConfig(const std::string &text);
  RawResponse httpGet(const std::string &address, const std::string &path);
  RawResponse sendRequest(const std::string &path, const std::string &id,
                          const std::string &method = "POST");
  std::vector<std::string> resolveRouters(const RouterAddresses &router);
  /// Polls until `condition` or five seconds have passed.
  static bool
  waitUntil(const std::function<bool()> &condition,
            std::chrono::milliseconds timeout = std::chrono::seconds(5));

  Process launchRouter(const std::string &host) const;

  std::string RouterProgram;
  std::string StoreAddress;
  std::unique_ptr<StoreStandin> Store;
  std::unique_ptr<TargetStandin> FirstTarget;
  std::unique_ptr<TargetStandin> SecondTarget;
  std::vector<RouterAddresses> Routers;
  std::vector<Process> RouterProcesses;
  std::string TempDir;
  /// Revocation bound of the routers, in milliseconds.
  int RevocationBoundMs = 5000;
  /// Descriptors of each router.
  int MaxDescriptors = 1024;
};

} // namespace nutmegsill::standin
