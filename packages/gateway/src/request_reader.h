/// Reads the requests of one caller's connection, within limits.
#pragma once

#include "nutmegsill/routing/caller_budget.h"
#include "nutmegsill/routing/model.h"
#include "response_writer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace nutmegsill::gateway {

struct SessionContext;

/// Holds the bytes of an unfinished head unparsed: parsed fields take many
/// times the memory. Everything that it holds is part of the callers' budget.
/// Not thread-safe.
class RequestReader {
public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  RequestReader(SessionContext &context, boost::asio::ip::tcp::socket &caller,
                ResponseWriter &writer);
  ~RequestReader();
  RequestReader(const RequestReader &) = delete;
  RequestReader &operator=(const RequestReader &) = delete;

  /// Waits for the next request and reads its head, and what has arrived of its
  /// body. The functions that read respond with an error to a malformed request
  /// and return false when there is no request to serve.
  boost::asio::awaitable<bool> readHead();
  const Message &head() const { return Parser->get(); }
  bool isComplete() const { return Parser->is_done(); }
  /// Whether a request that is to be rejected is rejected before its body is
  /// read; a small body is read, so that the connection can be kept.
  bool expectsLargeBody() const;
  boost::asio::awaitable<bool> readBody();
  /// The complete request. Its memory counts until `finish`.
  Message release();
  void finish();
  /// Reads and drops for a short time what the caller still sends: the system
  /// resets a connection that is closed with unread bytes, and the caller may
  /// lose the response.
  boost::asio::awaitable<void> drain();

  /// Ends a wait for a request of which no byte has arrived.
  void closeIfIdle();
  /// Responds that the router lacks memory, unless the request is complete, and
  /// ends reading.
  void refuse();
  /// Closes the connection, unless a request is being served.
  void close();
  /// Since when bytes of the caller are awaited; nothing while a request is
  /// being served.
  std::optional<Time> waitsSince() const;
  routing::CallerBudget::CallerId budgetId() const { return BudgetId; }

private:
  enum class State { Idle, Reading, Served, Draining, Closed };
  using ParserType =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Reads some bytes to the end of `Unparsed`; fails with `operation_aborted`
  /// when reading has been ended and no bytes are left.
  boost::asio::awaitable<boost::system::error_code>
  receive(std::size_t maxBytes, bool waitsFirst);
  /// Lets other sessions run after some reads without a wait.
  boost::asio::awaitable<void> yieldAfterReads();
  boost::asio::awaitable<boost::system::error_code> receiveHead();
  boost::asio::awaitable<boost::system::error_code> receiveBody();
  /// Checks what the head has so far for bytes that no request begins with.
  boost::system::error_code checkRequestLine(std::size_t previousBytes) const;
  boost::system::error_code parseHead(std::size_t headBytes);
  boost::system::error_code parseBody();
  void dropParsed(std::size_t bytes);
  /// Makes room for `bytes` of the body.
  bool growBody(std::size_t bytes);
  /// Counts what is held, and `moreBytes`, to the budget.
  bool charge(std::size_t moreBytes = 0);
  boost::asio::awaitable<bool> endFailed(boost::system::error_code ec);
  boost::asio::awaitable<void> reject(unsigned status, const char *reason);
  void armTimer(Duration delay, bool mayExtend = true);
  void stopReading();

  SessionContext &Context;
  boost::asio::ip::tcp::socket &CallerSocket;
  ResponseWriter &Writer;
  boost::asio::steady_timer Timer;
  routing::CallerBudget::CallerId BudgetId;
  routing::CallerLimits Limits;
  std::size_t MaxHeadBytes = 0;
  std::string Unparsed;
  std::optional<ParserType> Parser;
  /// Memory of the parsed fields.
  std::size_t HeadMemory = 0;
  /// Memory that the body has or, if its length is known, will have.
  std::size_t BodyMemory = 0;
  State Current = State::Idle;
  Time Since{};
  /// Reading ends when all bytes that have arrived are read.
  bool Stopped = false;
  bool Refused = false;
  /// Reads since other sessions could run.
  int ReadsAtOnce = 0;
  /// Counts uses of `Timer`, so that the expiry of an earlier use is ignored.
  std::uint64_t TimerGeneration = 0;
  /// Reset with this object; pending handlers hold a weak pointer.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>();
};

} // namespace nutmegsill::gateway
