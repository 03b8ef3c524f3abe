#include "exchange.h"

#include "clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using routing::ExchangeResult;

namespace {

constexpr std::size_t PartBytes = 4U << 10U;
constexpr std::uint32_t TargetHeaderBytes = 32U << 10U;
/// Largest answer that is held until it is whole.
constexpr std::size_t MaxWholeBytes = 8U << 20U;
/// Time before the target's own idle limit at which a connection is given up.
constexpr milliseconds IdleMargin{1'500};
/// Idle limit of targets that state none.
constexpr milliseconds UnstatedIdleLimit{3'000};
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned FirstServerError = 500;

/// Statuses by which a router promises that a request did not run.
bool promisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

struct Exchange::Reader {
  beast::flat_buffer Buffer;
  std::optional<http::response_parser<http::buffer_body>> Parser;
  std::array<char, PartBytes> Part{};
  platform::ResponseHead Head;
  unsigned Status = 0;
};

Exchange::Exchange(UpstreamPool &pool, ExchangePlan plan, AnswerWriter &caller,
                   routing::EventStreamBuffer *events)
    : Pool(pool), Plan(std::move(plan)), Caller(caller), Events(events) {}

void Exchange::abort() {
  Aborted = true;
  if (Connection) {
    boost::system::error_code ec;
    Connection->close(ec);
  }
}

void Exchange::fail(ExchangeResult result, std::string reason) {
  Outcome.Result = Aborted ? ExchangeResult::Cancelled : result;
  Outcome.Reason = std::move(reason);
}

asio::awaitable<bool> Exchange::connect() {
  Connection = Pool.take(Plan.To, bootNow());
  if (Connection) {
    co_return true;
  }
  boost::system::error_code ec;
  Connection.emplace(co_await asio::this_coro::executor);
  co_await Connection->async_connect(
      Plan.To, asio::redirect_error(asio::use_awaitable, ec));
  if (ec || Aborted) {
    fail(ExchangeResult::Unreachable, ec.message());
    co_return false;
  }
  guardAgainstSilence(*Connection);
  co_return true;
}

asio::awaitable<bool> Exchange::send() {
  boost::system::error_code ec;
  const std::array<asio::const_buffer, 2> parts{
      asio::buffer(Plan.Head),
      asio::buffer(Plan.Body.data(), Plan.Body.size())};
  Plan.OnConnected();
  Outcome.Sent = true;
  co_await asio::async_write(*Connection, parts,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    fail(ExchangeResult::Broken, "cannot send: " + ec.message());
  }
  co_return !ec;
}

asio::awaitable<bool> Exchange::readHead(Reader &reader) {
  for (;;) {
    boost::system::error_code ec;
    reader.Parser.emplace();
    reader.Parser->body_limit(boost::none);
    reader.Parser->header_limit(TargetHeaderBytes);
    reader.Parser->skip(Plan.HeadOnly);
    co_await http::async_read_header(
        *Connection, reader.Buffer, *reader.Parser,
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      fail(ExchangeResult::Broken, "no answer: " + ec.message());
      co_return false;
    }
    reader.Status = reader.Parser->get().result_int();
    reader.Head = platform::parseResponseHead(reader.Parser->get().base());
    if (reader.Status < FirstFinalStatus) {
      continue;
    }
    if (reader.Head.RequestId.empty() ||
        reader.Head.RequestId == Plan.RequestId) {
      co_return true;
    }
    // A second answer to an earlier request of this connection.
    std::string ignored;
    const bool whole = co_await readWhole(reader, ignored);
    if (!whole || !reader.Parser->get().keep_alive()) {
      fail(ExchangeResult::Broken, "answer to another request");
      co_return false;
    }
  }
}

asio::awaitable<bool> Exchange::readWhole(Reader &reader, std::string &body) {
  while (!reader.Parser->is_done()) {
    boost::system::error_code ec;
    reader.Parser->get().body().data = reader.Part.data();
    reader.Parser->get().body().size = reader.Part.size();
    co_await http::async_read_some(
        *Connection, reader.Buffer, *reader.Parser,
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec && ec != http::error::need_buffer) {
      fail(ExchangeResult::Broken, "answer cut: " + ec.message());
      co_return false;
    }
    body.append(reader.Part.data(),
                reader.Part.size() - reader.Parser->get().body().size);
    if (body.size() > MaxWholeBytes) {
      fail(ExchangeResult::Broken, "answer too large");
      co_return false;
    }
  }
  co_return true;
}

/// Turns a whole answer into an outcome.
void Exchange::judge(Reader &reader, std::string body) {
  if (reader.Head.NotRun) {
    Outcome.Result = ExchangeResult::Refused;
    Outcome.Reason = reader.Head.Misdirected
                         ? "another target has the address"
                         : "status " + std::to_string(reader.Status);
    return;
  }
  const bool success = reader.Status < FirstRedirect;
  if (success && !reader.Head.Signed) {
    fail(ExchangeResult::Broken, "success without a signature");
    return;
  }
  if (promisesNotRun(reader.Status)) {
    fail(ExchangeResult::Failed,
         "status " + std::to_string(reader.Status) + " without a promise");
    return;
  }
  Outcome.Result = reader.Status >= FirstServerError
                       ? ExchangeResult::Failed
                       : ExchangeResult::Completed;
  Outcome.Reason = "status " + std::to_string(reader.Status);
  Outcome.Answer = WholeAnswer{
      reader.Status,
      platform::makeForwardedResponseFields(reader.Parser->get().base()),
      std::move(body)};
}

asio::awaitable<bool> Exchange::passOn(Reader &reader, std::string_view part,
                                       bool last) {
  std::string whole;
  if (Events != nullptr) {
    whole = Events->append(part);
    if (last) {
      whole += Events->takeIncomplete();
    }
    part = whole;
  }
  if (!Caller.started()) {
    if (part.empty() && !last) {
      co_return true;
    }
    const AnswerFields fields =
        platform::makeForwardedResponseFields(reader.Parser->get().base());
    const bool begun = co_await Caller.begin(reader.Status, fields, part);
    if (!begun || !last) {
      co_return begun;
    }
    part = {};
  }
  bool sent = false;
  if (last) {
    sent = co_await Caller.finish(part);
  } else {
    sent = co_await Caller.part(part);
  }
  co_return sent;
}

asio::awaitable<void> Exchange::relay(Reader &reader) {
  for (;;) {
    boost::system::error_code ec;
    reader.Parser->get().body().data = reader.Part.data();
    reader.Parser->get().body().size = reader.Part.size();
    co_await http::async_read_some(
        *Connection, reader.Buffer, *reader.Parser,
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec && ec != http::error::need_buffer) {
      fail(ExchangeResult::Broken, "stream cut: " + ec.message());
      co_return;
    }
    const std::string_view part(reader.Part.data(),
                                reader.Part.size() -
                                    reader.Parser->get().body().size);
    const bool last = reader.Parser->is_done();
    if (!part.empty()) {
      Plan.OnProgress();
    }
    if (part.empty() && !last) {
      continue;
    }
    const bool passed = co_await passOn(reader, part, last);
    if (!passed) {
      Outcome.CallerGone = true;
      fail(ExchangeResult::Cancelled, "caller left");
      co_return;
    }
    if (last) {
      Outcome.Result = ExchangeResult::Completed;
      Outcome.Reason = "status " + std::to_string(reader.Status);
      co_return;
    }
  }
}

void Exchange::finishConnection(Reader &reader) {
  const bool clean = reader.Parser && reader.Parser->is_done() &&
                     reader.Parser->get().keep_alive() &&
                     !reader.Parser->need_eof() && reader.Buffer.size() == 0;
  if (!clean || Aborted) {
    return;
  }
  const Duration limit = reader.Head.IdleTimeout
                             ? Duration(*reader.Head.IdleTimeout)
                             : Duration(UnstatedIdleLimit);
  const Time now = bootNow();
  if (limit > IdleMargin) {
    Pool.keep(Plan.To, std::move(*Connection), now + limit - IdleMargin,
              Plan.MostKept);
    Connection.reset();
  }
}

asio::awaitable<ExchangeOutcome> Exchange::run() {
  const bool connected = co_await connect();
  if (!connected) {
    co_return std::move(Outcome);
  }
  const bool sent = co_await send();
  if (!sent) {
    co_return std::move(Outcome);
  }
  Reader reader;
  const bool headed = co_await readHead(reader);
  if (!headed) {
    co_return std::move(Outcome);
  }
  const bool streams = Plan.Stream && reader.Status < FirstRedirect &&
                       reader.Head.Signed && !reader.Head.NotRun;
  if (streams) {
    co_await relay(reader);
  } else {
    std::string body;
    const bool whole = co_await readWhole(reader, body);
    if (whole) {
      judge(reader, std::move(body));
    }
  }
  finishConnection(reader);
  co_return std::move(Outcome);
}

} // namespace nutmegsill::gateway
