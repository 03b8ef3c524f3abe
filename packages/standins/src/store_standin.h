/// In-process stand-in for the platform's store: items with revisions,
/// conditional writes, leases and watches, with injectable faults. Test-only.
#pragma once

#include "http_server.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace nutmegsill::standin {

/// How the store handles calls. A pending watch gets no response in any mode
/// but `Serving`.
enum class StoreMode {
  Serving,
  /// Sends no response and resets the connection after 30 s.
  Silent,
  /// Responds with status 503 and executes nothing.
  Refusing,
  /// Responds with status 429, as for a caller over its rate limit.
  RateLimiting,
};

/// Thread-safe; serves requests on its own thread.
class StoreStandin {
public:
  explicit StoreStandin(const std::string &address);
  ~StoreStandin();

  /// Writes an item without a lease, as operators and targets do. Returns its
  /// revision.
  std::uint64_t put(const std::string &key, const std::string &bytes);
  void erase(const std::string &key);
  std::optional<std::string> get(const std::string &key);
  std::vector<std::string> keysWithPrefix(const std::string &prefix);

  void setMode(StoreMode mode) { Mode = mode; }
  /// Discards the change history and advances the revision: watches after an
  /// earlier revision than the new one get status 410.
  void dropHistory();
  /// Keeps a copy of the items and leases for `restoreCopy`.
  void keepCopy();
  /// Replaces the items, leases and revision by the copy, without history, and
  /// raises the number in the "Store-Era" field of all responses.
  void restoreCopy();
  /// Executes the next `count` POST calls but resets their connections without
  /// a response.
  void dropNextResponses(int count) { ResponsesToDrop = count; }
  /// Executes the next `count` writes two seconds late, if their conditions
  /// still hold, and resets their connections without a response.
  void delayNextWrites(int count) { WritesToDelay = count; }
  std::uint64_t callCount() const { return CallCount; }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t LeaseId = 0;
  };
  /// `NewItem` is empty for a deletion.
  struct Change {
    std::string Key;
    std::optional<Item> NewItem;
    std::uint64_t Revision = 0;
  };
  struct Lease {
    std::chrono::steady_clock::time_point ExpiresAt;
    std::chrono::milliseconds Ttl;
  };

  boost::asio::awaitable<void> handleRequest(ServerExchange &exchange);
  boost::asio::awaitable<void> handleWatch(ServerExchange &exchange,
                                           std::uint64_t afterRevision,
                                           std::chrono::milliseconds wait);
  /// Returns the response body of any call except a watch. `status`
  /// must be 200 on entry and is changed only if the call fails.
  std::string handleCall(const ServerRequest &request, unsigned &status);
  std::string handleList(const std::string &prefix,
                         const std::string &afterKey);
  std::string handleWrite(const std::string &body, unsigned &status);
  /// Grants, renews or ends a lease.
  std::string handleLease(const ServerRequest &request, unsigned &status);
  /// Names the present history in the response.
  void setEra(ServerExchange &exchange) const;
  // `handleCall`, the handlers that it calls and the functions below require
  // `Mutex` to be held.
  std::uint64_t putLocked(const std::string &key, const std::string &bytes,
                          std::uint64_t leaseId);
  void eraseLocked(const std::string &key);
  void expireLeases();

  /// What a copy holds.
  struct Contents {
    std::map<std::string, Item> Items;
    std::map<std::uint64_t, Lease> Leases;
    std::uint64_t Revision = 10;
    std::uint64_t LastLeaseId = 100;
  };

  std::mutex Mutex;
  Contents Stored;
  Contents Copy;
  std::vector<Change> History;
  std::uint64_t OldestRevision = 0;
  std::atomic<std::uint64_t> Era{1};
  std::atomic<StoreMode> Mode{StoreMode::Serving};
  std::atomic<int> ResponsesToDrop{0};
  std::atomic<int> WritesToDelay{0};
  std::atomic<std::uint64_t> CallCount{0};
  boost::asio::io_context Io{1};
  std::thread Thread;
};

} // namespace nutmegsill::standin
