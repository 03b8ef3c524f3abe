/// One request to one target, and its answer.
#pragma once

#include "answer_writer.h"
#include "nutmegsill/platform/headers.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/event_stream_buffer.h"
#include "upstream.h"

#include <functional>
#include <optional>
#include <string>

namespace nutmegsill::gateway {

/// What is fixed for one exchange.
struct ExchangePlan {
  UpstreamPool::Endpoint To;
  /// Request line and fields; ends with an empty line.
  std::string Head;
  std::string_view Body;
  std::string RequestId;
  /// The answer is passed on while it arrives.
  bool Stream = false;
  /// The answer has no body whatever its header says.
  bool HeadOnly = false;
  /// Connections that may be kept to this target.
  std::size_t MostKept = 1;
  /// Called before the first byte is sent.
  std::function<void()> OnConnected;
  /// Called whenever a part of the answer's body has come.
  std::function<void()> OnProgress;
};

struct ExchangeOutcome {
  routing::ExchangeResult Result = routing::ExchangeResult::Unreachable;
  /// Bytes of the request may have reached the target.
  bool Sent = false;
  /// A whole answer that is not yet passed on.
  std::optional<WholeAnswer> Answer;
  bool CallerGone = false;
  std::string Reason;
};

/// Runs once. Not thread-safe.
class Exchange {
public:
  /// `events` collects a stream that may be continued elsewhere; may be null.
  Exchange(UpstreamPool &pool, ExchangePlan plan, AnswerWriter &caller,
           routing::EventStreamBuffer *events);

  boost::asio::awaitable<ExchangeOutcome> run();
  /// Closes the connection to the target; `run` ends soon.
  void abort();

private:
  struct Reader;
  boost::asio::awaitable<bool> connect();
  boost::asio::awaitable<bool> send();
  boost::asio::awaitable<bool> readHead(Reader &reader);
  boost::asio::awaitable<bool> readWhole(Reader &reader, std::string &body);
  boost::asio::awaitable<void> relay(Reader &reader);
  boost::asio::awaitable<bool> passOn(Reader &reader, std::string_view part,
                                      bool last);
  void judge(Reader &reader, std::string body);
  void finishConnection(Reader &reader);
  void fail(routing::ExchangeResult result, std::string reason);

  UpstreamPool &Pool;
  ExchangePlan Plan;
  AnswerWriter &Caller;
  routing::EventStreamBuffer *Events;
  std::optional<UpstreamPool::Socket> Connection;
  bool Aborted = false;
  ExchangeOutcome Outcome;
};

} // namespace nutmegsill::gateway
