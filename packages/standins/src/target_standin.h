/// In-process stand-in for a target of the platform, with injectable faults.
/// Test-only.
#pragma once

#include "http_server.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace nutmegsill::standin {

/// How the target handles requests.
enum class TargetMode {
  Serving,
  /// Responds with status 500, except to streams.
  Failing,
  /// Does not run the request and responds with 503 and "Not-Run: 1".
  Rejecting,
  /// Runs the request and resets the connection without a response.
  DroppingResponses,
  /// Resets the connection in the middle of event number 3 of a stream.
  TruncatingStreams,
  /// Closes the connection after the last event, before the last chunk.
  StreamsCutBeforeEnd,
  // The modes below send streams with neither a length nor chunks, which end
  // with their connection.
  /// The stream is complete.
  UnframedStreams,
  /// The connection is closed in the middle of event number 3.
  UnframedStreamsCutInEvent,
  /// The connection is closed before the first event.
  UnframedStreamsWithoutEvent,
  /// The connection is reset after event number 2.
  UnframedStreamsReset,
  // The modes below end the body of a stream in due form in the middle of event
  // number 3.
  ChunkedStreamsCutInEvent,
  SizedStreamsCutInEvent,
  /// Responds to streams with a JSON text that has a length.
  JsonForStreams,
  /// Sends each response twice, except streams.
  DuplicatingResponses,
  /// Responds with status 200 but without the "Signature" field.
  OmittingSignatures,
  /// Closes the connection after the bytes set by `setHeadBytes` of a
  /// response's head.
  CuttingHeads,
  // The modes below break streams as `TruncatingStreams`; the response to a
  // resumed one is signed and comes in two pieces.
  /// An error with status 500.
  FailingResumedStreams,
  /// A text with status 200 and a length.
  AnsweringResumedStreamsWithText,
  // The modes below refuse the first request on each connection, as
  // `Rejecting`, and run each later one; before its response they send the
  // refusal once more.
  RepeatingRefusals,
  /// Neither refusal names its request.
  RepeatingAnonymousRefusals,
  /// The repeated refusal comes in two pieces.
  RepeatingRefusalsInPieces,
  /// Runs the request and sends no response; does not read the connection
  /// for 20 s.
  Hanging,
  /// Ends with a request whose path or body contains "deadly".
  Ending,
  // The modes below run the request and send bytes until the caller closes.
  /// A header field without an end.
  EndlessHeader,
  /// Interim responses with status 100.
  EndlessInterim,
  /// Complete responses to another request.
  EndlessDuplicates,
  /// A body without a length.
  EndlessBody,
  /// A body in chunks; a stream gets one event without an end.
  EndlessChunks,
  /// One chunk extension without an end.
  EndlessChunkExtension,
  /// One complete head of a response to another request, and its body.
  EndlessDuplicateBody,
  /// One trailer field without an end.
  EndlessTrailer,
  /// A stream of short events.
  EndlessEvents,
};

/// A request as the target received it.
struct ReceivedRequest {
  std::string RequestId;
  std::string Team;
  std::string Authorization;
  std::string Body;
  std::string LastEventId;
  /// 0 when the request had no "Deadline-Ms" field.
  std::int64_t DeadlineMs = 0;
  std::chrono::steady_clock::time_point ReceivedAt;
};

/// Thread-safe; serves requests on its own thread.
class TargetStandin {
public:
  TargetStandin(std::string id, std::string service, std::string address);
  ~TargetStandin();

  void setMode(TargetMode mode);
  /// Sets the version in the target's entry; call before `entryJson`.
  void setVersion(std::string version) { Version = std::move(version); }
  /// Sets when the process started, in the target's entry; call before
  /// `entryJson`.
  void setStartedAtMs(std::int64_t at) { StartedAtMs = at; }
  /// Lets the events of streams name the version. Call before the first
  /// request.
  void nameVersionInEvents() { EventSuffix = versionSuffix(Version); }
  /// Ends the process: its connections and its listening socket close. What it
  /// received stays.
  void end();
  /// Sets header lines of all responses, each with its line end; 421 does not
  /// get them.
  void setResponseFields(std::string lines);
  /// Sets how much of a head `TargetMode::CuttingHeads` sends.
  void setHeadBytes(std::size_t bytes);
  /// Sets the time that a plain response takes.
  void setResponsePause(std::chrono::milliseconds pause);
  /// Sets the pause between two events of a stream.
  void setEventPause(std::chrono::milliseconds pause);
  /// Sets the number of events of a stream that runs to its end.
  void setEventCount(int count) { EventCount = count; }
  /// Requests in the order received, without those answered with status 421
  /// because they expected another instance.
  std::vector<ReceivedRequest> receivedRequests() const;
  /// Bytes sent by the modes that do not end.
  std::uint64_t endlessBytesSent() const { return EndlessBytesSent; }
  /// Connections on which such a mode still sends.
  int endlessConnections() const { return EndlessConnections; }
  /// The target serves nothing any more; its connections end when it is
  /// destroyed.
  bool hasEnded() const { return Ended; }
  /// Number of times the target ran the request.
  int runCount(const std::string &requestId) const;
  /// The target's entry in the store, as JSON. A non-empty `address` replaces
  /// the target's own address.
  std::string entryJson(const std::string &state = "ready",
                        const std::string &address = "") const;
  const std::string &id() const { return Id; }
  const std::string &address() const { return Address; }

  static constexpr int EventsPerStream = 8;
  /// Body of a stream that starts with event number `firstEvent`; the first
  /// event is number 1.
  static std::string streamBody(int firstEvent, const std::string &suffix = "");
  /// `suffix` ends the event's data.
  static std::string eventText(int number, const std::string &suffix = "");
  /// Suffix of the events that name `version`.
  static std::string versionSuffix(const std::string &version) {
    return " of " + version;
  }
  /// Header lines of a caller that takes a stream up: the id of the request
  /// that brought its first event, and the number of the last one.
  static std::string takeUpFields(const std::string &requestId, int lastEvent);
  /// Body of `TargetMode::JsonForStreams`.
  static std::string jsonAnswer();

private:
  boost::asio::awaitable<void> handleRequest(ServerExchange &exchange);
  boost::asio::awaitable<void> sendStream(ServerExchange &exchange,
                                          const ReceivedRequest &received,
                                          TargetMode mode);
  boost::asio::awaitable<void> sendSized(ServerExchange &exchange,
                                         const ReceivedRequest &received,
                                         TargetMode mode);
  boost::asio::awaitable<void>
  sendUnframedStream(ServerExchange &exchange, const ReceivedRequest &received,
                     TargetMode mode);
  boost::asio::awaitable<void> refuse(ServerExchange &exchange,
                                      const ReceivedRequest &received,
                                      TargetMode mode);
  boost::asio::awaitable<void> repeatRefusal(ServerExchange &exchange,
                                             TargetMode mode);
  boost::asio::awaitable<void> sendCutHead(ServerExchange &exchange,
                                           const ReceivedRequest &received);
  boost::asio::awaitable<void> sendPlain(ServerExchange &exchange,
                                         const ReceivedRequest &received,
                                         TargetMode mode);
  boost::asio::awaitable<void> sendEndlessly(ServerExchange &exchange,
                                             const ReceivedRequest &received,
                                             TargetMode mode);
  std::string responseHead(const ReceivedRequest &received, unsigned status,
                           TargetMode mode) const;
  std::string responseFields() const;

  const std::string Id;
  const std::string Service;
  const std::string Address;
  std::string Version = "v1";
  std::string EventSuffix;
  std::int64_t StartedAtMs = 1;
  mutable std::mutex Mutex;
  TargetMode Mode = TargetMode::Serving;
  std::chrono::milliseconds EventPause{2};
  std::chrono::milliseconds ResponsePause{0};
  std::string ResponseFields;
  std::size_t HeadBytes = 0;
  std::vector<ReceivedRequest> Received;
  std::map<std::string, int> RunCounts;
  std::atomic<std::uint64_t> EndlessBytesSent{0};
  std::atomic<int> EndlessConnections{0};
  std::atomic<int> EventCount{EventsPerStream};
  std::atomic<bool> Ended{false};
  std::optional<boost::asio::io_context> Io{std::in_place, 1};
  std::thread Thread;
};

} // namespace nutmegsill::standin
