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
enum class WorkerMode {
  Serving,
  /// Answers 500.
  Failing,
  /// States that it did not run the request.
  Full,
  /// Runs the request and closes the connection without an answer.
  LosingAnswers,
  /// Stops in the middle of the third event of a stream.
  CuttingStreams,
  /// Gives each answer twice.
  AnsweringTwice,
  /// Answers 200 without its signature.
  Unsigned,
  /// Runs the request and never answers.
  Hanging,
};

/// A request as it reached a worker.
struct SeenRequest {
  std::string Id;
  std::string Team;
  std::string Key;
  std::string Body;
  std::string ResumedAfter;
  std::int64_t DeadlineMs = 0;
  std::chrono::steady_clock::time_point At;
};

/// Thread-safe; serves on a thread of its own.
class WorkerStandin {
public:
  WorkerStandin(std::string id, std::string service, std::string address);
  ~WorkerStandin();

  void setMode(WorkerMode mode);
  /// Pause between two events of a stream.
  void setEventPause(std::chrono::milliseconds pause);
  std::vector<SeenRequest> seen() const;
  int runs(const std::string &requestId) const;
  /// Its entry in the store; `address` replaces its own.
  std::string entry(const std::string &state = "ready",
                    const std::string &address = "") const;
  const std::string &id() const { return Id; }
  const std::string &address() const { return Address; }

  /// Events of one stream.
  static constexpr int Events = 8;
  /// The bytes of events `from` to the last.
  static std::string eventText(int from);

private:
  boost::asio::awaitable<void> handle(ServerExchange &exchange);
  boost::asio::awaitable<void> stream(ServerExchange &exchange,
                                      const SeenRequest &seen, WorkerMode mode);
  boost::asio::awaitable<void> plain(ServerExchange &exchange,
                                     const SeenRequest &seen, WorkerMode mode);
  static std::string head(const SeenRequest &seen, unsigned status,
                          WorkerMode mode);

  const std::string Id;
  const std::string Service;
  const std::string Address;
  mutable std::mutex Guard;
  WorkerMode Mode = WorkerMode::Serving;
  std::chrono::milliseconds EventPause{2};
  std::vector<SeenRequest> Seen;
  std::map<std::string, int> Runs;
  boost::asio::io_context Io{1};
  std::thread Thread;
};

} // namespace nutmegsill::standin
