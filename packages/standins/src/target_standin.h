/// A target of the platform within one process, and its faults. Test-only.
#pragma once

#include "http_server.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace nutmegsill::standin {

/// What a worker does with requests.
enum class TargetMode {
  Serving,
  /// Answers 500.
  Failing,
  /// States that it did not run the request.
  Rejecting,
  /// Runs the request and closes the connection without an answer.
  DroppingResponses,
  /// Stops in the middle of the third event of a stream.
  TruncatingStreams,
  /// Gives each answer twice.
  DuplicatingResponses,
  /// Answers 200 without its signature.
  OmittingSignatures,
  /// Runs the request and never answers.
  Hanging,
};

/// A request as it reached a worker.
struct ReceivedRequest {
  std::string RequestId;
  std::string Team;
  std::string Authorization;
  std::string Body;
  std::string LastEventId;
  std::int64_t DeadlineMs = 0;
  std::chrono::steady_clock::time_point ReceivedAt;
};

/// Thread-safe; serves on a thread of its own.
class TargetStandin {
public:
  TargetStandin(std::string id, std::string service, std::string address);
  ~TargetStandin();

  void setMode(TargetMode mode);
  /// Pause between two events of a stream.
  void setEventPause(std::chrono::milliseconds pause);
  std::vector<ReceivedRequest> receivedRequests() const;
  int runCount(const std::string &requestId) const;
  /// Its entry in the store; `address` replaces its own.
  std::string entryJson(const std::string &state = "ready",
                        const std::string &address = "") const;
  const std::string &id() const { return Id; }
  const std::string &address() const { return Address; }

  /// Events of one stream.
  static constexpr int EventsPerStream = 8;
  /// The bytes of events `firstEvent` to the last.
  static std::string streamBody(int firstEvent);

private:
  boost::asio::awaitable<void> handleRequest(ServerExchange &exchange);
  boost::asio::awaitable<void> sendStream(ServerExchange &exchange,
                                          const ReceivedRequest &received,
                                          TargetMode mode);
  boost::asio::awaitable<void> sendPlain(ServerExchange &exchange,
                                         const ReceivedRequest &received,
                                         TargetMode mode);
  static std::string responseHead(const ReceivedRequest &received,
                                  unsigned status, TargetMode mode);

  const std::string Id;
  const std::string Service;
  const std::string Address;
  mutable std::mutex Mutex;
  TargetMode Mode = TargetMode::Serving;
  std::chrono::milliseconds EventPause{2};
  std::vector<ReceivedRequest> Received;
  std::map<std::string, int> RunCounts;
  boost::asio::io_context Io{1};
  std::thread Thread;
};

} // namespace nutmegsill::standin
