#include "exchange.h"

#include "clock.h"
#include "nutmegsill/routing/acknowledgement_policy.h"
#include "stream_forwarding.h"
#include "target_probe.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using routing::ExchangeResult;

namespace {

/// Time before the target's own idle timeout at which a connection is closed.
constexpr milliseconds IdleTimeoutMargin{1'500};
/// Idle timeout assumed for targets that state none.
constexpr milliseconds DefaultIdleTimeout{3'000};
constexpr unsigned FirstRedirectStatus = 300;
constexpr unsigned FirstServerErrorStatus = 500;

/// Statuses by which a router states to its callers that a request did not run;
/// a target's response with such a status is not forwarded.
bool isNotRunStatus(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

Exchange::Exchange(TargetConnectionPool &pool, BufferBudget &buffers,
                   ExchangeRequest request, ResponseWriter &writer,
                   routing::EventStreamBuffer *events)
    : Connections(pool), Buffers(buffers), Request(std::move(request)),
      Writer(writer), Events(events) {}

void Exchange::abort() {
  Aborted = true;
  discardConnection();
}

void Exchange::checkAcknowledged(Time now) {
  constexpr routing::AcknowledgementPolicy policy;
  const bool isOverdue = awaitsResponse() && !HeadReceived &&
                         !Sender.isSending() && Connection &&
                         Connection->is_open() &&
                         policy.isOverdue(now - Sender.sentAt(), now - HeardAt);
  if (isOverdue && unacknowledgedBytes(*Connection) > 0) {
    Unacknowledged = true;
    discardConnection();
  }
}

/// Closes the connection with a TCP reset, which discards what the system still
/// holds of the request: a target must not get it after it has been given up.
void Exchange::discardConnection() {
  if (Connection) {
    boost::system::error_code ec;
    Connection->set_option(asio::socket_base::linger(true, 0), ec);
    Connection->close(ec);
  }
}

bool Exchange::hasUnreadBytes() {
  // The end of the connection may complete a response without a length.
  return Outcome.RequestSent && Connection && Connection->is_open() &&
         peekSocket(*Connection) != SocketState::Open;
}

void Exchange::fail(ExchangeResult result, std::string reason) {
  Outcome.Result = Aborted ? ExchangeResult::Cancelled : result;
  Outcome.Reason = std::move(reason);
  const std::string unsent = Sender.describe();
  if (result == ExchangeResult::Broken && !unsent.empty()) {
    Outcome.Reason += ", " + unsent;
  }
}

asio::awaitable<bool> Exchange::connect() {
  // Without an id, the response could not be told from one to another request.
  if (!Request.RequestId.empty()) {
    std::optional<TargetConnectionPool::IdleConnection> idle =
        Connections.take(Request.TargetEndpoint, bootTimeNow());
    if (idle) {
      Connection.emplace(std::move(idle->Connection));
      HeardAt = idle->IdleSince;
      IsReused = true;
      co_return true;
    }
  }
  boost::system::error_code ec;
  Connection.emplace(co_await asio::this_coro::executor);
  co_await Connection->async_connect(
      Request.TargetEndpoint, asio::redirect_error(asio::use_awaitable, ec));
  if (ec || Aborted) {
    fail(ExchangeResult::Unreachable, ec.message());
    co_return false;
  }
  HeardAt = bootTimeNow();
  enableDeadPeerDetection(*Connection);
  co_return true;
}

void Exchange::startSending() {
  Request.OnConnected();
  Outcome.RequestSent = true;
  Sender.start(*Connection,
               {asio::buffer(Request.Head),
                asio::buffer(Request.Body.data(), Request.Body.size())});
}

asio::awaitable<void> Exchange::stopSending() {
  if (Sender.isSending()) {
    discardConnection();
  }
  co_await Sender.wait();
}

/// Turns a complete response into an outcome.
void Exchange::classifyResponse(const TargetResponse &reader,
                                BufferedBody body) {
  if (reader.head().NotRun) {
    Outcome.Result = reader.head().Misdirected ? ExchangeResult::Misdirected
                                               : ExchangeResult::Refused;
    Outcome.Reason = reader.head().Misdirected
                         ? "address is used by another target"
                         : "status " + std::to_string(reader.status());
    return;
  }
  const bool success = reader.status() < FirstRedirectStatus;
  if (success && !reader.head().Signed) {
    fail(ExchangeResult::Broken, "successful response without a signature");
    return;
  }
  if (isNotRunStatus(reader.status())) {
    fail(ExchangeResult::Failed,
         "status " + std::to_string(reader.status()) +
             " without a statement that the request did not run");
    return;
  }
  Outcome.Result = reader.status() >= FirstServerErrorStatus
                       ? ExchangeResult::Failed
                       : ExchangeResult::Completed;
  Outcome.Reason = "status " + std::to_string(reader.status());
  Outcome.Response =
      BufferedResponse{reader.status(), reader.forwardedFields(),
                       std::move(body.Text), std::move(body.Memory)};
}

asio::awaitable<void> Exchange::forwardStream(TargetResponse &reader) {
  StreamForwarding forwarding(reader, Writer, *Events, Buffers);
  StreamEnd end =
      co_await forwarding.run(Request.TargetEndpoint, Request.OnProgress);
  Outcome.CallerDisconnected = end.CallerDisconnected;
  Outcome.Result = end.Result;
  Outcome.Reason = std::move(end.Reason);
  if (Aborted && end.Result != ExchangeResult::Completed) {
    Outcome.Result = ExchangeResult::Cancelled;
  }
}

void Exchange::releaseConnection(const TargetResponse &reader) {
  ResponseReceived = reader.isComplete();
  const bool reusable = Outcome.Result != ExchangeResult::Broken &&
                        Sender.isSent() && reader.leavesConnectionUsable();
  if (!reusable || Aborted) {
    return;
  }
  const Duration idleTimeout = reader.head().IdleTimeout
                                   ? Duration(*reader.head().IdleTimeout)
                                   : Duration(DefaultIdleTimeout);
  const Time now = bootTimeNow();
  if (idleTimeout > IdleTimeoutMargin) {
    Connections.put(Request.TargetEndpoint, std::move(*Connection), now,
                    now + idleTimeout - IdleTimeoutMargin,
                    Request.MaxIdleConnections);
    Connection.reset();
  }
}

asio::awaitable<void> Exchange::transfer() {
  const bool connected = co_await connect();
  if (!connected) {
    co_return;
  }
  startSending();
  TargetResponse reader(*Connection, Sender, Buffers,
                        {Request.RequestId, Request.ResponseHasNoBody, IsReused,
                         [this](const platform::ResponseHead &head) {
                           Request.OnResponseHead(head, true);
                         }});
  const bool headReceived = co_await reader.readHead();
  if (!headReceived) {
    const bool unread = reader.headError().failed();
    fail(ExchangeResult::Broken, unread && Unacknowledged
                                     ? "request not acknowledged"
                                     : reader.reason());
    co_return;
  }
  HeadReceived = true;
  Request.OnResponseHead(reader.head(), false);
  const bool isSuccess = reader.status() < FirstRedirectStatus &&
                         reader.head().Signed && !reader.head().NotRun;
  const bool isResumed = Writer.hasStarted();
  if (isSuccess && isResumed && !reader.head().IsEventStream) {
    fail(ExchangeResult::Broken, "resumed stream is not an event stream");
    co_return;
  }
  if (Request.IsStream && isSuccess) {
    co_await forwardStream(reader);
  } else {
    BufferedBody body(Buffers);
    const bool complete = co_await reader.readBody(body, MaxBufferedBodyBytes);
    if (complete) {
      classifyResponse(reader, std::move(body));
    } else {
      fail(ExchangeResult::Broken, reader.reason());
    }
  }
  releaseConnection(reader);
}

asio::awaitable<void> Exchange::probeLostTarget() {
  const ProbeResult result = co_await probeTarget(Request.TargetEndpoint);
  if (result == ProbeResult::Refused) {
    Outcome.Result = ExchangeResult::TargetEnded;
    Outcome.Reason += ", target ended";
  }
}

asio::awaitable<ExchangeOutcome> Exchange::run() {
  co_await transfer();
  Transferred = true;
  co_await stopSending();
  if (!ResponseReceived) {
    discardConnection();
  }
  if (Outcome.Result == ExchangeResult::Broken) {
    Connection.reset();
    co_await probeLostTarget();
  }
  co_return std::move(Outcome);
}

} // namespace nutmegsill::gateway
