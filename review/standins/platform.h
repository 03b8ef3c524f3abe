/// Stand-ins for the platform: its store, its workers, and the machine on which
/// a router runs.
#pragma once

#include "support.h"

#include <memory>
#include <set>
#include <sys/types.h>

namespace review {

/// The platform's store, as PROTOCOL.md says: items, conditional writes,
/// leases, watches, listings. Thread-safe.
class Store {
public:
  explicit Store(const std::string &ip);
  /// Ends all waiting watches, so that the store's threads can end.
  ~Store();
  std::string address() const { return Door->address(); }
  /// Writes an item as the operator or a worker does; returns its revision,
  /// which is the acknowledgement.
  std::uint64_t put(const std::string &key, const std::string &value);
  std::size_t countWithPrefix(const std::string &prefix);

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    std::uint64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::optional<Item> Written;
    std::uint64_t Revision = 0;
  };
  struct Lease {
    std::int64_t EndsAtMs = 0;
    std::int64_t TtlMs = 0;
  };
  void serve(Connection &connection);
  std::string answer(const Message &request, int &status);
  std::string list(const std::string &target);
  std::string watch(const std::string &target, int &status);
  std::string write(const std::string &body, int &status);
  std::string lease(const Message &request, int &status);
  void expireLeases();
  void putLocked(const std::string &key, const std::string &value,
                 std::uint64_t lease);
  void eraseLocked(const std::string &key);
  static std::string itemJson(const std::string &key, const Item &item);

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::map<std::string, Item> Items;
  std::vector<Change> History;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 100;
  std::uint64_t LastLease = 7000;
  std::unique_ptr<Listener> Door;
};

/// The operator's configuration: the kinds of request of the site jrra-ledger
/// as routes "/dossier/", "/summary/", "/issue/" and "/lookup/" of the host
/// ficu95.example, to the services "pool" and "ledger"; one tenant, "workshop",
/// with `keys`, a JSON list without its brackets. Without keys, no tenant.
std::string configText(int version, const std::string &keys);

/// A worker. `OnRequest` answers a request that reached it; false closes the
/// connection.
class Worker {
public:
  using Handler = std::function<bool(Connection &, const Message &)>;
  Worker(const std::string &ip, std::string id, std::string service,
         std::string zone, Handler handler);
  std::string address() const { return Door->address(); }
  const std::string &id() const { return Id; }
  /// Writes the worker's entry to the store.
  void beat(Store &store, const std::string &state = "ready");

private:
  void serve(Connection &connection);
  std::string Id;
  std::string Service;
  std::string Zone;
  std::int64_t Born;
  int Seq = 0;
  Handler OnRequest;
  std::unique_ptr<Listener> Door;
};

/// Head of a worker's answer; ends with an empty line.
std::string answerHead(int status, const Message &request,
                       const std::string &fields = "");

/// What the platform fills into the template of a router's settings.
struct Machine {
  std::string Name;
  std::string Zone;
  std::string Ip;
  std::string Callers;
  std::string Ready;
  std::string Directory;
  std::string Peer;
};

/// A router process on a machine of its own loopback address, started with the
/// command and the template of the deploy file.
class Router {
public:
  /// `root` is the repository, `folder` a temporary folder.
  Router(const std::string &root, const std::string &folder,
         const std::string &name, const std::string &zone,
         const std::string &store);
  ~Router();
  void start();
  /// Waits until the machine says that it is ready.
  bool waitReady(std::int64_t limitMs);
  /// Whether the process has ended; reaps it.
  bool hasEnded();
  const Machine &machine() const { return At; }

private:
  std::string Root;
  std::string Folder;
  Machine At;
  pid_t Pid = -1;
};

/// Temporary folder that is removed at the end.
class Folder {
public:
  Folder();
  ~Folder();
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

/// A small deployment: routers and workers in three zones, and the store.
class Deployment {
public:
  Deployment(const std::string &root, int routers);
  /// Adds workers of `service`, one a zone in turn.
  void addWorkers(const std::string &service, int count,
                  const Worker::Handler &handler);
  /// Starts the routers; false if they are not all ready and registered in
  /// time.
  bool start();
  /// Ends the routers and the workers.
  void stop();

  Folder Files;
  Store Records{"127.0.0.1"};
  std::vector<std::unique_ptr<Worker>> Workers;
  std::vector<std::unique_ptr<Router>> Routers;
  const std::vector<std::string> Zones{"amman-a", "amman-b", "amman-c"};

private:
  std::string Root;
};

/// Ends the deployment, records the result and returns the exit code of the
/// script.
int finish(Record &record, Deployment &fleet, bool ran, int broken,
           const std::string &what);
/// False if the variable TROUBLE is 0: the same without the disruption.
bool hasTrouble();

} // namespace review
