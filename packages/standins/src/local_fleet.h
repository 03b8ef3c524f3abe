/// A fleet on the loopback address: router processes, and the stand-ins of the
/// store and of targets within this process. Test-only.
#pragma once

#include "process.h"
#include "raw_caller.h"
#include "store_standin.h"
#include "worker_standin.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegsill::standin {

/// "127.0.0.1:PORT" with a free port.
std::string loopback();

struct RouterPorts {
  std::string Host;
  std::string Callers;
  std::string Readiness;
  std::string Directory;
  std::string Metrics;
};

class LocalFleet {
public:
  /// `program` is the router's path.
  explicit LocalFleet(std::string program);

  /// Starts a router; true when it is ready.
  bool addRouter();
  /// Starts a router again that has ended.
  void restartRouter(std::size_t router);
  /// A configuration whose orders go to `buyPool`, all else to "desk".
  static std::string configText(std::uint64_t version,
                                const std::string &keys = "\"key-prints\"",
                                const std::string &buyPool = "desk");
  /// Writes the worker's entry; `address` replaces its own.
  void putWorker(const WorkerStandin &worker,
                 const std::string &state = "ready",
                 const std::string &address = "");
  /// Writes a configuration as an operator.
  void putConfig(const std::string &text);
  RawAnswer get(const std::string &address, const std::string &path);
  RawAnswer call(const std::string &path, const std::string &id,
                 const std::string &method = "POST");
  std::vector<std::string> addresses(const RouterPorts &router);
  /// Polls until `holds` or five seconds have passed.
  static bool
  eventually(const std::function<bool()> &holds,
             std::chrono::milliseconds patience = std::chrono::seconds(5));

  Process launch(const std::string &host) const;

  std::string Program;
  std::string StoreAddress;
  std::unique_ptr<StoreStandin> Store;
  std::unique_ptr<WorkerStandin> One;
  std::unique_ptr<WorkerStandin> Two;
  std::vector<RouterPorts> Routers;
  std::vector<Process> Processes;
  std::string Folder;
  /// Revocation bound of the routers, in milliseconds.
  int RevocationMs = 5000;
  /// Descriptors of each router.
  int Descriptors = 1024;
};

} // namespace nutmegsill::standin
