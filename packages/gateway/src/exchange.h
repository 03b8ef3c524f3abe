/// One request to one target and its response.
#pragma once

#include "buffer_budget.h"
#include "nutmegsill/platform/headers.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/event_stream_buffer.h"
#include "request_sender.h"
#include "response_writer.h"
#include "target_connection_pool.h"
#include "target_response.h"

#include <functional>
#include <optional>
#include <string>

namespace nutmegsill::gateway {

/// Parameters of one exchange.
struct ExchangeRequest {
  TargetConnectionPool::Endpoint TargetEndpoint;
  /// Request line and header fields; ends with an empty line.
  std::string Head;
  std::string_view Body;
  std::string RequestId;
  /// The response is forwarded while it arrives.
  bool IsStream = false;
  /// The response has no body, whatever its header says.
  bool ResponseHasNoBody = false;
  /// Idle connections that may be kept to this target.
  std::size_t MaxIdleConnections = 1;
  /// Called when connected, before the first byte is sent.
  std::function<void()> OnConnected;
  /// Called with the header of the final response, and with those of late
  /// responses to earlier requests.
  std::function<void(const platform::ResponseHead &, bool isLate)>
      OnResponseHead;
  /// Called whenever the end of an event, or of the stream, has arrived.
  std::function<void()> OnProgress;
};

struct ExchangeOutcome {
  routing::ExchangeResult Result = routing::ExchangeResult::Unreachable;
  /// Bytes of the request may have reached the target.
  bool RequestSent = false;
  /// A complete response that is not forwarded yet.
  std::optional<BufferedResponse> Response;
  bool CallerDisconnected = false;
  std::string Reason;
};

/// Runs a single exchange. Not thread-safe.
class Exchange {
public:
  /// `events` holds a stream over all its runs; null for other requests.
  Exchange(TargetConnectionPool &pool, BufferBudget &buffers,
           ExchangeRequest request, ResponseWriter &writer,
           routing::EventStreamBuffer *events);

  boost::asio::awaitable<ExchangeOutcome> run();
  /// Closes the connection to the target, which ends `run`.
  void abort();
  /// Ends `run` if the target has not acknowledged the request for too long.
  void checkAcknowledged(Time now);
  /// Whether bytes of the target, or their end, wait to be read.
  bool hasUnreadBytes();
  /// Whether the target has the request, and its response is not complete.
  bool awaitsResponse() const { return Outcome.RequestSent && !Transferred; }

private:
  boost::asio::awaitable<bool> connect();
  /// Sends the request while the response is awaited: a target may respond
  /// before it has read all of the request.
  void startSending();
  /// Closes the connection if bytes of the request are left, and waits until
  /// none is being sent.
  boost::asio::awaitable<void> stopSending();
  boost::asio::awaitable<void> forwardStream(TargetResponse &reader);
  boost::asio::awaitable<void> transfer();
  boost::asio::awaitable<void> probeLostTarget();
  void discardConnection();
  void classifyResponse(const TargetResponse &reader, BufferedBody body);
  void releaseConnection(const TargetResponse &reader);
  void fail(routing::ExchangeResult result, std::string reason);

  TargetConnectionPool &Connections;
  BufferBudget &Buffers;
  ExchangeRequest Request;
  ResponseWriter &Writer;
  routing::EventStreamBuffer *Events;
  std::optional<TargetConnectionPool::Socket> Connection;
  RequestSender Sender;
  /// The target was last heard, at the latest.
  Time HeardAt{};
  /// Given up, as the target did not acknowledge the request.
  bool Unacknowledged = false;
  /// The connection has served an earlier request.
  bool IsReused = false;
  bool Aborted = false;
  bool HeadReceived = false;
  /// The final response is complete.
  bool ResponseReceived = false;
  /// `transfer` has ended.
  bool Transferred = false;
  ExchangeOutcome Outcome;
};

} // namespace nutmegsill::gateway
