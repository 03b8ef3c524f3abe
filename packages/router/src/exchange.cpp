#include "exchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>

namespace nutmegsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t MaxIdlePerTarget = 32;
constexpr std::size_t PartBytes = 16U << 10U;
constexpr std::size_t MaxStoredBytes = 1U << 20U;
/// Rough bytes of one token in an answer that is not streamed.
constexpr std::size_t BytesPerToken = 4;
constexpr std::string_view EventMark = "\ndata: ";
constexpr unsigned PreconditionFailed = 412;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned Unavailable = 503;

/// State of one exchange while it runs.
struct Running {
  ExchangePlan &Plan;
  UpstreamStream &Stream;
  beast::flat_buffer Buffer;
  http::response_parser<http::buffer_body> Parser;
  std::string Stored;
  bool Storable = true;
};

bool refusedByTarget(const ExchangePlan &plan, unsigned status) {
  if (plan.Fencing && status == PreconditionFailed) {
    return true;
  }
  return plan.Idempotent &&
         (status == Unavailable || status == TooManyRequests);
}

asio::awaitable<bool> connectAndSend(ExchangePlan &plan, UpstreamStream &stream,
                                     bool connected, bool &sent) {
  boost::system::error_code ec;
  const auto token = [&ec] {
    return asio::redirect_error(asio::use_awaitable, ec);
  };
  if (!connected) {
    stream.expires_after(plan.Limits.ConnectTimeout);
    co_await stream.async_connect(plan.To, token());
    if (ec) {
      co_return false;
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  }
  sent = true;
  stream.expires_after(plan.Limits.IdleTimeout);
  co_await http::async_write(stream, plan.Request, token());
  co_return !ec;
}

/// Reads the answer's header; skips interim answers.
asio::awaitable<bool> readHeader(Running &run) {
  boost::system::error_code ec;
  run.Parser.body_limit(boost::none);
  run.Stream.expires_after(run.Plan.Limits.IdleTimeout);
  co_await http::async_read_header(
      run.Stream, run.Buffer, run.Parser,
      asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

/// Reads the next part of the body into `part`; false on a broken connection.
asio::awaitable<bool> readPart(Running &run, std::array<char, PartBytes> &buf,
                               std::string_view &part) {
  boost::system::error_code ec;
  run.Parser.get().body().data = buf.data();
  run.Parser.get().body().size = buf.size();
  run.Stream.expires_after(run.Plan.Limits.IdleTimeout);
  co_await http::async_read_some(run.Stream, run.Buffer, run.Parser,
                                 asio::redirect_error(asio::use_awaitable, ec));
  if (ec && ec != http::error::need_buffer) {
    co_return false;
  }
  const std::size_t n = buf.size() - run.Parser.get().body().size;
  part = std::string_view(buf.data(), n);
  co_return true;
}

asio::awaitable<ExchangeEnd> relayBody(Running &run, AnswerSink &sink,
                                       CostMeter &meter,
                                       const std::function<void()> &progressed,
                                       const ExchangeHandle &handle,
                                       bool callerHere) {
  std::array<char, PartBytes> buf{};
  while (!run.Parser.is_done()) {
    std::string_view part;
    if (!co_await readPart(run, buf, part)) {
      co_return handle.aborted() ? ExchangeEnd::CallerLeft
                                 : ExchangeEnd::BrokenMidAnswer;
    }
    if (part.empty()) {
      continue;
    }
    meter.add(part);
    progressed();
    run.Storable = run.Storable && run.Stored.size() < MaxStoredBytes;
    if (run.Storable && !run.Plan.Idempotent) {
      run.Stored.append(part);
    }
    callerHere = callerHere && co_await sink.Write(part);
    if (!callerHere && run.Plan.Idempotent) {
      co_return ExchangeEnd::CallerLeft;
    }
  }
  callerHere = callerHere && co_await sink.Finish();
  // An answer that is kept for repeats is whole without its first caller.
  const bool whole = callerHere || !run.Plan.Idempotent;
  co_return whole ? ExchangeEnd::Complete : ExchangeEnd::CallerLeft;
}

} // namespace

std::optional<UpstreamStream> UpstreamPool::take(const Endpoint &to) {
  const auto it = Idle.find(to);
  if (it == Idle.end() || it->second.empty()) {
    return std::nullopt;
  }
  UpstreamStream stream = std::move(it->second.back());
  it->second.pop_back();
  return stream;
}

void UpstreamPool::keep(const Endpoint &to, UpstreamStream stream) {
  std::vector<UpstreamStream> &idle = Idle[to];
  if (idle.size() < MaxIdlePerTarget) {
    stream.expires_never();
    idle.push_back(std::move(stream));
  }
}

void CostMeter::add(std::string_view part) {
  Bytes += part.size();
  for (const char c : part) {
    if (c == EventMark[Matched]) {
      ++Matched;
    } else {
      Matched = c == EventMark[0] ? 1 : 0;
    }
    if (Matched == EventMark.size()) {
      ++Events;
      Matched = 0;
      Streamed = true;
    }
  }
}

Cost CostMeter::total() const {
  if (Kind == PoolKindOf::Service) {
    return Fixed;
  }
  if (Streamed) {
    // The last event marks the end and carries no token.
    return Cost{std::max<std::int64_t>(1, Events - 1)};
  }
  return Cost{static_cast<std::int64_t>(1 + Bytes / BytesPerToken)};
}

void ExchangeHandle::abort() {
  Aborted = true;
  if (Stream != nullptr) {
    Stream->close();
  }
}

namespace {

/// Runs the exchange over one connection. Sets `stale` when a kept connection
/// turned out to be closed, which says nothing about the target.
asio::awaitable<ExchangeReport> runOnce(UpstreamPool &pool, ExchangePlan &plan,
                                        AnswerSink &sink, CostMeter &meter,
                                        const std::function<void()> &progressed,
                                        ExchangeHandle &handle, bool &stale) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  ExchangeReport report;
  std::optional<UpstreamStream> kept =
      plan.Idempotent && !stale ? pool.take(plan.To) : std::nullopt;
  stale = false;
  const bool connected = kept.has_value();
  UpstreamStream stream = kept ? std::move(*kept) : UpstreamStream(executor);
  handle.attach(&stream);
  bool sent = false;
  const bool whole = co_await connectAndSend(plan, stream, connected, sent);
  if (!sent) {
    report.End =
        handle.aborted() ? ExchangeEnd::CallerLeftUnsent : ExchangeEnd::NotSent;
    co_return report;
  }
  Running run{plan, stream, {}, {}, {}, true};
  const bool answered = whole && co_await readHeader(run);
  if (!answered) {
    report.End = handle.aborted() ? ExchangeEnd::CallerLeft
                                  : ExchangeEnd::BrokenBeforeAnswer;
    stale = connected && !handle.aborted();
    co_return report;
  }
  const unsigned status = run.Parser.get().result_int();
  if (refusedByTarget(plan, status)) {
    report.End = ExchangeEnd::RefusedByTarget;
    co_return report;
  }
  const std::string type(run.Parser.get()[http::field::content_type]);
  std::optional<std::uint64_t> length;
  if (run.Parser.content_length()) {
    length = *run.Parser.content_length();
  }
  const bool began = co_await sink.Begin(status, type, length);
  const bool relays = began || !plan.Idempotent;
  report.End =
      relays ? co_await relayBody(run, sink, meter, progressed, handle, began)
             : ExchangeEnd::CallerLeft;
  if (report.End != ExchangeEnd::Complete) {
    co_return report;
  }
  if (!plan.Idempotent && run.Storable) {
    report.Answer = std::make_shared<const StoredAnswer>(
        StoredAnswer{status, type, std::move(run.Stored)});
  }
  const bool clean = run.Parser.get().keep_alive() && run.Buffer.size() == 0;
  if (clean && plan.Idempotent) {
    pool.keep(plan.To, std::move(stream));
  }
  co_return report;
}

} // namespace

asio::awaitable<ExchangeReport> runExchange(UpstreamPool &pool,
                                            ExchangePlan plan, AnswerSink &sink,
                                            CostMeter &meter,
                                            std::function<void()> progressed,
                                            ExchangeHandle &handle) {
  bool stale = false;
  ExchangeReport report =
      co_await runOnce(pool, plan, sink, meter, progressed, handle, stale);
  handle.attach(nullptr);
  if (stale) {
    report =
        co_await runOnce(pool, plan, sink, meter, progressed, handle, stale);
    handle.attach(nullptr);
  }
  co_return report;
}

} // namespace nutmegsill
