#include "session.h"

#include "hedged_attempt.h"
#include "log.h"
#include "nutmegsill/routing/admission.h"
#include "nutmegsill/routing/request_lifecycle.h"
#include "request_log.h"
#include "request_reader.h"
#include "served_request.h"
#include "stream_run.h"
#include "stream_take_up.h"
#include "target_request.h"
#include "traffic_server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <variant>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using routing::Admission;
using routing::Assignment;
using routing::ExchangeResult;
using routing::LocalResponse;

namespace {

/// Timeout for connecting to a target: a round trip takes some milliseconds,
/// and a request that is not sent yet can be sent to another target.
constexpr milliseconds ConnectTimeout{300};

/// Interval at which a waiting request looks for a place beside the responses
/// that state one: what is known of targets also changes with its age.
constexpr milliseconds PlaceCheckInterval{20};

/// Retry-After of a relayed request that arrives after a change of the
/// configuration: within it the relaying host usually has the new one too.
constexpr milliseconds ChangedConfigRetryAfter{300};

/// Time beyond a timeout for bytes that had arrived before it; a process that
/// was suspended finds its timers expired.
constexpr milliseconds ReadTime{100};

/// Why a request was cancelled before its response was complete.
enum class CancelCause { None, CallerDisconnected, TimeLimit, AttemptTimeout };

std::string_view toView(beast::string_view text) {
  return {text.data(), text.size()};
}

class Session : public CallerConnection {
public:
  Session(SessionContext &context, tcp::socket caller,
          std::optional<ConfigRevision> relayedBy)
      : Context(context), RelayedBy(relayedBy), CallerSocket(std::move(caller)),
        Timer(CallerSocket.get_executor()),
        Writer(CallerSocket, &context.ResponseBuffers),
        Reader(context, CallerSocket, Writer) {}

  asio::awaitable<void> run();
  void endRequest(bool readsFirst) override;
  void closeIfIdle() override { Reader.closeIfIdle(); }
  void refuse() override { Reader.refuse(); }
  void close() override { Reader.close(); }
  std::optional<Time> waitsSince() const override {
    return Reader.waitsSince();
  }
  std::uint64_t budgetId() const override { return Reader.budgetId(); }
  void checkTarget(Time now) override;

private:
  using Request = ServedRequest;

  /// Reads the rest of a request whose head is known, unless it is rejected
  /// before; returns whether it is to be served.
  asio::awaitable<bool> readBody();
  asio::awaitable<void> serveRequest(Request &request);
  /// Decides what the head tells: whether the router takes requests, and the
  /// request's route and key.
  std::variant<Admission, LocalResponse>
  checkHead(const platform::RequestHead &head, Time now);
  std::optional<LocalResponse> admitRequest(Request &request);
  /// Finds where the stream that the request takes up may go on; returns
  /// whether the request may be dispatched.
  asio::awaitable<bool> takeUpStream(Request &request);
  asio::awaitable<void> dispatch(Request &request);
  /// Waits for a place if the request may; returns whether to choose a target
  /// again.
  asio::awaitable<bool> waitForPlace(Request &request, Time now);
  asio::awaitable<ExchangeOutcome> attempt(Request &request,
                                           Assignment &assignment);
  ExchangeRequest makeExchangeRequest(const Request &request,
                                      const Assignment &assignment);
  asio::awaitable<void> completeRequest(Request &request,
                                        const ExchangeOutcome &outcome);
  asio::awaitable<void> sendLocalResponse(Request &request,
                                          const LocalResponse &localResponse);

  void armTimer(Duration delay, CancelCause cause, bool mayExtend = true);
  /// Whether bytes of the target have arrived.
  bool hasUnreadBytes();
  void watchCaller();
  bool isServing() const {
    return CurrentExchange != nullptr || WaitsForPlace ||
           CurrentTakeUp != nullptr;
  }
  /// Whether the caller has left, so that its request is to be cancelled.
  bool hasLeft(SocketState state);
  void cancel(CancelCause cause);

  SessionContext &Context;
  /// A request of the connection has been served.
  bool HasServed = false;
  /// The configuration of the host that relays the connection, if any.
  const std::optional<ConfigRevision> RelayedBy;
  /// That host forwards no further request.
  bool RelaySendingEnded = false;
  tcp::socket CallerSocket;
  asio::steady_timer Timer;
  ResponseWriter Writer;
  RequestReader Reader;
  HedgedExchange *CurrentExchange = nullptr;
  CancelCause CancelledBy = CancelCause::None;
  /// Reserves a target for the next attempt. If there is none, returns false
  /// and sets the timer to the deadline. Empty before the request is sent.
  std::function<bool()> ReserveTarget;
  /// Counts uses of `Timer`, so that the expiry of an earlier use is
  /// ignored.
  std::uint64_t TimerGeneration = 0;
  bool WatchingCaller = false;
  /// Set while the request waits for a place at a target.
  std::optional<routing::PlaceTicket> WaitsForPlace;
  /// Set while other routers are asked who began a stream.
  StreamTakeUp *CurrentTakeUp = nullptr;
  /// Reset when the coroutine ends; pending handlers hold a weak pointer and
  /// must not touch the session after that.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>();
};

void Session::armTimer(Duration delay, CancelCause cause, bool mayExtend) {
  const std::uint64_t generation = ++TimerGeneration;
  Timer.expires_after(std::max(delay, Duration{0}));
  Timer.async_wait([this, lifetime = std::weak_ptr<bool>(LifetimeToken),
                    generation, cause,
                    mayExtend](boost::system::error_code ec) {
    if (ec || lifetime.expired() || generation != TimerGeneration) {
      return;
    }
    if (mayExtend && hasUnreadBytes()) {
      armTimer(ReadTime, cause, false);
      return;
    }
    const bool mayAbandon =
        cause != CancelCause::AttemptTimeout || !ReserveTarget ||
        !CurrentExchange->awaitsResponse() || ReserveTarget();
    if (mayAbandon) {
      cancel(cause);
    }
  });
}

bool Session::hasUnreadBytes() {
  return CurrentExchange != nullptr && CurrentExchange->hasUnreadBytes();
}

void Session::cancel(CancelCause cause) {
  if (CancelledBy == CancelCause::None) {
    CancelledBy = cause;
  }
  if (CurrentExchange != nullptr) {
    CurrentExchange->abort();
  } else if (WaitsForPlace) {
    Context.Waiters.wake(*WaitsForPlace);
  } else if (CurrentTakeUp != nullptr) {
    CurrentTakeUp->cancel();
  }
}

void Session::endRequest(bool readsFirst) {
  const bool reads = CurrentExchange != nullptr && readsFirst;
  if (isServing() && !(reads && hasUnreadBytes())) {
    cancel(CancelCause::TimeLimit);
  }
}

void Session::checkTarget(Time now) {
  if (CurrentExchange != nullptr) {
    CurrentExchange->checkAcknowledged(now);
  }
}

void Session::watchCaller() {
  if (WatchingCaller) {
    return;
  }
  WatchingCaller = true;
  CallerSocket.async_wait(RelaySendingEnded ? tcp::socket::wait_error
                                            : tcp::socket::wait_read,
                          [this, lifetime = std::weak_ptr<bool>(LifetimeToken)](
                              boost::system::error_code ec) {
                            if (lifetime.expired()) {
                              return;
                            }
                            WatchingCaller = false;
                            if (!isServing()) {
                              return;
                            }
                            if (ec == asio::error::operation_aborted) {
                              // Cancelled while the request was awaited.
                              watchCaller();
                              return;
                            }
                            const SocketState state =
                                peekSocket(CallerSocket, RelayedBy.has_value());
                            if (hasLeft(state)) {
                              cancel(CancelCause::CallerDisconnected);
                            } else if (state != SocketState::HasData) {
                              watchCaller();
                            }
                          });
}

bool Session::hasLeft(SocketState state) {
  RelaySendingEnded = RelaySendingEnded || state == SocketState::SendingEnded;
  return state == SocketState::Closed;
}

asio::awaitable<bool> Session::readBody() {
  if (Reader.expectsLargeBody()) {
    Request request;
    request.Head = platform::parseRequestHead(Reader.head().base());
    request.ArrivedAt = bootTimeNow();
    const std::variant<Admission, LocalResponse> checked =
        checkHead(request.Head, request.ArrivedAt);
    if (const auto *rejected = std::get_if<LocalResponse>(&checked)) {
      Writer.reset(false, Reader.head().method() == http::verb::head);
      co_await sendLocalResponse(request, *rejected);
      co_await Reader.drain();
      co_return false;
    }
  }
  const bool complete = co_await Reader.readBody();
  co_return complete;
}

asio::awaitable<void> Session::run() {
  boost::system::error_code ec;
  CallerSocket.set_option(tcp::no_delay(true), ec);
  Context.Callers.add(*this);
  for (;;) {
    bool complete = co_await Reader.readHead();
    if (complete && !Reader.isComplete()) {
      complete = co_await readBody();
    }
    if (!complete) {
      break;
    }
    CancelledBy = CancelCause::None;
    Request request;
    request.ArrivedAt = bootTimeNow();
    request.Message = Reader.release();
    Writer.reset(
        request.Message.keep_alive() && !Context.Shared.isDraining() &&
            Context.Callers.mayKeepAlive() &&
            !(Context.Handover.movesCallers(request.ArrivedAt) && !RelayedBy),
        request.Message.method() == http::verb::head);
    ++Context.RequestsInFlight;
    co_await serveRequest(request);
    --Context.RequestsInFlight;
    Reader.finish();
    if (!Writer.hasFinished() || !Writer.keepsAlive()) {
      break;
    }
  }
  Context.Callers.remove(*this);
  LifetimeToken.reset();
  if (Writer.hasStarted() && !Writer.hasFinished()) {
    // A TCP reset shows the caller that the response is incomplete.
    CallerSocket.set_option(asio::socket_base::linger(true, 0), ec);
  } else {
    CallerSocket.shutdown(tcp::socket::shutdown_send, ec);
  }
  CallerSocket.close(ec);
}

std::variant<Admission, LocalResponse>
Session::checkHead(const platform::RequestHead &head, Time now) {
  const std::optional<routing::StopSchedule> stop = Context.stopSchedule();
  if (stop && now >= stop->admissionEnd()) {
    Writer.disableKeepAlive();
    return LocalResponse{503, "stopping", Duration{0}};
  }
  if (Context.Overload.isOverloaded()) {
    // On its next connection the caller may be sent to another router.
    Writer.disableKeepAlive();
    return LocalResponse{503, "router_overloaded",
                         routing::overloadRetryAfter(head.RequestId)};
  }
  const std::shared_ptr<const routing::FleetView> view =
      Context.refreshView(now);
  if (RelayedBy && view && view->Config->Revision != *RelayedBy) {
    // The relaying host may serve other requests by an older configuration.
    Writer.disableKeepAlive();
    return LocalResponse{503, "configuration_changed", ChangedConfigRetryAfter};
  }
  routing::IncomingRequest incoming;
  incoming.HostName = head.HostName;
  incoming.Path = head.Path;
  incoming.ApiKey = head.ApiKey;
  incoming.RequestId = head.RequestId;
  incoming.Resumes = head.Resumes;
  incoming.Timeout = head.Timeout;
  routing::AdmissionPolicy policy;
  policy.RevocationBound = Context.Settings.Bounds.RevocationBound;
  std::variant<Admission, LocalResponse> admitted =
      routing::admit(incoming, view, Context.Shared.configAge(now), policy);
  auto *admission = std::get_if<Admission>(&admitted);
  if (admission != nullptr && stop) {
    if (!stop->admits(Context.Durations.expected(admission->Route->Name),
                      now)) {
      Writer.disableKeepAlive();
      return LocalResponse{503, "stopping", Duration{0}};
    }
    admission->TimeLimit =
        std::min(admission->TimeLimit, stop->requestEnd() - now);
  }
  return admitted;
}

/// Returns the router's own response when the request is rejected.
std::optional<LocalResponse> Session::admitRequest(Request &request) {
  const Time now = request.ArrivedAt;
  std::variant<Admission, LocalResponse> checked = checkHead(request.Head, now);
  if (const auto *rejected = std::get_if<LocalResponse>(&checked)) {
    return *rejected;
  }
  request.Admitted = std::move(std::get<Admission>(checked));
  routing::RequestContent content;
  content.Team = request.Admitted->Team.Text;
  content.Method = toView(request.Message.method_string());
  content.HostName = request.Head.HostName;
  content.Target = toView(request.Message.target());
  content.Body = request.Message.body();
  request.Lifecycle.emplace(*request.Admitted, request.Head.Prompt,
                            routing::RequestIdentity(content), now);
  return std::nullopt;
}

asio::awaitable<void> Session::serveRequest(Request &request) {
  request.Head = platform::parseRequestHead(request.Message.base());
  const std::optional<LocalResponse> localResponse = admitRequest(request);
  Context.Handover.recordRequest(
      request.Admitted ? request.Admitted->Route->Semantics
                       : routing::ExecutionSemantics::Idempotent,
      !std::exchange(HasServed, true), request.ArrivedAt);
  if (localResponse) {
    co_await sendLocalResponse(request, *localResponse);
    co_return;
  }
  Context.Dispatcher.recordRequest(request.Lifecycle->dispatchRequest(),
                                   request.ArrivedAt);
  Context.Hedges.recordRequest(request.Admitted->Pool, request.ArrivedAt);
  if (request.Admitted->Route->isResumableStream()) {
    request.Events = routing::EventStreamBuffer(request.Head.LastEventId);
    const std::optional<routing::StreamKey> key = streamKeyOf(request);
    if (key) {
      request.Lifecycle->keepOrigin(*key, request.Head.Timeout);
    }
  }
  if (request.takesUpStream()) {
    const bool mayGoOn = co_await takeUpStream(request);
    if (!mayGoOn) {
      co_return;
    }
  }
  co_await dispatch(request);
}

asio::awaitable<bool> Session::takeUpStream(Request &request) {
  StreamTakeUp takeUp(Context, request);
  CurrentTakeUp = &takeUp;
  watchCaller();
  const std::optional<LocalResponse> rejected = co_await takeUp.run();
  CurrentTakeUp = nullptr;
  if (rejected) {
    ExchangeOutcome outcome;
    outcome.CallerDisconnected = CancelledBy == CancelCause::CallerDisconnected;
    if (outcome.CallerDisconnected) {
      co_await completeRequest(request, outcome);
    } else {
      co_await sendLocalResponse(request, *rejected);
    }
  }
  co_return !rejected.has_value();
}

asio::awaitable<void> Session::dispatch(Request &request) {
  routing::RequestLifecycle &lifecycle = *request.Lifecycle;
  ExchangeOutcome outcome;
  for (;;) {
    // The caller may have disconnected while this router was stalled.
    if (hasLeft(peekSocket(CallerSocket, RelayedBy.has_value()))) {
      outcome.CallerDisconnected = true;
      break;
    }
    const Time now = bootTimeNow();
    Context.refreshView(now);
    const bool waited = lifecycle.dispatchRequest().Ticket.has_value();
    routing::DispatchDecision decision =
        lifecycle.chooseTarget(Context.Dispatcher, now);
    Assignment *assignment = std::get_if<Assignment>(&decision);
    if (waited && assignment != nullptr) {
      Context.Counters.countPlaceWait("placed");
      Context.wakeWaiting(assignment->Pool);
    }
    if (assignment == nullptr) {
      const bool mayChoose = co_await waitForPlace(request, now);
      if (mayChoose) {
        continue;
      }
      break;
    }
    outcome = co_await attempt(request, *assignment);
    if (request.isStream() && outcome.RequestSent) {
      recordStreamRun(Context.Counters,
                      {request.Head.RequestId, assignment->Target,
                       outcome.Result, outcome.Reason},
                      request.Events);
    }
    routing::AttemptOutcome attemptOutcome;
    attemptOutcome.Result = outcome.Result;
    attemptOutcome.RequestSent = outcome.RequestSent;
    attemptOutcome.Abandoned = CancelledBy == CancelCause::CallerDisconnected ||
                               CancelledBy == CancelCause::TimeLimit ||
                               outcome.CallerDisconnected;
    attemptOutcome.ResponseStarted = Writer.hasStarted();
    attemptOutcome.MayResume = !request.Events.lastEventId().empty();
    attemptOutcome.Reason = outcome.Reason;
    const bool mayRetry = lifecycle.finishAttempt(
        Context.Dispatcher, *assignment, attemptOutcome, bootTimeNow());
    if (!mayRetry) {
      break;
    }
    request.Events.beginRun();
  }
  lifecycle.releaseReserved(Context.Dispatcher, bootTimeNow());
  if (lifecycle.endWait(Context.Dispatcher)) {
    Context.Counters.countPlaceWait(outcome.CallerDisconnected ? "caller_left"
                                                               : "rejected");
    Context.wakeWaiting(request.Admitted->Pool);
  }
  co_await completeRequest(request, outcome);
}

asio::awaitable<bool> Session::waitForPlace(Request &request, Time now) {
  const Duration time = request.Lifecycle->beginWait(Context.Dispatcher, now);
  if (time <= Duration{0}) {
    co_return false;
  }
  WaitsForPlace = request.Lifecycle->dispatchRequest().Ticket;
  CancelledBy = CancelCause::None;
  watchCaller();
  co_await Context.Waiters.wait(*WaitsForPlace,
                                std::min<Duration>(time, PlaceCheckInterval));
  WaitsForPlace.reset();
  // `dispatch` finds that the caller has disconnected.
  co_return CancelledBy == CancelCause::None ||
      CancelledBy == CancelCause::CallerDisconnected;
}

ExchangeRequest Session::makeExchangeRequest(const Request &request,
                                             const Assignment &assignment) {
  platform::ForwardedRequestValues forwarded;
  forwarded.Target = assignment.Target;
  forwarded.Team = request.Admitted->Team;
  forwarded.RemainingTime = milliseconds(std::max<std::int64_t>(
      1, toMilliseconds(request.Lifecycle->remainingTime(bootTimeNow()))));
  forwarded.LastEventId = request.Events.lastEventId();
  ExchangeRequest out = makeTargetRequest(request.Message, forwarded);
  out.RequestId = request.Head.RequestId;
  out.IsStream = request.isStream();
  out.MaxIdleConnections =
      Context.Dispatcher.maxConnectionsPerTarget(assignment.Pool);
  return out;
}

asio::awaitable<ExchangeOutcome> Session::attempt(Request &request,
                                                  Assignment &assignment) {
  const std::optional<Endpoint> targetEndpoint =
      parseEndpoint(assignment.Address);
  if (!targetEndpoint) {
    ExchangeOutcome outcome;
    outcome.Reason = "target address is not of the form IP:port";
    co_return outcome;
  }
  const routing::RequestLifecycle &lifecycle = *request.Lifecycle;
  const Time begin = bootTimeNow();
  const Duration remaining = lifecycle.remainingTime(begin);
  const Duration attemptTimeout = lifecycle.attemptTimeout(assignment, begin);
  ExchangeRequest exchangeRequest = makeExchangeRequest(request, assignment);
  exchangeRequest.TargetEndpoint = *targetEndpoint;
  logDispatch(request.Head, lifecycle.dispatchRequest(), assignment,
              Context.View->Version, request.Admitted->Config->Revision);
  exchangeRequest.OnConnected = [this, &request, &assignment, attemptTimeout] {
    routing::RequestLifecycle &lifecycle = *request.Lifecycle;
    const Duration timeLeft = lifecycle.remainingTime(bootTimeNow());
    if (attemptTimeout < timeLeft) {
      armTimer(attemptTimeout, CancelCause::AttemptTimeout);
      ReserveTarget = [this, &lifecycle, &assignment] {
        const Time now = bootTimeNow();
        const bool reserved =
            !CurrentExchange->hasSecond() &&
            lifecycle.reserveTarget(Context.Dispatcher, assignment, now);
        if (!reserved) {
          armTimer(lifecycle.remainingTime(now), CancelCause::TimeLimit);
        }
        return reserved;
      };
    } else {
      armTimer(timeLeft, CancelCause::TimeLimit);
    }
  };
  exchangeRequest.OnResponseHead =
      [this, &assignment](const platform::ResponseHead &head, bool isLate) {
        Context.recordResponseHead(assignment, head, isLate);
      };
  bool responseStarted = false;
  exchangeRequest.OnProgress = [this, &assignment, &responseStarted, &request] {
    const Time now = bootTimeNow();
    request.Lifecycle->recordProgress(Context.Dispatcher, assignment, now);
    if (!request.TimeToFirstPart) {
      request.TimeToFirstPart = now - request.ArrivedAt;
    }
    if (!responseStarted && CancelledBy == CancelCause::None) {
      armTimer(request.Lifecycle->remainingTime(now), CancelCause::TimeLimit);
    }
    responseStarted = true;
  };
  Exchange first(Context.TargetConnections, Context.ResponseBuffers,
                 std::move(exchangeRequest), Writer, &request.Events);
  HedgedExchange exchange(first);
  HedgedAttempt hedge(Context, *request.Lifecycle, Writer);
  hedge.prepare(exchange, assignment, [this, &request](const Assignment &it) {
    return makeExchangeRequest(request, it);
  });
  CurrentExchange = &exchange;
  CancelledBy = CancelCause::None;
  if (remaining > ConnectTimeout) {
    armTimer(ConnectTimeout, CancelCause::AttemptTimeout);
  } else {
    armTimer(remaining, CancelCause::TimeLimit);
  }
  watchCaller();
  ExchangeOutcome outcome = co_await exchange.run();
  CurrentExchange = nullptr;
  ReserveTarget = nullptr;
  ++TimerGeneration;
  hedge.finish(exchange, outcome, assignment);
  const bool timedOut = CancelledBy == CancelCause::TimeLimit ||
                        CancelledBy == CancelCause::AttemptTimeout;
  if (timedOut && outcome.Result == ExchangeResult::Cancelled) {
    outcome.Result = ExchangeResult::TimedOut;
    outcome.Reason = "time limit";
  }
  if (CancelledBy == CancelCause::CallerDisconnected) {
    outcome.CallerDisconnected = true;
  }
  co_return outcome;
}

asio::awaitable<void> Session::completeRequest(Request &request,
                                               const ExchangeOutcome &outcome) {
  if (outcome.CallerDisconnected) {
    Writer.disableKeepAlive();
    recordEnd(Context, request, "caller_left", 0, outcome.Reason);
    co_return;
  }
  if (outcome.Result == ExchangeResult::Completed) {
    Context.Durations.record(request.Admitted->Route->Name,
                             bootTimeNow() - request.ArrivedAt);
  }
  if (Writer.hasFinished()) {
    recordEnd(Context, request, "complete", 200, outcome.Reason);
    co_return;
  }
  if (Writer.hasStarted()) {
    Writer.disableKeepAlive();
    recordEnd(Context, request, "broken", 0, outcome.Reason);
    co_return;
  }
  if (outcome.Response) {
    const unsigned status = outcome.Response->Status;
    co_await Writer.write(*outcome.Response);
    recordEnd(Context, request,
              outcome.Result == ExchangeResult::Completed ? "complete"
                                                          : "target_error",
              status, outcome.Reason);
    co_return;
  }
  co_await sendLocalResponse(request, request.Lifecycle->localResponse());
}

asio::awaitable<void>
Session::sendLocalResponse(Request &request,
                           const LocalResponse &localResponse) {
  const BufferedResponse response =
      makeLocalResponse(request.Head.RequestId, localResponse);
  co_await Writer.write(response);
  recordEnd(Context, request, localResponse.RetryAfter ? "refused" : "failed",
            localResponse.Status, localResponse.Reason);
}

} // namespace

asio::awaitable<void> serveCaller(SessionContext &context, tcp::socket caller,
                                  std::optional<ConfigRevision> relayedBy) {
  context.Handover.recordConnection(bootTimeNow());
  Session session(context, std::move(caller), relayedBy);
  co_await session.run();
}

} // namespace nutmegsill::gateway
