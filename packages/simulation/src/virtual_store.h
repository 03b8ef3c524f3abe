/// The platform's store in virtual time: facts with revisions, leases, watches
/// and its faults.
#pragma once

#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/store_link.h"
#include "schedule.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::simulation {

enum class StoreAccess { Serving, Silent, Refusing };

/// A revision and the facts up to it.
struct StoreAnswer {
  std::vector<routing::StoreUpdate> Facts;
  routing::StoreRevision At;
};

/// Why there is no answer; nothing was done.
enum class StoreLoss { Away, HistoryGone };
using StoreReply = std::variant<StoreAnswer, StoreLoss>;
using OnReply = std::function<void(StoreReply)>;

class VirtualStore {
public:
  explicit VirtualStore(Schedule &schedule) : Clock(schedule) {}

  // What operators, targets and the store itself do.

  /// Writes an item; `gone` is the fact of its removal. An item with a `life`
  /// is removed that long after its last write or `keep`.
  void put(const std::string &key, routing::StoreUpdate present,
           routing::StoreUpdate gone, std::optional<Duration> life = {});
  void erase(const std::string &key);
  bool has(const std::string &key) const { return Items.count(key) > 0; }
  /// Watches from before now find their history gone.
  void dropHistory();
  /// Sets how the store answers one host, or all without one, for some time.
  /// While it is away from all, leases end when `lapse` is set, else pause.
  void setAccess(std::optional<HostId> host, StoreAccess access, Duration span,
                 bool lapse = false);

  // Calls of routers. Replies come a few milliseconds later.

  void list(const HostId &from, OnReply reply);
  void revision(const HostId &from, OnReply reply);
  void watch(const HostId &from, routing::StoreRevision after, Duration wait,
             OnReply reply);
  /// Writes an item of a router.
  void write(const HostId &from, const std::string &key,
             routing::StoreUpdate present, routing::StoreUpdate gone,
             Duration life, OnReply reply);
  /// Extends the life of an item; `HistoryGone` when it has ended.
  void keep(const HostId &from, const std::string &key, OnReply reply);

  /// Calls that a host made.
  std::uint64_t calls(const HostId &host) const;

private:
  struct Item {
    routing::StoreUpdate Present;
    routing::StoreUpdate Gone;
    std::uint64_t Revision = 0;
    std::optional<Duration> Life;
    /// Number of its last write, of all writes.
    std::uint64_t Writes = 0;
  };
  struct Waiting {
    HostId From;
    std::uint64_t After = 0;
    OnReply Reply;
  };
  StoreAccess accessOf(const HostId &host) const;
  /// Runs `work` if the store answers `from`, else replies with the loss.
  void serve(const HostId &from, const OnReply &reply,
             std::function<void()> work);
  void armLease(const std::string &key);
  void leaseEnds(const std::string &key, std::uint64_t writes);
  void changed(const routing::StoreUpdate &fact);
  std::optional<StoreAnswer> since(std::uint64_t after) const;
  bool away() const;

  Schedule &Clock;
  std::map<std::string, Item> Items;
  std::vector<std::pair<std::uint64_t, routing::StoreUpdate>> History;
  std::uint64_t Revision = 10;
  std::uint64_t Oldest = 0;
  std::uint64_t LastWrite = 0;
  std::list<Waiting> Watches;
  std::map<HostId, std::pair<StoreAccess, Time>> HostAccess;
  std::pair<StoreAccess, Time> AllAccess{StoreAccess::Serving, Time{}};
  bool Lapse = false;
  std::map<HostId, std::uint64_t> Calls;
};

} // namespace nutmegsill::simulation
