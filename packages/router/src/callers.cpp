#include "callers.h"

#include "classify.h"
#include "entry_list.h"
#include "log.h"
#include "spawn.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <atomic>
#include <functional>

namespace nutmegsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr milliseconds ProgressInterval{500};
constexpr const char *ForwardedHeader = "nutmegsill-forwarded";
constexpr const char *EpochHeader = "nutmegsill-epoch";
constexpr const char *KeyHeader = "idempotency-key";

using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;
using CallerMessage = http::request<http::string_body>;

/// What all sessions of one traffic thread share.
struct Worker {
  const Settings &Own;
  Control &Decisions;
  UpstreamPool Targets;
};

/// Watches for a caller that closes its connection while it waits.
class CallerWatch : public std::enable_shared_from_this<CallerWatch> {
public:
  CallerWatch(tcp::socket &socket, std::shared_ptr<RequestMailbox> mailbox,
              std::function<void()> closed)
      : Socket(socket), Mailbox(std::move(mailbox)), Closed(std::move(closed)) {
  }

  void start() {
    Socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](boost::system::error_code ec) {
          self->onReadable(ec);
        });
  }

  void stop() {
    Active = false;
    boost::system::error_code ec;
    Socket.cancel(ec);
  }

private:
  void onReadable(boost::system::error_code ec) {
    if (ec || !Active) {
      return;
    }
    boost::system::error_code ignored;
    if (Socket.available(ignored) == 0) {
      Mailbox->put(CallerClosed{});
      Closed();
    }
  }

  tcp::socket &Socket;
  std::shared_ptr<RequestMailbox> Mailbox;
  std::function<void()> Closed;
  bool Active = true;
};

std::uint64_t fingerprintOf(const CallerMessage &message) {
  const std::string text = std::string(message.method_string()) + " " +
                           std::string(message.target()) + "\n" +
                           message.body();
  return std::hash<std::string>()(text);
}

CallerHead headOf(const CallerMessage &message) {
  const std::string target(message.target());
  return {std::string(message.method_string()),
          target.substr(0, target.find('?')),
          std::string(message[http::field::authorization]),
          std::string(message[KeyHeader])};
}

/// Serves one connection of a caller.
template <class Stream> class Session {
public:
  Session(Worker &worker, Stream stream)
      : Shared(worker), Caller(std::move(stream)) {}

  asio::awaitable<void> run();

private:
  asio::awaitable<bool> readRequest(CallerMessage &message);
  asio::awaitable<void> answer(const CallerMessage &message);
  asio::awaitable<void> answerEntry(const CallerMessage &message,
                                    const Snapshot &now);
  asio::awaitable<void> serve(const CallerMessage &message,
                              const PoolCall &call, const Snapshot &now);
  asio::awaitable<bool> dispatch(const CallerMessage &message,
                                 const PoolCall &call, RequestId id,
                                 const Dispatch &order);
  asio::awaitable<void> passOn(const CallerMessage &message,
                               const PoolCall &call,
                               const ForwardToHolder &order);
  asio::awaitable<void> replay(const AttemptOutcome &outcome);
  asio::awaitable<void> refuse(const Problem &problem);
  asio::awaitable<void> write(unsigned status, std::string type,
                              std::string body,
                              std::chrono::seconds retryAfter);
  AnswerSink makeSink();
  asio::awaitable<bool> beginAnswer(unsigned status, const std::string &type,
                                    std::optional<std::uint64_t> length);
  asio::awaitable<bool> writePart(std::string_view part, bool more);
  tcp::socket &socket() { return beast::get_lowest_layer(Caller).socket(); }
  void restartTimeout() {
    beast::get_lowest_layer(Caller).expires_after(
        Shared.Own.Limits.IdleTimeout);
  }

  Worker &Shared;
  Stream Caller;
  beast::flat_buffer Buffer;
  bool KeepAlive = true;
  /// True once a part of an answer was written that cannot be taken back.
  bool Broken = false;
  std::optional<http::response<http::buffer_body>> Answer;
  std::optional<http::response_serializer<http::buffer_body>> Serializer;
  ExchangeHandle Exchange;
  bool InExchange = false;
  /// True when the caller left before the request was dispatched.
  bool CallerClosedEarly = false;
};

template <class Stream> asio::awaitable<void> Session<Stream>::run() {
  while (KeepAlive && !Broken) {
    CallerMessage message;
    if (!co_await readRequest(message)) {
      break;
    }
    KeepAlive = message.keep_alive() && !Shared.Decisions.snapshot()->Leaving;
    co_await answer(message);
  }
  boost::system::error_code ec;
  socket().shutdown(tcp::socket::shutdown_send, ec);
}

template <class Stream>
asio::awaitable<bool> Session<Stream>::readRequest(CallerMessage &message) {
  boost::system::error_code ec;
  http::request_parser<http::string_body> parser;
  parser.header_limit(Shared.Own.Limits.MaxHeaderBytes);
  parser.body_limit(Shared.Own.Limits.MaxBodyBytes);
  restartTimeout();
  co_await http::async_read(Caller, Buffer, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    message = parser.release();
    co_return true;
  }
  Problem problem;
  problem.RetryAfter = std::chrono::seconds(0);
  KeepAlive = false;
  if (ec == http::error::body_limit || ec == http::error::header_limit) {
    problem.Status = 413;
    problem.Title = "Request too large";
    problem.Detail = "at most " +
                     std::to_string(Shared.Own.Limits.MaxBodyBytes) +
                     " bytes of body";
    co_await refuse(problem);
  } else if (ec.category() ==
                 beast::http::make_error_code(http::error::bad_method)
                     .category() &&
             ec != http::error::end_of_stream &&
             ec != http::error::partial_message) {
    problem.Status = 400;
    problem.Title = "Malformed request";
    problem.Detail = "expected an HTTP/1.1 request: " + ec.message();
    co_await refuse(problem);
  }
  co_return false;
}

template <class Stream>
asio::awaitable<void> Session<Stream>::answer(const CallerMessage &message) {
  const std::shared_ptr<const Snapshot> now = Shared.Decisions.snapshot();
  const CallerHead head = headOf(message);
  if (head.Path == "/v1/entry") {
    co_await answerEntry(message, *now);
    co_return;
  }
  if (!now->Config) {
    const Problem problem =
        problemOf(Refusal::NoConfiguration, std::chrono::seconds(1));
    co_await refuse(problem);
    co_return;
  }
  const std::variant<PoolCall, Problem> known =
      classify(*now->Config, head, message.body());
  if (const Problem *problem = std::get_if<Problem>(&known)) {
    co_await refuse(*problem);
    co_return;
  }
  co_await serve(message, std::get<PoolCall>(known), *now);
}

template <class Stream>
asio::awaitable<void> Session<Stream>::answerEntry(const CallerMessage &message,
                                                   const Snapshot &now) {
  TeamId team;
  if (now.Config) {
    const std::variant<TeamId, Problem> known =
        teamOf(*now.Config, std::string(message[http::field::authorization]));
    if (const TeamId *it = std::get_if<TeamId>(&known)) {
      team = *it;
    }
  }
  const std::string target(message.target());
  const std::string mark = "?zone=";
  const std::size_t at = target.find(mark);
  const ZoneId zone{at == std::string::npos ? Shared.Own.Self.Zone.Text
                                            : target.substr(at + mark.size())};
  std::string body = encodeEntries(entriesFor(now.Members, team, zone));
  co_await write(200, "application/json", std::move(body),
                 std::chrono::seconds(0));
}

template <class Stream>
asio::awaitable<void> Session<Stream>::serve(const CallerMessage &message,
                                             const PoolCall &call,
                                             const Snapshot &) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  const std::shared_ptr<RequestMailbox> mailbox =
      std::make_shared<RequestMailbox>(executor);
  const RequestId id = Shared.Decisions.nextRequest();
  CallerRequest request;
  request.Id = id;
  request.Team = call.Team;
  request.Pool = call.Pool;
  request.Idempotent = call.Idempotent;
  request.IdempotencyKey = call.IdempotencyKey;
  request.Forwarded = message.count(ForwardedHeader) != 0;
  Exchange = ExchangeHandle();
  beast::get_lowest_layer(Caller).expires_never();
  const bool abortable = call.Idempotent;
  const std::shared_ptr<CallerWatch> watch =
      std::make_shared<CallerWatch>(socket(), mailbox, [this, abortable] {
        if (InExchange && abortable) {
          Exchange.abort();
        }
      });
  watch->start();
  Shared.Decisions.submit(std::move(request), fingerprintOf(message), mailbox);
  bool open = true;
  while (open) {
    const RequestCommand command = co_await mailbox->take();
    if (const Dispatch *order = std::get_if<Dispatch>(&command)) {
      open = co_await dispatch(message, call, id, *order);
    } else if (std::holds_alternative<CallerClosed>(command)) {
      KeepAlive = false;
      CallerClosedEarly = true;
      Shared.Decisions.callerGone(id);
    } else {
      open = false;
      watch->stop();
      if (const Refuse *it = std::get_if<Refuse>(&command)) {
        const Problem problem = problemOf(it->Why, it->RetryAfter);
        co_await refuse(problem);
      } else if (const ForwardToHolder *it =
                     std::get_if<ForwardToHolder>(&command)) {
        co_await passOn(message, call, *it);
      } else if (const AttemptOutcome *it =
                     std::get_if<AttemptOutcome>(&command)) {
        co_await replay(*it);
      } else if (std::holds_alternative<KeyReused>(command)) {
        Problem problem;
        problem.Status = 422;
        problem.Title = "Idempotency key reused";
        problem.Detail = "the key was used for another request";
        co_await refuse(problem);
      }
    }
  }
  watch->stop();
}

template <class Stream>
asio::awaitable<bool>
Session<Stream>::dispatch(const CallerMessage &message, const PoolCall &call,
                          RequestId id, const Dispatch &order) {
  const std::shared_ptr<const Snapshot> now = Shared.Decisions.snapshot();
  const auto pool = now->Config->Pools.find(call.Pool);
  const auto target = now->Config->Targets.find(order.Target);
  const std::optional<Endpoint> to = parseEndpoint(order.Address);
  const bool gone = pool == now->Config->Pools.end() ||
                    target == now->Config->Targets.end() || !to;
  if (gone || CallerClosedEarly) {
    Shared.Decisions.ended(id,
                           CallerClosedEarly ? ExchangeEnd::CallerLeftUnsent
                                             : ExchangeEnd::NotSent,
                           Cost{}, nullptr);
    co_return true;
  }
  ExchangePlan plan;
  plan.To = *to;
  plan.Idempotent = call.Idempotent;
  plan.Fencing = target->second.Fencing;
  plan.Limits = Shared.Own.Limits;
  plan.Request = OutgoingRequest(message.method(), message.target(), 11);
  plan.Request.set(http::field::host, order.Address);
  plan.Request.set(http::field::content_type,
                   message[http::field::content_type]);
  plan.Request.set(EpochHeader, std::to_string(order.Fence.Value));
  plan.Request.set("nutmegsill-team", call.Team.Text);
  if (!call.IdempotencyKey.empty()) {
    plan.Request.set(KeyHeader, call.IdempotencyKey);
  }
  plan.Request.body() = message.body();
  plan.Request.prepare_payload();
  CostMeter meter(pool->second.Kind, pool->second.Estimate);
  AnswerSink sink = makeSink();
  std::chrono::steady_clock::time_point told = std::chrono::steady_clock::now();
  const auto progressed = [&] {
    const std::chrono::steady_clock::time_point at =
        std::chrono::steady_clock::now();
    if (at - told >= ProgressInterval) {
      told = at;
      Shared.Decisions.progress(id, meter.total());
    }
  };
  InExchange = true;
  const ExchangeReport report = co_await runExchange(
      Shared.Targets, std::move(plan), sink, meter, progressed, Exchange);
  InExchange = false;
  const bool nothing = report.End == ExchangeEnd::NotSent ||
                       report.End == ExchangeEnd::RefusedByTarget ||
                       report.End == ExchangeEnd::CallerLeftUnsent;
  Shared.Decisions.ended(id, report.End, nothing ? Cost{} : meter.total(),
                         report.Answer);
  if (report.End == ExchangeEnd::BrokenMidAnswer ||
      report.End == ExchangeEnd::CallerLeft) {
    Broken = true;
  }
  const bool final = report.End == ExchangeEnd::Complete || Broken;
  co_return !final;
}

template <class Stream>
asio::awaitable<void> Session<Stream>::passOn(const CallerMessage &message,
                                              const PoolCall &call,
                                              const ForwardToHolder &order) {
  const std::optional<Endpoint> to = parseEndpoint(order.Address);
  const Problem unknown =
      problemOf(Refusal::OutcomeUnknown, std::chrono::seconds(0));
  if (!to) {
    co_await refuse(unknown);
    co_return;
  }
  ExchangePlan plan;
  plan.To = *to;
  plan.Idempotent = false;
  plan.Limits = Shared.Own.Limits;
  plan.Request = OutgoingRequest(message.method(), message.target(), 11);
  plan.Request.set(http::field::host, order.Address);
  plan.Request.set(http::field::authorization,
                   message[http::field::authorization]);
  plan.Request.set(http::field::content_type,
                   message[http::field::content_type]);
  plan.Request.set(KeyHeader, call.IdempotencyKey);
  plan.Request.set(ForwardedHeader, "1");
  plan.Request.body() = message.body();
  plan.Request.prepare_payload();
  CostMeter meter(PoolKindOf::Service, Cost{});
  AnswerSink sink = makeSink();
  const ExchangeReport report = co_await runExchange(
      Shared.Targets, std::move(plan), sink, meter, [] {}, Exchange);
  if (report.End == ExchangeEnd::BrokenMidAnswer) {
    Broken = true;
  } else if (report.End != ExchangeEnd::Complete) {
    co_await refuse(unknown);
  }
}

template <class Stream>
asio::awaitable<void> Session<Stream>::replay(const AttemptOutcome &outcome) {
  const auto *answer =
      std::get_if<std::shared_ptr<const StoredAnswer>>(&outcome);
  if (answer != nullptr && *answer) {
    co_await write((*answer)->Status, (*answer)->ContentType, (*answer)->Body,
                   std::chrono::seconds(0));
    co_return;
  }
  const Refusal *why = std::get_if<Refusal>(&outcome);
  const Problem problem = problemOf(
      why != nullptr ? *why : Refusal::OutcomeUnknown, std::chrono::seconds(1));
  co_await refuse(problem);
}

template <class Stream>
asio::awaitable<void> Session<Stream>::refuse(const Problem &problem) {
  co_await write(problem.Status, "application/problem+json", encode(problem),
                 problem.RetryAfter);
}

template <class Stream>
asio::awaitable<void> Session<Stream>::write(unsigned status, std::string type,
                                             std::string body,
                                             std::chrono::seconds retryAfter) {
  boost::system::error_code ec;
  http::response<http::string_body> response;
  response.version(11);
  response.result(status);
  response.set(http::field::content_type, type);
  if (retryAfter.count() > 0) {
    response.set(http::field::retry_after, std::to_string(retryAfter.count()));
  }
  response.keep_alive(KeepAlive);
  response.body() = std::move(body);
  response.prepare_payload();
  restartTimeout();
  co_await http::async_write(Caller, response,
                             asio::redirect_error(asio::use_awaitable, ec));
  Broken = Broken || ec;
}

template <class Stream> AnswerSink Session<Stream>::makeSink() {
  AnswerSink sink;
  sink.Begin = [this](unsigned status, const std::string &type,
                      std::optional<std::uint64_t> length) {
    return beginAnswer(status, type, length);
  };
  sink.Write = [this](std::string_view part) { return writePart(part, true); };
  sink.Finish = [this] { return writePart({}, false); };
  return sink;
}

template <class Stream>
asio::awaitable<bool>
Session<Stream>::beginAnswer(unsigned status, const std::string &type,
                             std::optional<std::uint64_t> length) {
  boost::system::error_code ec;
  Answer.emplace();
  Answer->version(11);
  Answer->result(status);
  if (!type.empty()) {
    Answer->set(http::field::content_type, type);
  }
  Answer->keep_alive(KeepAlive);
  if (length) {
    Answer->content_length(*length);
  } else {
    Answer->chunked(true);
  }
  Answer->body().data = nullptr;
  Answer->body().more = true;
  Serializer.emplace(*Answer);
  restartTimeout();
  co_await http::async_write_header(
      Caller, *Serializer, asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

template <class Stream>
asio::awaitable<bool> Session<Stream>::writePart(std::string_view part,
                                                 bool more) {
  boost::system::error_code ec;
  Answer->body().data =
      part.empty() ? nullptr : const_cast<char *>(part.data());
  Answer->body().size = part.size();
  Answer->body().more = more;
  restartTimeout();
  co_await http::async_write(Caller, *Serializer,
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec || ec == http::error::need_buffer;
}

asio::awaitable<void> servePlain(Worker &worker, tcp::socket socket) {
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  Session<PlainStream> session(worker, PlainStream(std::move(socket)));
  co_await session.run();
}

asio::awaitable<void> serveTls(Worker &worker, tcp::socket socket,
                               asio::ssl::context &tls) {
  boost::system::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  TlsStream stream(PlainStream(std::move(socket)), tls);
  beast::get_lowest_layer(stream).expires_after(worker.Own.Limits.IdleTimeout);
  co_await stream.async_handshake(
      asio::ssl::stream_base::server,
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    co_return;
  }
  Session<TlsStream> session(worker, std::move(stream));
  co_await session.run();
}

} // namespace

struct Callers::Parts {
  Parts(const Settings &settings, Control &control)
      : Own(settings), Decisions(control) {
    for (std::uint32_t i = 0; i < settings.TrafficThreads; ++i) {
      Contexts.push_back(std::make_unique<asio::io_context>(1));
      Guards.emplace_back(Contexts.back()->get_executor());
      Workers.push_back(
          std::make_unique<Worker>(Worker{settings, control, {}}));
    }
  }

  asio::awaitable<void> accept();

  const Settings &Own;
  Control &Decisions;
  std::vector<std::unique_ptr<asio::io_context>> Contexts;
  std::vector<asio::executor_work_guard<asio::io_context::executor_type>>
      Guards;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::optional<tcp::acceptor> Acceptor;
  std::optional<asio::ssl::context> Tls;
  std::vector<std::thread> Threads;
};

asio::awaitable<void> Callers::Parts::accept() {
  constexpr milliseconds pause{50};
  std::size_t next = 0;
  for (;;) {
    boost::system::error_code ec;
    const std::size_t i = next++ % Contexts.size();
    tcp::socket socket = co_await Acceptor->async_accept(
        *Contexts[i], asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (ec) {
      logLine("callers", "accept_failed", {{"reason", ec.message()}});
      asio::steady_timer timer(*Contexts[0], pause);
      co_await timer.async_wait(asio::use_awaitable);
      continue;
    }
    spawn(*Contexts[i], Tls ? serveTls(*Workers[i], std::move(socket), *Tls)
                            : servePlain(*Workers[i], std::move(socket)));
  }
}

Callers::Callers(std::unique_ptr<Parts> parts) : Impl(std::move(parts)) {}

Callers::~Callers() { stop(); }

std::unique_ptr<Callers> Callers::start(const Settings &settings,
                                        Control &control, std::string &reason) {
  std::unique_ptr<Parts> parts = std::make_unique<Parts>(settings, control);
  try {
    if (settings.Tls) {
      parts->Tls.emplace(asio::ssl::context::tls_server);
      parts->Tls->use_certificate_chain_file(settings.Tls->Certificate);
      parts->Tls->use_private_key_file(settings.Tls->Key,
                                       asio::ssl::context::pem);
    }
    parts->Acceptor.emplace(*parts->Contexts[0], settings.Entry);
  } catch (const std::exception &error) {
    reason = error.what();
    return nullptr;
  }
  spawn(*parts->Contexts[0], parts->accept());
  for (const std::unique_ptr<asio::io_context> &it : parts->Contexts) {
    parts->Threads.emplace_back([context = it.get()] { context->run(); });
  }
  return std::unique_ptr<Callers>(new Callers(std::move(parts)));
}

void Callers::stop() {
  for (const std::unique_ptr<asio::io_context> &it : Impl->Contexts) {
    it->stop();
  }
  for (std::thread &it : Impl->Threads) {
    it.join();
  }
  Impl->Threads.clear();
}

} // namespace nutmegsill
