#include "session.h"

#include "exchange.h"
#include "front.h"
#include "log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <xxhash.h>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using routing::Assignment;
using routing::ExchangeResult;
using routing::FleetView;
using routing::Rejection;
using routing::RouteRule;

namespace {

/// Part of the revocation bound for which a configuration counts as current.
/// The rest covers the way of a request and a late watch.
constexpr double CurrentShare = 0.7;
/// Part of the time left in which a target must begin to answer a request that
/// another target may take over.
constexpr double FirstAttemptShare = 0.5;
/// Shortest time for one attempt, as targets slow down under load.
constexpr milliseconds ShortestAttempt{250};
/// Longest time to connect to a target; the way there and back takes some
/// milliseconds, and nothing is lost by asking another one.
constexpr milliseconds ConnectLimit{300};
/// Pause for callers of a router that does not know the fleet yet.
constexpr milliseconds StartingRetryAfter{500};
constexpr milliseconds StaleRetryAfter{300};
/// Answers to connection failures name another target this often at most.
constexpr std::size_t MaxUnsentTries = 4;

/// Who ended a request before its answer was complete.
enum class Cut { None, CallerLeft, TimeLimit, AttemptLimit };

/// Reasons for answers of the router itself.
struct OwnAnswer {
  unsigned Status;
  std::string Reason;
  /// Set for refusals that did not run.
  std::optional<Duration> RetryAfter;
};

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
    platform::CallerHead Head;
    http::request<http::string_body> Message;
    std::shared_ptr<const FleetView> View;
    /// Holds what `Facts.Route` points to.
    std::shared_ptr<const routing::ServiceConfig> Config;
    routing::RequestFacts Facts;
    Time ArrivedAt{};
    Time EndsAt{};
    /// Time from the arrival to the first part of the answer.
    std::optional<Duration> FirstAfter;
    std::uint32_t Sends = 0;
    /// Some target got it and did not state that it had not run it.
    bool MayHaveRun = false;
    std::optional<routing::EventStream> Events;
  };

  asio::awaitable<bool> read(Parser &parser);
  asio::awaitable<void> serve(Request &request);
  asio::awaitable<void> route(Request &request);
  std::optional<OwnAnswer> locate(Request &request);
  asio::awaitable<void> dispatch(Request &request);
  asio::awaitable<ExchangeOutcome> attempt(Request &request,
                                           Assignment &assignment);
  bool mayTryAgain(const Request &request, const ExchangeOutcome &outcome);
  asio::awaitable<void> conclude(Request &request,
                                 const ExchangeOutcome &outcome);
  asio::awaitable<void> answer(Request &request, const OwnAnswer &own);
  void end(const Request &request, const std::string &outcome, unsigned status,
           const std::string &reason);

  void arm(Duration after, Cut cut);
  void watchCaller();
  void cut(Cut reason);
  Duration left(const Request &request) const {
    return request.EndsAt - bootNow();
  }

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
  const std::shared_ptr<const FleetView> view = Shared.refresh(bootNow());
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
std::optional<OwnAnswer> Session::locate(Request &request) {
  const Time now = request.ArrivedAt;
  request.View = Shared.refresh(now);
  if (!request.View) {
    return OwnAnswer{503, "starting", StartingRetryAfter};
  }
  if (Shared.Closing) {
    Writer.closeAfter();
    return OwnAnswer{503, "stopping", Duration{0}};
  }
  request.Config = request.View->Config;
  const routing::ServiceConfig &config = *request.Config;
  const RouteRule *route =
      config.routeFor(request.Head.HostName, request.Head.Path);
  if (route == nullptr) {
    return OwnAnswer{404, "no_route", std::nullopt};
  }
  request.Facts.Route = route;
  const Duration wanted = request.Head.Deadline
                              ? Duration(*request.Head.Deadline)
                              : Duration(route->Timeout);
  request.EndsAt = now + std::min(wanted, Duration(route->Timeout));
  const bool keyed = !route->Public && !config.Teams.empty();
  if (keyed) {
    const Duration bound = std::chrono::duration_cast<Duration>(
        Shared.Own.Bounds.Revocation * CurrentShare);
    if (Shared.Shared.configAge(now) > bound) {
      return OwnAnswer{503, "configuration_not_current", StaleRetryAfter};
    }
    const routing::TeamRule *team = config.teamOfKey(request.Head.Key);
    if (team == nullptr) {
      return OwnAnswer{401, "unknown_key", std::nullopt};
    }
    request.Facts.Team = team->Team;
  }
  std::uint64_t total = 0;
  for (const routing::PoolWeight &it : route->Pools) {
    total += it.Weight;
  }
  const std::uint64_t hash =
      XXH64(request.Head.RequestId.data(), request.Head.RequestId.size(), 0);
  std::uint64_t draw = total == 0 ? 0 : hash % total;
  request.Facts.Pool = route->Pools.front().Pool;
  for (const routing::PoolWeight &it : route->Pools) {
    if (draw < it.Weight) {
      request.Facts.Pool = it.Pool;
      break;
    }
    draw -= it.Weight;
  }
  return std::nullopt;
}

asio::awaitable<void> Session::serve(Request &request) {
  request.Head = platform::readCallerHead(request.Message.base());
  const std::optional<OwnAnswer> own = locate(request);
  if (own) {
    co_await answer(request, *own);
    co_return;
  }
  routing::RequestFacts &facts = request.Facts;
  facts.Content = request.Head.Content;
  Shared.Decisions.arrived(facts, request.ArrivedAt);
  const RouteRule &route = *facts.Route;
  if (route.Kind == routing::Repeatability::Stream && route.Resumable) {
    request.Events.emplace();
  }
  co_await dispatch(request);
}

asio::awaitable<void> Session::dispatch(Request &request) {
  std::size_t unsent = 0;
  ExchangeOutcome outcome;
  for (;;) {
    // A router that was held up may find that the caller has left meanwhile.
    if (peek(Caller) == PeekState::Closed) {
      outcome.CallerGone = true;
      break;
    }
    const Time now = bootNow();
    request.View = Shared.refresh(now);
    request.Facts.Waited = now - request.ArrivedAt;
    request.Facts.Left = request.EndsAt - now;
    routing::Choice choice = Shared.Decisions.choose(request.Facts, now);
    if (const Rejection *it = std::get_if<Rejection>(&choice)) {
      const bool first = request.Sends == 0;
      if (first) {
        const OwnAnswer own{503,
                            std::string(routing::turnedAwayName(it->Why)) +
                                ", expected_ms " +
                                std::to_string(wholeMillis(it->Expected)) +
                                ", used_share " + std::to_string(it->UsedShare),
                            it->RetryAfter};
        co_await answer(request, own);
        co_return;
      }
      outcome.Reason +=
          std::string(", then ") + routing::turnedAwayName(it->Why);
      break;
    }
    Assignment assignment = std::get<Assignment>(choice);
    outcome = co_await attempt(request, assignment);
    Shared.Decisions.ended(assignment, outcome.Result, bootNow());
    request.Facts.Tried.push_back(assignment.Target);
    if (outcome.Sent) {
      ++request.Sends;
      request.MayHaveRun =
          request.MayHaveRun || outcome.Result != ExchangeResult::Refused;
      request.Facts.Repeat = true;
    }
    const bool open = CutBy == Cut::None || CutBy == Cut::AttemptLimit;
    const bool neverSent = !outcome.Sent && ++unsent < MaxUnsentTries && open;
    if (!neverSent && !mayTryAgain(request, outcome)) {
      break;
    }
    if (request.Events) {
      request.Events->cut();
    }
  }
  co_await conclude(request, outcome);
}

bool Session::mayTryAgain(const Request &request,
                          const ExchangeOutcome &outcome) {
  const RouteRule &route = *request.Facts.Route;
  const bool stopped =
      CutBy == Cut::CallerLeft || CutBy == Cut::TimeLimit || outcome.CallerGone;
  if (stopped || request.Sends >= route.Attempts ||
      left(request) <= Duration{0}) {
    return false;
  }
  if (outcome.Result == ExchangeResult::Refused) {
    return true;
  }
  if (outcome.Result == ExchangeResult::Completed || !route.mayRepeat()) {
    return false;
  }
  const bool continued = request.Events && !request.Events->lastId().empty();
  return !Writer.started() || continued;
}

asio::awaitable<ExchangeOutcome> Session::attempt(Request &request,
                                                  Assignment &assignment) {
  const RouteRule &route = *request.Facts.Route;
  const std::optional<Endpoint> to = parseEndpoint(assignment.Address);
  if (!to) {
    ExchangeOutcome outcome;
    outcome.Reason = "address is not IP:port";
    co_return outcome;
  }
  const Duration remaining = left(request);
  platform::TargetOrder order;
  order.Target = assignment.Target;
  order.Team = request.Facts.Team;
  order.Left = milliseconds(std::max<std::int64_t>(1, wholeMillis(remaining)));
  if (request.Events) {
    order.ResumeAfter = request.Events->lastId();
  }
  ExchangePlan plan;
  plan.To = *to;
  const http::request<http::string_body> &message = request.Message;
  plan.Head.append(message.method_string().data(),
                   message.method_string().size());
  plan.Head.append(" ");
  plan.Head.append(message.target().data(), message.target().size());
  plan.Head.append(" HTTP/1.1\r\n");
  const http::fields fields = platform::targetFields(message.base(), order);
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
  plan.Stream = route.Kind == routing::Repeatability::Stream;
  plan.HeadOnly = message.method() == http::verb::head;
  plan.MostKept = Shared.Decisions.connectionShare(assignment.Pool);
  logLine("request", "dispatched",
          {{"id", request.Head.RequestId},
           {"team", request.Facts.Team.Text},
           {"route", route.Name},
           {"target", assignment.Target.Text},
           {"expected_ms", std::to_string(wholeMillis(assignment.Expected))},
           {"cached", std::to_string(assignment.CachedTokens)},
           {"prefill", std::to_string(assignment.PrefillTokens)},
           {"output", std::to_string(request.Facts.Content.MaxOutputTokens)},
           {"used_share", std::to_string(assignment.UsedShare)},
           {"view", std::to_string(request.View->Version)},
           {"revision", std::to_string(request.Config->Number.Value)},
           {"report_age_ms", std::to_string(assignment.ReportAgeMs)},
           {"left_ms", std::to_string(order.Left.count())}});
  const bool another = route.mayRepeat() && request.Sends + 1 < route.Attempts;
  const Duration share =
      std::chrono::duration_cast<Duration>(remaining * FirstAttemptShare);
  const Duration attemptLimit =
      std::max<Duration>(ShortestAttempt, assignment.Expected + share);
  plan.OnConnected = [this, &request, another, attemptLimit] {
    const Duration rest = left(request);
    if (another && attemptLimit < rest) {
      arm(attemptLimit, Cut::AttemptLimit);
    } else {
      arm(rest, Cut::TimeLimit);
    }
  };
  bool began = false;
  plan.OnProgress = [this, &assignment, &began, &request] {
    const Time now = bootNow();
    Shared.Decisions.began(assignment, now);
    if (!request.FirstAfter) {
      request.FirstAfter = now - request.ArrivedAt;
    }
    if (!began && CutBy == Cut::None) {
      arm(request.EndsAt - now, Cut::TimeLimit);
    }
    began = true;
  };
  Exchange exchange(Shared.Targets, std::move(plan), Writer,
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
  if (request.Sends == 0) {
    const OwnAnswer own{503, "unreachable: " + outcome.Reason, StaleRetryAfter};
    co_await answer(request, own);
    co_return;
  }
  if (!request.MayHaveRun) {
    const OwnAnswer own{503, "target_refused: " + outcome.Reason,
                        StaleRetryAfter};
    co_await answer(request, own);
    co_return;
  }
  const unsigned status =
      outcome.Result == ExchangeResult::TimedOut ? 504 : 502;
  const OwnAnswer own{status, outcome.Reason, std::nullopt};
  co_await answer(request, own);
}

asio::awaitable<void> Session::answer(Request &request, const OwnAnswer &own) {
  WholeAnswer out;
  out.Status = own.Status;
  out.Fields =
      platform::ownAnswerFields(request.Head.RequestId, own.RetryAfter);
  out.Body = std::string(R"({"status":)") + std::to_string(own.Status) +
             R"(,"outcome":")" +
             (own.Status == 502 || own.Status == 504 ? "unknown" : "not_run") +
             "\"}";
  co_await Writer.whole(out);
  end(request, own.RetryAfter ? "refused" : "failed", own.Status, own.Reason);
}

void Session::end(const Request &request, const std::string &outcome,
                  unsigned status, const std::string &reason) {
  Shared.Counters.request(outcome);
  logLine("request", "ended",
          {{"id", request.Head.RequestId},
           {"team", request.Facts.Team.Text},
           {"route",
            request.Facts.Route != nullptr ? request.Facts.Route->Name : ""},
           {"outcome", outcome},
           {"status", std::to_string(status)},
           {"reason", reason},
           {"sends", std::to_string(request.Sends)},
           {"first_ms", request.FirstAfter
                            ? std::to_string(wholeMillis(*request.FirstAfter))
                            : ""},
           {"config_age_ms",
            std::to_string(wholeMillis(Shared.Shared.configAge(bootNow())))},
           {"ms", std::to_string(wholeMillis(bootNow() - request.ArrivedAt))}});
}

} // namespace

asio::awaitable<void> serveCaller(Traffic &traffic, tcp::socket caller) {
  Session session(traffic, std::move(caller));
  co_await session.run();
}

} // namespace nutmegsill::gateway
