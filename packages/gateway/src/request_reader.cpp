#include "request_reader.h"

#include "clock.h"
#include "log.h"
#include "nutmegsill/platform/headers.h"
#include "nutmegsill/transfer_coding.h"
#include "nutmegsill/whole_head.h"
#include "target_connection_pool.h"
#include "traffic_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Bytes of a caller that are held unparsed beyond a head. The HTTP library
/// throws at fields of 64 KB, also in trailers.
constexpr std::size_t MaxUnparsedBytes = 62U << 10U;
/// Longest head that is accepted, whatever the configuration says.
constexpr std::size_t MaxCallerHeaderBytes = 60U << 10U;
/// Bytes read at once. The buffer is shared by all sessions.
constexpr std::size_t ReadBytes = 16U << 10U;
/// Reads after which other sessions run.
constexpr int MaxReadsAtOnce = 4;
/// Memory of a parsed field beside its bytes: the list's and the tree's node,
/// and the allocator's header. Measured: 64 bytes for a field of 4.
constexpr std::size_t FieldMemory = 80;
/// A body of a known length up to this is read before its request is rejected,
/// so that the connection can be kept.
constexpr std::uint64_t SmallBodyBytes = 16U << 10U;
/// Time for which bytes of a rejected request are read and dropped.
constexpr std::chrono::seconds MaxDrainTime{2};
/// Bytes of a rejected request that are dropped at least, if they come in time;
/// callers send bodies beyond the limit too.
constexpr std::uint64_t MinDrainBytes = 8U << 20U;
/// Time beyond a timeout for bytes that had arrived before it; a process that
/// was suspended finds its timers expired.
constexpr milliseconds ReadTime{100};
/// Retry-After of requests for which there is no memory: stalled callers are
/// refused for new ones after about this.
constexpr std::chrono::seconds MemoryRetryAfter{1};

std::array<char, ReadBytes> &readBuffer() {
  static thread_local std::array<char, ReadBytes> out;
  return out;
}

std::size_t fieldMemory(const http::fields &fields) {
  std::size_t out = 0;
  for (const auto &it : fields) {
    out += FieldMemory + it.name_string().size() + it.value().size();
  }
  return out;
}

} // namespace

RequestReader::RequestReader(SessionContext &context, tcp::socket &caller,
                             ResponseWriter &writer)
    : Context(context), CallerSocket(caller), Writer(writer),
      Timer(caller.get_executor()),
      BudgetId(context.CallerMemory.add(bootTimeNow())), Since(bootTimeNow()) {}

RequestReader::~RequestReader() { Context.CallerMemory.remove(BudgetId); }

void RequestReader::armTimer(Duration delay, bool mayExtend) {
  Stopped = Refused;
  const std::uint64_t generation = ++TimerGeneration;
  Timer.expires_after(std::max(delay, Duration{0}));
  Timer.async_wait([this, lifetime = std::weak_ptr<bool>(LifetimeToken),
                    generation, mayExtend](boost::system::error_code ec) {
    if (ec || lifetime.expired() || generation != TimerGeneration) {
      return;
    }
    if (mayExtend && peekSocket(CallerSocket) == SocketState::HasData) {
      armTimer(ReadTime, false);
    } else {
      stopReading();
    }
  });
}

void RequestReader::stopReading() {
  Stopped = true;
  boost::system::error_code ec;
  CallerSocket.cancel(ec);
}

void RequestReader::closeIfIdle() {
  boost::system::error_code ec;
  if (Current == State::Idle && CallerSocket.available(ec) == 0) {
    stopReading();
  }
}

void RequestReader::refuse() {
  if (Current == State::Idle || Current == State::Reading) {
    Refused = true;
    stopReading();
  }
}

void RequestReader::close() {
  if (Current != State::Served) {
    Current = State::Closed;
    Stopped = true;
    boost::system::error_code ec;
    CallerSocket.close(ec);
  }
}

std::optional<Time> RequestReader::waitsSince() const {
  return Current == State::Served || Current == State::Closed
             ? std::nullopt
             : std::optional<Time>(Since);
}

bool RequestReader::charge(std::size_t moreBytes) {
  const routing::CallerBudget::Decision decision = Context.CallerMemory.resize(
      BudgetId, Unparsed.capacity() + HeadMemory + BodyMemory + moreBytes,
      bootTimeNow());
  for (const routing::CallerBudget::CallerId it : decision.Refused) {
    Context.Callers.refuse(it);
  }
  return decision.Granted;
}

asio::awaitable<void> RequestReader::yieldAfterReads() {
  if (++ReadsAtOnce > MaxReadsAtOnce) {
    ReadsAtOnce = 0;
    co_await asio::post(CallerSocket.get_executor(), asio::use_awaitable);
  }
}

asio::awaitable<boost::system::error_code>
RequestReader::receive(std::size_t maxBytes, bool waitsFirst) {
  std::array<char, ReadBytes> &buffer = readBuffer();
  boost::system::error_code ec;
  co_await yieldAfterReads();
  for (bool mayRead = !waitsFirst;; mayRead = true) {
    if (mayRead) {
      const std::size_t n = CallerSocket.read_some(
          asio::buffer(buffer.data(), std::min(maxBytes, buffer.size())), ec);
      if (!ec) {
        const std::size_t size = Unparsed.size() + n;
        if (size > Unparsed.capacity()) {
          const std::size_t capacity = std::max(
              size, std::min(2 * Unparsed.capacity(), MaxUnparsedBytes));
          if (!charge(capacity)) {
            co_return asio::error::no_memory;
          }
          Unparsed.reserve(capacity);
          charge();
        }
        Unparsed.append(buffer.data(), n);
        Since = bootTimeNow();
        Context.CallerMemory.recordMoved(BudgetId, n, Since);
        co_return ec;
      }
      if (ec != asio::error::would_block && ec != asio::error::try_again) {
        co_return ec;
      }
      if (Stopped) {
        co_return asio::error::operation_aborted;
      }
    }
    ReadsAtOnce = 0;
    co_await CallerSocket.async_wait(
        tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    if (ec && ec != asio::error::operation_aborted) {
      co_return ec;
    }
  }
}

boost::system::error_code
RequestReader::checkRequestLine(std::size_t previousBytes) const {
  boost::system::error_code ec;
  const std::size_t end = Unparsed.find('\n');
  const bool isNew =
      previousBytes == 0 || (end != std::string::npos && end >= previousBytes);
  if (isNew) {
    ParserType probe;
    probe.put(
        asio::buffer(Unparsed.data(), std::min(end, Unparsed.size() - 1) + 1),
        ec);
  }
  return ec == http::error::need_more ? boost::system::error_code() : ec;
}

asio::awaitable<boost::system::error_code> RequestReader::receiveHead() {
  for (std::size_t searched = 0;;) {
    const std::size_t end = Unparsed.find(HeadEnd, searched);
    if (end != std::string::npos) {
      co_return parseHead(end + HeadEnd.size());
    }
    if (Unparsed.size() >= MaxHeadBytes) {
      co_return http::error::header_limit;
    }
    const std::size_t previousBytes = Unparsed.size();
    searched =
        previousBytes < HeadEnd.size() ? 0 : previousBytes - HeadEnd.size();
    const bool waitsFirst = previousBytes == 0;
    boost::system::error_code ec =
        co_await receive(MaxUnparsedBytes - previousBytes, waitsFirst);
    if (ec) {
      co_return ec;
    }
    if (Current == State::Idle) {
      Current = State::Reading;
      armTimer(Limits.HeaderTimeout);
    }
    ec = checkRequestLine(previousBytes);
    if (ec) {
      co_return ec;
    }
  }
}

boost::system::error_code RequestReader::parseHead(std::size_t headBytes) {
  if (headBytes > MaxHeadBytes) {
    return http::error::header_limit;
  }
  // Each line is one field.
  const auto headEnd =
      Unparsed.begin() + static_cast<std::ptrdiff_t>(headBytes);
  const auto lines =
      static_cast<std::size_t>(std::count(Unparsed.begin(), headEnd, '\n'));
  HeadMemory = headBytes + lines * FieldMemory;
  if (!charge()) {
    return asio::error::no_memory;
  }
  boost::system::error_code ec;
  Parser->eager(false);
  const std::size_t n =
      Parser->put(asio::buffer(Unparsed.data(), headBytes), ec);
  dropParsed(n);
  if (!ec && hasUnknownTransferCoding(Parser->get())) {
    ec = http::error::bad_transfer_encoding;
  }
  Parser->eager(true);
  if (!ec && !Parser->is_done() && Parser->content_length()) {
    BodyMemory = static_cast<std::size_t>(*Parser->content_length());
    if (!charge()) {
      ec = asio::error::no_memory;
    }
  }
  return ec ? ec : parseBody();
}

void RequestReader::dropParsed(std::size_t bytes) {
  Unparsed.erase(0, bytes);
  // A body that is being read needs the memory again.
  if (Unparsed.empty() && Parser->is_done()) {
    Unparsed = std::string();
  }
}

bool RequestReader::growBody(std::size_t bytes) {
  std::string &body = Parser->get().body();
  const std::size_t size = body.size() + bytes;
  if (size <= std::max(body.capacity(), BodyMemory)) {
    return true;
  }
  // The old and the new memory are used at once while the body is moved.
  const std::size_t capacity =
      std::max(size, std::min<std::size_t>(2 * size, Limits.MaxBodyBytes));
  BodyMemory = capacity;
  if (!charge()) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

boost::system::error_code RequestReader::parseBody() {
  boost::system::error_code ec;
  if (Unparsed.empty() || Parser->is_done()) {
    return ec;
  }
  if (!growBody(Unparsed.size())) {
    return asio::error::no_memory;
  }
  std::size_t parsed = 0;
  while (!ec && !Parser->is_done() && parsed < Unparsed.size()) {
    parsed += Parser->put(
        asio::buffer(Unparsed.data() + parsed, Unparsed.size() - parsed), ec);
  }
  dropParsed(parsed);
  if (ec == http::error::need_more) {
    ec = {};
  }
  if (!ec && Parser->is_done() && Parser->chunked()) {
    // Trailers are fields too.
    HeadMemory = std::max(HeadMemory, fieldMemory(Parser->get()));
    if (!charge()) {
      ec = asio::error::no_memory;
    }
  }
  return ec;
}

asio::awaitable<boost::system::error_code> RequestReader::receiveBody() {
  boost::system::error_code ec;
  while (!ec && !Parser->is_done()) {
    if (Unparsed.size() >= MaxHeadBytes) {
      // A chunk's extension, or a trailer, that does not end.
      co_return http::error::buffer_overflow;
    }
    ec = co_await receive(MaxUnparsedBytes - Unparsed.size(), false);
    if (!ec) {
      ec = parseBody();
    }
  }
  co_return ec;
}

asio::awaitable<bool> RequestReader::readHead() {
  const std::shared_ptr<const routing::FleetView> view =
      Context.refreshView(bootTimeNow());
  Limits = view ? view->Config->Limits : routing::CallerLimits();
  MaxHeadBytes =
      std::min<std::size_t>(Limits.MaxHeaderBytes, MaxCallerHeaderBytes);
  Context.CallerMemory.setLargestRequest(
      static_cast<std::size_t>(Limits.MaxBodyBytes) + MaxUnparsedBytes +
      MaxHeadBytes * (1 + FieldMemory / 4));
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(MaxHeadBytes));
  Parser->body_limit(Limits.MaxBodyBytes);
  Writer.setStallTimeout(Limits.IdleTimeout);
  boost::system::error_code ec;
  CallerSocket.non_blocking(true, ec);
  Since = bootTimeNow();
  Current = Unparsed.empty() ? State::Idle : State::Reading;
  armTimer(Current == State::Idle
               ? Context.Callers.idleTimeout(Limits.IdleTimeout)
               : Duration(Limits.HeaderTimeout));
  ec = co_await receiveHead();
  if (ec) {
    const bool complete = co_await endFailed(ec);
    co_return complete;
  }
  if (Parser->is_done()) {
    ++TimerGeneration;
    Current = State::Served;
    Context.CallerMemory.setServed(BudgetId, true);
  }
  co_return true;
}

bool RequestReader::expectsLargeBody() const {
  const boost::optional<std::uint64_t> length = Parser->content_length();
  return !length || *length > SmallBodyBytes ||
         Parser->get()[http::field::expect] == "100-continue";
}

asio::awaitable<bool> RequestReader::readBody() {
  boost::system::error_code ec;
  if (Parser->get()[http::field::expect] == "100-continue") {
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(CallerSocket, asio::buffer(interim),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  armTimer(Limits.IdleTimeout);
  if (!ec) {
    ec = co_await receiveBody();
  }
  if (ec) {
    const bool complete = co_await endFailed(ec);
    co_return complete;
  }
  ++TimerGeneration;
  Current = State::Served;
  Context.CallerMemory.setServed(BudgetId, true);
  co_return true;
}

asio::awaitable<bool> RequestReader::endFailed(boost::system::error_code ec) {
  if (Current == State::Closed) {
    co_return false;
  }
  if (Refused || ec == asio::error::no_memory) {
    Context.Refusals.count("memory", bootTimeNow());
    co_await reject(503, "memory");
  } else if (ec == asio::error::operation_aborted) {
    if (Current == State::Reading) {
      Context.Refusals.count("request_not_read", bootTimeNow());
    }
  } else if (ec.category() ==
             http::make_error_code(http::error::bad_method).category()) {
    const unsigned status = ec == http::error::header_limit ? 431
                            : ec == http::error::body_limit ? 413
                                                            : 400;
    Context.Refusals.count(status == 431   ? "head_limit"
                           : status == 413 ? "body_limit"
                                           : "malformed",
                           bootTimeNow());
    co_await reject(status, nullptr);
  }
  co_return false;
}

asio::awaitable<void> RequestReader::reject(unsigned status,
                                            const char *reason) {
  BufferedResponse response;
  response.Status = status;
  if (reason != nullptr) {
    response.Fields =
        platform::makeLocalResponseFields("", Duration(MemoryRetryAfter));
    response.Body = R"({"status":503,"outcome":"not_run"})";
  }
  Writer.reset(false, false);
  Writer.setStallTimeout(MaxDrainTime);
  Unparsed = std::string();
  Parser.reset();
  finish();
  Current = State::Draining;
  co_await Writer.write(response);
  co_await drain();
}

asio::awaitable<void> RequestReader::drain() {
  boost::system::error_code ec;
  if (Current == State::Closed) {
    co_return;
  }
  Unparsed = std::string();
  Parser.reset();
  finish();
  Current = State::Draining;
  Since = bootTimeNow();
  CallerSocket.shutdown(tcp::socket::shutdown_send, ec);
  Refused = false;
  armTimer(MaxDrainTime, false);
  std::array<char, ReadBytes> &buffer = readBuffer();
  std::uint64_t left = std::max(Limits.MaxBodyBytes, MinDrainBytes);
  while (!ec && !Stopped && left > 0) {
    co_await yieldAfterReads();
    const std::size_t n = CallerSocket.read_some(asio::buffer(buffer), ec);
    left -= std::min<std::uint64_t>(left, n);
    if (ec == asio::error::would_block && !Stopped) {
      co_await CallerSocket.async_wait(
          tcp::socket::wait_read,
          asio::redirect_error(asio::use_awaitable, ec));
    }
  }
  ++TimerGeneration;
}

RequestReader::Message RequestReader::release() { return Parser->release(); }

void RequestReader::finish() {
  HeadMemory = 0;
  BodyMemory = 0;
  Context.CallerMemory.setServed(BudgetId, false);
  if (Unparsed.empty()) {
    Unparsed = std::string();
  }
  charge();
}

} // namespace nutmegsill::gateway
