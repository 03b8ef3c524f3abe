/// The platform's store within one process: items with revisions, conditions,
/// leases, watches, and its faults. Test-only.
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

/// How the store answers.
enum class StoreMode {
  Serving,
  Silent,
  /// Answers 503; nothing is done.
  Refusing,
  /// Answers 429, as beyond its limits of calls.
  RateLimiting,
};

/// Thread-safe; serves on a thread of its own.
class StoreStandin {
public:
  explicit StoreStandin(const std::string &address);
  ~StoreStandin();

  /// Writes as the operator or a target would; returns the revision.
  std::uint64_t put(const std::string &key, const std::string &bytes);
  void erase(const std::string &key);
  std::optional<std::string> get(const std::string &key);
  std::vector<std::string> keysWithPrefix(const std::string &prefix);

  void setMode(StoreMode mode) { Mode = mode; }
  /// Watches from before now find their history gone.
  void dropHistory();
  /// The next writes take effect and are not answered.
  void dropNextResponses(int count) { ResponsesToDrop = count; }
  /// The next writes take effect two seconds later, if their conditions still
  /// hold, and are not answered.
  void delayNextWrites(int count) { WritesToDelay = count; }
  std::uint64_t callCount() const { return CallCount; }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision = 0;
    std::uint64_t LeaseId = 0;
  };
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
  /// Answers any call but a watch; sets the status.
  std::string handleCall(const ServerRequest &request, unsigned &status);
  std::string handleList(const std::string &prefix,
                         const std::string &afterKey);
  std::string handleWrite(const std::string &body, unsigned &status);
  std::string handleLease(const ServerRequest &request, unsigned &status);
  std::uint64_t putLocked(const std::string &key, const std::string &bytes,
                          std::uint64_t lease);
  void eraseLocked(const std::string &key);
  void expireLeases();

  std::mutex Mutex;
  std::map<std::string, Item> Items;
  std::vector<Change> History;
  std::map<std::uint64_t, Lease> Leases;
  std::uint64_t Revision = 10;
  std::uint64_t OldestRevision = 0;
  std::uint64_t LastLeaseId = 100;
  std::atomic<StoreMode> Mode{StoreMode::Serving};
  std::atomic<int> ResponsesToDrop{0};
  std::atomic<int> WritesToDelay{0};
  std::atomic<std::uint64_t> CallCount{0};
  boost::asio::io_context Io{1};
  std::thread Thread;
};

} // namespace nutmegsill::standin
