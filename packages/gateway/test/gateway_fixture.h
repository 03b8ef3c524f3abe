/// Real router processes on stand-ins of the platform's store and targets.
#pragma once

#include "process.h"
#include "store_standin.h"
#include "worker_standin.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmegsill::standin {

/// What a caller saw on its socket. `Status` is 0 without an answer.
struct RawAnswer {
  unsigned Status = 0;
  std::map<std::string, std::string> Fields;
  std::string Body;
  /// The answer ended as its framing says.
  bool Whole = false;

  /// The value of a field; empty without it.
  std::string field(const std::string &name) const;
};

struct RawCall {
  std::string Method = "POST";
  std::string Path;
  std::string Id;
  std::string Key = "key-prints";
  std::string Body = "a request";
  std::string ExtraFields;
};

/// One connection of a caller.
class RawCaller {
public:
  explicit RawCaller(const std::string &address);
  ~RawCaller();
  RawAnswer call(const RawCall &call);
  /// Sends bytes as they are and reads one answer.
  RawAnswer exchange(const std::string &bytes);
  /// Sends bytes and closes the connection.
  void leaveAfter(const std::string &bytes);

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

struct RouterPorts {
  std::string Host;
  std::string Callers;
  std::string Readiness;
  std::string Directory;
};

class GatewayFixture {
protected:
  GatewayFixture();

  /// Starts a router and waits until it is ready.
  RouterPorts &startRouter();
  std::string configText(std::uint64_t version,
                         const std::string &keys = "\"key-prints\"") const;
  void putWorker(const WorkerStandin &worker,
                 const std::string &state = "ready");
  RawAnswer get(const std::string &address, const std::string &path);
  RawAnswer call(const std::string &path, const std::string &id,
                 const std::string &method = "POST");
  std::vector<std::string> addresses(const RouterPorts &router);
  /// Polls until `holds` or five seconds have passed.
  static bool
  eventually(const std::function<bool()> &holds,
             std::chrono::milliseconds patience = std::chrono::seconds(5));

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
