#include "session.h"

#include "exchange.h"
#include "front.h"
#include "log.h"
#include "nutmegsill/routing/admission.h"
#include "nutmegsill/routing/request_lifecycle.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using routing::Admission;
using routing::Assignment;
using routing::ExchangeResult;
using routing::LocalResponse;
using routing::RouteRule;

namespace {

/// Longest time to connect to a target; the way there and back takes some
/// milliseconds, and nothing is lost by asking another one.
constexpr milliseconds ConnectLimit{300};
/// Who ended a request before its answer was complete.
enum class Cut { None, CallerLeft, TimeLimit, AttemptLimit };

class Session {
public:
  Session(Traffic &traffic, tcp::socket caller)
      : Shared(traffic), Caller(std::move(caller)),
        Timer(Caller.get_executor()), Writer(Caller) {}

  asio::awaitable<void> run();

private:
  using Parser = http::request_parser<http::string_body>;

  /// The request that is being served.
  struct Request {
    platform::RequestHead Head;
    http::request<http::string_body> Message;
    Time ArrivedAt{};
    /// Set when it may be sent to a target.
    std::optional<Admission> Admitted;
    std::optional<routing::RequestLifecycle> Course;
    /// Time from the arrival to the first part of the answer.
    std::optional<Duration> FirstAfter;
    std::optional<routing::EventStreamBuffer> Events;
  };

  asio::awaitable<bool> read(Parser &parser);
  asio::awaitable<void> serve(Request &request);
  std::optional<LocalResponse> locate(Request &request);
  asio::awaitable<void> dispatch(Request &request);
  asio::awaitable<ExchangeOutcome> attempt(Request &request,
                                           Assignment &assignment);
  ExchangePlan plan(const Request &request, const Assignment &assignment);
  void logDispatch(const Request &request, const Assignment &assignment);
  asio::awaitable<void> conclude(Request &request,
                                 const ExchangeOutcome &outcome);
  asio::awaitable<void> answer(Request &request, const LocalResponse &own);
  void end(const Request &request, const std::string &outcome, unsigned status,
           const std::string &reason);

  void arm(Duration after, Cut cut);
  void watchCaller();
  void cut(Cut reason);

  Traffic &Shared;
  tcp::socket Caller;
  asio::steady_timer Timer;
  AnswerWriter Writer;
  beast::flat_buffer Buffer;
  Exchange *Running = nullptr;
  Cut CutBy = Cut::None;
  /// Counts uses of `Timer`, so that a late expiry is recognised.
  std::uint64_t TimerUse = 0;
  bool Watching = false;
  /// The coroutine has ended; late handlers must not touch it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>();
};

void Session::arm(Duration after, Cut reason) {
  const std::uint64_t use = ++TimerUse;
  Timer.expires_after(std::max(after, Duration{0}));
  Timer.async_wait([this, alive = std::weak_ptr<bool>(Alive), use,
                    reason](boost::system::error_code ec) {
    if (ec || alive.expired() || use != TimerUse) {
      return;
    }
    cut(reason);
  });
}

void Session::cut(Cut reason) {
  if (CutBy == Cut::None) {
    CutBy = reason;
  }
  if (Running != nullptr) {
    Running->abort();
  } else if (reason == Cut::TimeLimit) {
    // No request is open: the caller was idle or sent its header too slowly.
    boost::system::error_code ec;
    Caller.close(ec);
  }
}

void Session::watchCaller() {
  if (Watching) {
    return;
  }
  Watching = true;
  Caller.async_wait(
      tcp::socket::wait_read,
      [this, alive = std::weak_ptr<bool>(Alive)](boost::system::error_code ec) {
        if (alive.expired()) {
          return;
        }
        Watching = false;
        if (ec || Running == nullptr) {
          return;
        }
        const PeekState state = peek(Caller);
        if (state == PeekState::Closed) {
          cut(Cut::CallerLeft);
        } else if (state == PeekState::Open) {
          watchCaller();
        }
      });
}

/// Reads one request; answers malformed ones.
asio::awaitable<bool> Session::read(Parser &parser) {
  const std::shared_ptr<const routing::FleetView> view =
      Shared.refresh(bootNow());
  const routing::CallerLimits limits =
      view ? view->Config->Limits : routing::CallerLimits();
  parser.header_limit(limits.MaxHeaderBytes);
  parser.body_limit(limits.MaxBodyBytes);
  boost::system::error_code ec;
  const auto token = [&ec] {
    return asio::redirect_error(asio::use_awaitable, ec);
  };
  bool begun = Buffer.size() > 0;
  arm(begun ? Duration(limits.HeaderTimeout)
            : Shared.Callers.idleTime(limits.IdleTimeout),
      Cut::TimeLimit);
  while (!ec && !parser.is_header_done()) {
    co_await http::async_read_some(Caller, Buffer, parser, token());
    if (!ec && !begun && !parser.is_header_done()) {
      begun = true;
      arm(limits.HeaderTimeout, Cut::TimeLimit);
    }
  }
  if (!ec && parser.get()[http::field::expect] == "100-continue") {
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(Caller, asio::buffer(interim), token());
  }
  if (!ec && !parser.is_done()) {
    arm(limits.IdleTimeout, Cut::TimeLimit);
    co_await http::async_read(Caller, Buffer, parser, token());
  }
  if (!ec) {
    co_return true;
  }
  const bool ended =
      ec == http::error::end_of_stream || ec == http::error::partial_message ||
      ec.category() !=
          http::make_error_code(http::error::bad_method).category();
  if (!ended) {
    WholeAnswer refusal;
    refusal.Status = ec == http::error::header_limit ? 431
                     : ec == http::error::body_limit ? 413
                                                     : 400;
    Writer.reset(false);
    co_await Writer.whole(refusal);
    logLine(
        "request", "malformed",
        {{"status", std::to_string(refusal.Status)}, {"reason", ec.message()}});
  }
  co_return false;
}

asio::awaitable<void> Session::run() {
  boost::system::error_code ec;
  Caller.set_option(tcp::no_delay(true), ec);
  Shared.Callers.opened();
  for (;;) {
    Parser parser;
    const bool complete = co_await read(parser);
    if (!complete) {
      break;
    }
    ++TimerUse;
    CutBy = Cut::None;
    Request request;
    request.ArrivedAt = bootNow();
    request.Message = parser.release();
    Writer.reset(request.Message.keep_alive() && !Shared.Shared.leaving() &&
                 Shared.Callers.mayKeep());
    ++Shared.Active;
    co_await serve(request);
    --Shared.Active;
    if (!Writer.finished() || !Writer.keepAlive()) {
      break;
    }
  }
  Shared.Callers.closed();
  Alive.reset();
  if (Writer.started() && !Writer.finished()) {
    // A reset shows the caller that the answer is incomplete.
    Caller.set_option(asio::socket_base::linger(true, 0), ec);
  } else {
    Caller.shutdown(tcp::socket::shutdown_send, ec);
  }
  Caller.close(ec);
}

/// Finds route, team and pool; returns the answer when there is none.
std::optional<LocalResponse> Session::locate(Request &request) {
  const Time now = request.ArrivedAt;
  if (Shared.Closing) {
    Writer.closeAfter();
    return LocalResponse{503, "stopping", Duration{0}};
  }
  routing::IncomingRequest incoming;
  incoming.HostName = request.Head.HostName;
  incoming.Path = request.Head.Path;
  incoming.ApiKey = request.Head.ApiKey;
  incoming.RequestId = request.Head.RequestId;
  incoming.Timeout = request.Head.Timeout;
  routing::AdmissionPolicy policy;
  policy.RevocationBound = Shared.Own.Bounds.Revocation;
  std::variant<Admission, LocalResponse> found = routing::admit(
      incoming, Shared.refresh(now), Shared.Shared.configAge(now), policy);
  if (const LocalResponse *own = std::get_if<LocalResponse>(&found)) {
    return *own;
  }
  request.Admitted = std::get<Admission>(std::move(found));
  request.Course.emplace(*request.Admitted, request.Head.Prompt, now);
  return std::nullopt;
}

asio::awaitable<void> Session::serve(Request &request) {
  request.Head = platform::parseRequestHead(request.Message.base());
  const std::optional<LocalResponse> own = locate(request);
  if (own) {
    co_await answer(request, *own);
    co_return;
  }
  Shared.Decisions.recordRequest(request.Course->dispatchRequest(), request.ArrivedAt);
  const RouteRule &route = *request.Admitted->Route;
  if (route.Semantics == routing::ExecutionSemantics::Stream && route.Resumable) {
    request.Events.emplace();
  }
  co_await dispatch(request);
}

asio::awaitable<void> Session::dispatch(Request &request) {
  routing::RequestLifecycle &course = *request.Course;
  ExchangeOutcome outcome;
  for (;;) {
    // A router that was held up may find that the caller has left meanwhile.
    if (peek(Caller) == PeekState::Closed) {
      outcome.CallerGone = true;
      break;
    }
    const Time now = bootNow();
    Shared.refresh(now);
    routing::DispatchDecision choice = course.chooseTarget(Shared.Decisions, now);
    Assignment *assignment = std::get_if<Assignment>(&choice);
    if (assignment == nullptr) {
      break;
    }
    outcome = co_await attempt(request, *assignment);
    routing::AttemptOutcome attempted;
    attempted.Result = outcome.Result;
    attempted.RequestSent = outcome.Sent;
    attempted.Abandoned = CutBy == Cut::CallerLeft || CutBy == Cut::TimeLimit ||
                        outcome.CallerGone;
    attempted.ResponseStarted = Writer.started();
    attempted.MayResume = request.Events && !request.Events->lastEventId().empty();
    attempted.Reason = outcome.Reason;
    const bool again =
        course.finishAttempt(Shared.Decisions, *assignment, attempted, bootNow());
    if (!again) {
      break;
    }
    if (request.Events) {
      request.Events->dropIncomplete();
    }
  }
  co_await conclude(request, outcome);
}

ExchangePlan Session::plan(const Request &request,
                           const Assignment &assignment) {
  platform::ForwardedRequestValues order;
  order.Target = assignment.Target;
  order.Team = request.Admitted->Team;
  order.RemainingTime = milliseconds(
      std::max<std::int64_t>(1, toMilliseconds(request.Course->remainingTime(bootNow()))));
  if (request.Events) {
    order.LastEventId = request.Events->lastEventId();
  }
  ExchangePlan plan;
  const http::request<http::string_body> &message = request.Message;
  plan.Head.append(message.method_string().data(),
                   message.method_string().size());
  plan.Head.append(" ");
  plan.Head.append(message.target().data(), message.target().size());
  plan.Head.append(" HTTP/1.1\r\n");
  const http::fields fields =
      platform::makeForwardedRequestFields(message.base(), order);
  for (const auto &it : fields) {
    plan.Head.append(it.name_string().data(), it.name_string().size());
    plan.Head.append(": ");
    plan.Head.append(it.value().data(), it.value().size());
    plan.Head.append("\r\n");
  }
  const bool bare =
      message.body().empty() && (message.method() == http::verb::get ||
                                 message.method() == http::verb::head);
  if (!bare) {
    plan.Head.append("Content-Length: ")
        .append(std::to_string(message.body().size()))
        .append("\r\n");
  }
  plan.Head.append("\r\n");
  plan.Body = message.body();
  plan.RequestId = request.Head.RequestId;
  plan.Stream = request.Admitted->Route->Semantics == routing::ExecutionSemantics::Stream;
  plan.HeadOnly = message.method() == http::verb::head;
  plan.MostKept = Shared.Decisions.maxConnectionsPerTarget(assignment.Pool);
  return plan;
}

void Session::logDispatch(const Request &request,
                          const Assignment &assignment) {
  const routing::DispatchRequest &facts = request.Course->dispatchRequest();
  logLine("request", "dispatched",
          {{"id", request.Head.RequestId},
           {"team", facts.Team.Text},
           {"route", facts.Route->Name},
           {"target", assignment.Target.Text},
           {"expected_ms", std::to_string(toMilliseconds(assignment.ExpectedFirstEvent))},
           {"cached", std::to_string(assignment.CachedTokens)},
           {"prefill", std::to_string(assignment.PrefillTokens)},
           {"output", std::to_string(facts.Prompt.MaxOutputTokens)},
           {"used_share", std::to_string(assignment.FairShareUsage)},
           {"view", std::to_string(Shared.View->Version)},
           {"revision", std::to_string(request.Admitted->Config->Revision.Value)},
           {"report_age_ms", std::to_string(assignment.OldestReportAgeMs)},
           {"left_ms", std::to_string(toMilliseconds(facts.RemainingTime))}});
}

asio::awaitable<ExchangeOutcome> Session::attempt(Request &request,
                                                  Assignment &assignment) {
  const std::optional<Endpoint> to = parseEndpoint(assignment.Address);
  if (!to) {
    ExchangeOutcome outcome;
    outcome.Reason = "address is not IP:port";
    co_return outcome;
  }
  const routing::RequestLifecycle &course = *request.Course;
  const Time begin = bootNow();
  const Duration remaining = course.remainingTime(begin);
  const Duration attemptLimit = course.attemptTimeout(assignment, begin);
  ExchangePlan order = plan(request, assignment);
  order.To = *to;
  logDispatch(request, assignment);
  order.OnConnected = [this, &course, attemptLimit] {
    const Duration rest = course.remainingTime(bootNow());
    if (attemptLimit < rest) {
      arm(attemptLimit, Cut::AttemptLimit);
    } else {
      arm(rest, Cut::TimeLimit);
    }
  };
  bool began = false;
  order.OnProgress = [this, &assignment, &began, &request] {
    const Time now = bootNow();
    Shared.Decisions.recordProgress(assignment, now);
    if (!request.FirstAfter) {
      request.FirstAfter = now - request.ArrivedAt;
    }
    if (!began && CutBy == Cut::None) {
      arm(request.Course->remainingTime(now), Cut::TimeLimit);
    }
    began = true;
  };
  Exchange exchange(Shared.Targets, std::move(order), Writer,
                    request.Events ? &*request.Events : nullptr);
  Running = &exchange;
  CutBy = Cut::None;
  if (remaining > ConnectLimit) {
    arm(ConnectLimit, Cut::AttemptLimit);
  } else {
    arm(remaining, Cut::TimeLimit);
  }
  watchCaller();
  ExchangeOutcome outcome = co_await exchange.run();
  Running = nullptr;
  ++TimerUse;
  const bool late = CutBy == Cut::TimeLimit || CutBy == Cut::AttemptLimit;
  if (late && outcome.Result == ExchangeResult::Cancelled) {
    outcome.Result = ExchangeResult::TimedOut;
    outcome.Reason = "time limit";
  }
  if (CutBy == Cut::CallerLeft) {
    outcome.CallerGone = true;
  }
  co_return outcome;
}

asio::awaitable<void> Session::conclude(Request &request,
                                        const ExchangeOutcome &outcome) {
  if (outcome.CallerGone) {
    Writer.closeAfter();
    end(request, "caller_left", 0, outcome.Reason);
    co_return;
  }
  if (Writer.finished()) {
    end(request, "complete", 200, outcome.Reason);
    co_return;
  }
  if (Writer.started()) {
    Writer.closeAfter();
    end(request, "broken", 0, outcome.Reason);
    co_return;
  }
  if (outcome.Answer) {
    const unsigned status = outcome.Answer->Status;
    co_await Writer.whole(*outcome.Answer);
    end(request,
        outcome.Result == ExchangeResult::Completed ? "complete"
                                                    : "target_error",
        status, outcome.Reason);
    co_return;
  }
  co_await answer(request, request.Course->localResponse());
}

asio::awaitable<void> Session::answer(Request &request, const LocalResponse &own) {
  WholeAnswer out;
  out.Status = own.Status;
  out.Fields =
      platform::makeLocalResponseFields(request.Head.RequestId, own.RetryAfter);
  out.Body = std::string(R"({"status":)") + std::to_string(own.Status) +
             R"(,"outcome":")" +
             (own.Status == 502 || own.Status == 504 ? "unknown" : "not_run") +
             "\"}";
  co_await Writer.whole(out);
  end(request, own.RetryAfter ? "refused" : "failed", own.Status, own.Reason);
}

void Session::end(const Request &request, const std::string &outcome,
                  unsigned status, const std::string &reason) {
  const char *kind =
      request.Admitted
          ? routing::executionSemanticsName(request.Admitted->Route->Semantics)
          : "none";
  const Duration took = bootNow() - request.ArrivedAt;
  Shared.Counters.request(kind, outcome, toSeconds(took));
  if (request.FirstAfter) {
    Shared.Counters.firstPart(kind, toSeconds(*request.FirstAfter));
  }
  logLine(
      "request", "ended",
      {{"id", request.Head.RequestId},
       {"team", request.Admitted ? request.Admitted->Team.Text : ""},
       {"route", request.Admitted ? request.Admitted->Route->Name : ""},
       {"outcome", outcome},
       {"status", std::to_string(status)},
       {"reason", reason},
       {"sends", std::to_string(request.Course ? request.Course->sentAttempts() : 0)},
       {"first_ms", request.FirstAfter
                        ? std::to_string(toMilliseconds(*request.FirstAfter))
                        : ""},
       {"config_age_ms",
        std::to_string(toMilliseconds(Shared.Shared.configAge(bootNow())))},
       {"ms", std::to_string(toMilliseconds(took))}});
}

} // namespace

asio::awaitable<void> serveCaller(Traffic &traffic, tcp::socket caller) {
  Session session(traffic, std::move(caller));
  co_await session.run();
}

} // namespace nutmegsill::gateway
