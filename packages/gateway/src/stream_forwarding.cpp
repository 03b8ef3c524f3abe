#include "stream_forwarding.h"

#include "target_probe.h"

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using routing::ExchangeResult;

namespace {

/// Longest event of a stream; longer ones are taken for bytes of a faulty
/// target.
constexpr std::size_t MaxEventBytes = 64U << 10U;

StreamEnd broken(std::string reason) {
  return {ExchangeResult::Broken, std::move(reason)};
}

StreamEnd callerDisconnected() {
  return {ExchangeResult::Cancelled, "caller disconnected", true};
}

} // namespace

/// Whether a body that has ended is a stream that was broken off. The framing
/// of a body does not tell: it may be ended in due form inside an event.
bool StreamForwarding::isCutOff() const {
  const bool unframed = Response.endsWithConnection();
  return Events.boundary().isInsideEvent()
             ? unframed || Response.head().IsEventStream
             : unframed && !Events.boundary().hasEvent();
}

std::optional<std::string> StreamForwarding::findFault() {
  if (Events.fault()) {
    return Events.fault()->Reason;
  }
  const std::size_t pending = Events.boundary().pendingBytes();
  if (pending > MaxEventBytes) {
    return "event longer than " + std::to_string(MaxEventBytes) + " bytes";
  }
  if (!Memory.resize(pending)) {
    return "no memory to buffer more than " + std::to_string(pending) +
           " bytes of an event";
  }
  if (Response.isComplete() && isCutOff()) {
    return "stream ended inside an event";
  }
  return std::nullopt;
}

asio::awaitable<bool> StreamForwarding::begin(std::string_view events) {
  const bool sent = co_await Writer.beginChunked(
      Response.status(), Response.forwardedFields(), events);
  co_return sent;
}

asio::awaitable<bool> StreamForwarding::forward(std::string_view events) {
  bool sent = true;
  if (Writer.hasStarted()) {
    sent = co_await Writer.writeChunk(events);
  } else if (!events.empty()) {
    sent = co_await begin(events);
  }
  co_return sent;
}

asio::awaitable<bool> StreamForwarding::finish(std::string_view events) {
  if (!Writer.hasStarted()) {
    const bool sent = co_await begin(events);
    if (!sent) {
      co_return false;
    }
    events = {};
  }
  const bool sent = co_await Writer.finishChunked(events);
  co_return sent;
}

asio::awaitable<StreamEnd>
StreamForwarding::run(TargetConnectionPool::Endpoint target,
                      const std::function<void()> &onProgress) {
  for (;;) {
    const boost::system::error_code ec = co_await Response.readPart();
    if (ec) {
      co_return broken("stream cut: " + ec.message());
    }
    const bool isLast = Response.isComplete();
    std::string events = Response.head().IsEventStream
                             ? Events.append(Response.part())
                             : Events.appendUnchecked(Response.part());
    const std::optional<std::string> fault = findFault();
    if (!events.empty() || (isLast && !fault && !Response.part().empty())) {
      onProgress();
    }
    const bool isWhole = isLast && !fault;
    if (!isWhole || Response.endsWithConnection()) {
      const bool sent = co_await forward(events);
      if (!sent) {
        co_return callerDisconnected();
      }
      events.clear();
    }
    if (fault) {
      co_return broken(*fault);
    }
    if (!isLast) {
      continue;
    }
    if (Response.endsWithConnection()) {
      const bool accepts = co_await stillAccepts(target);
      if (!accepts) {
        co_return broken("stream ended with its target");
      }
    }
    events += Events.takeIncomplete();
    const bool sent = co_await finish(events);
    if (!sent) {
      co_return callerDisconnected();
    }
    co_return StreamEnd{ExchangeResult::Completed,
                        "status " + std::to_string(Response.status())};
  }
}

} // namespace nutmegsill::gateway
