/// Forwards the response of a target while it arrives.
#pragma once

#include "buffer_budget.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/event_stream_buffer.h"
#include "response_writer.h"
#include "target_response.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill::gateway {

/// How forwarding has ended.
struct StreamEnd {
  routing::ExchangeResult Result = routing::ExchangeResult::Broken;
  std::string Reason;
  bool CallerDisconnected = false;
};

/// Forwards one run of a stream, whose head has been read. Not thread-safe.
class StreamForwarding {
public:
  /// `events` holds the stream over all its runs.
  StreamForwarding(TargetResponse &response, ResponseWriter &writer,
                   routing::EventStreamBuffer &events, BufferBudget &buffers)
      : Response(response), Writer(writer), Events(events), Memory(buffers) {}

  /// `target` is where the response comes from; `onProgress` is called whenever
  /// the end of an event, or of the stream, has arrived.
  boost::asio::awaitable<StreamEnd>
  run(TargetConnectionPool::Endpoint target,
      const std::function<void()> &onProgress);

private:
  /// Returns what is wrong with the run after its last part.
  std::optional<std::string> findFault();
  bool isCutOff() const;
  boost::asio::awaitable<bool> forward(std::string_view events);
  boost::asio::awaitable<bool> finish(std::string_view events);
  boost::asio::awaitable<bool> begin(std::string_view events);

  TargetResponse &Response;
  ResponseWriter &Writer;
  routing::EventStreamBuffer &Events;
  /// Of the incomplete event.
  BufferBudget::Lease Memory;
};

} // namespace nutmegsill::gateway
