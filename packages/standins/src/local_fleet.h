/// A fleet on the loopback address: router processes, with stand-ins for the
/// store and the targets in this process. Test-only.
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

/// "127.0.0.1:PORT" with a port from `findFreePort`.
std::string freeLoopbackAddress();

/// Host id of a router, and the addresses at which it listens.
struct RouterAddresses {
  std::string Host;
  std::string CallerAddress;
  std::string ReadinessAddress;
  std::string DirectoryAddress;
  std::string MetricsAddress;
  std::string PeerAddress;
};

class LocalFleet {
public:
  /// Starts the store and two targets. `program` is the path of the router
  /// executable.
  explicit LocalFleet(std::string program);

  /// Starts a router process. False when it is not ready within 5 s.
  bool addRouter();
  /// Starts a new process for a router whose process has ended; does not wait
  /// until the router is ready.
  void restartRouter(std::size_t index);
  /// Configuration that routes "/buy/" to `buyPool` and all other paths to
  /// "desk". `apiKeysJson` holds the elements of the team's JSON list of
  /// keys. Unless `uploadBytes` is 0, bodies may have as many bytes, and
  /// "/upload/" is routed to "torn".
  static std::string
  configText(std::uint64_t version,
             const std::string &apiKeysJson = "\"key-prints\"",
             const std::string &buyPool = "desk", std::size_t uploadBytes = 0);
  /// Writes a target's entry to the store. A non-empty `address` replaces the
  /// target's own address.
  void writeTargetEntry(const TargetStandin &target,
                        const std::string &state = "ready",
                        const std::string &address = "");
  /// Removes a target's entry from the store.
  void eraseTargetEntry(const TargetStandin &target);
  /// Writes the operators' configuration to the store.
  void writeConfig(const std::string &text);
  /// Sends a GET request to `address` ("IP:port") on a new connection.
  RawResponse httpGet(const std::string &address, const std::string &path);
  /// Sends a request to the first router on a new connection.
  RawResponse sendRequest(const std::string &path, const std::string &id,
                          const std::string &method = "POST");
  /// Caller addresses that the directory of `router` returns; empty when it
  /// returns none.
  std::vector<std::string> resolveRouters(const RouterAddresses &router);
  /// Polls `condition` until it is true or `timeout` has passed; returns its
  /// last result.
  static bool
  waitUntil(const std::function<bool()> &condition,
            std::chrono::milliseconds timeout = std::chrono::seconds(5));

  /// Starts the router process of `host` with its settings file in `TempDir`.
  Process launchRouter(const std::string &host) const;

  std::string RouterProgram;
  /// Store address in the settings of routers added from now on.
  std::string StoreAddress;
  std::unique_ptr<StoreStandin> Store;
  std::unique_ptr<TargetStandin> FirstTarget;
  std::unique_ptr<TargetStandin> SecondTarget;
  std::vector<RouterAddresses> Routers;
  std::vector<Process> RouterProcesses;
  /// Directory of the routers' settings and logs.
  std::string TempDir;
  /// Members added to the bounds in the settings of routers added from now on,
  /// as a JSON object.
  std::string ExtraBounds = "{}";
  /// Revocation bound in the settings of routers added from now on, in
  /// milliseconds.
  int RevocationBoundMs = 5000;
  /// Grace period in the settings of routers added from now on, in seconds.
  int StopGraceS = 6;
  /// `hedging.budget` in the settings of routers added from now on; absent if
  /// 0.
  double HedgingBudget = 0;
  /// Limit of file descriptors in the settings of routers added from now on.
  int MaxDescriptors = 1024;
  /// Processor quota in the settings of routers added from now on, in cores.
  double ProcessorQuota = 1;
  /// Whether routers added from now on take connections over and hand them
  /// over.
  bool HasHandover = false;
  /// Memory of the host in the settings of routers added from now on, in MB;
  /// absent if 0.
  int MemoryMb = 0;
};

} // namespace nutmegsill::standin
