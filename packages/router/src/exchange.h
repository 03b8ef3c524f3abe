/// One exchange with a target: sends a request and streams its answer to the
/// caller.
#pragma once

#include "answers.h"
#include "nutmegsill/event.h"
#include "nutmegsill/http_client.h"
#include "settings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace nutmegsill {

using UpstreamStream = boost::beast::tcp_stream;
using OutgoingRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Idle connections to targets; one set for each traffic thread.
class UpstreamPool {
public:
  std::optional<UpstreamStream> take(const Endpoint &to);
  void keep(const Endpoint &to, UpstreamStream stream);

private:
  std::map<Endpoint, std::vector<UpstreamStream>> Idle;
};

/// Counts the cost of an answer while it streams.
class CostMeter {
public:
  /// A plain service costs `fixed`; a model costs one unit a token.
  CostMeter(PoolKindOf kind, Cost fixed) : Kind(kind), Fixed(fixed) {}
  void add(std::string_view part);
  Cost total() const;

private:
  PoolKindOf Kind;
  Cost Fixed;
  std::int64_t Events = 0;
  std::size_t Bytes = 0;
  /// Length of the part of "\ndata: " that the last bytes matched.
  std::size_t Matched = 1;
  bool Streamed = false;
};

/// The caller's side of an exchange. Each function returns false when the
/// caller is gone.
struct AnswerSink {
  std::function<boost::asio::awaitable<bool>(
      unsigned status, const std::string &contentType,
      std::optional<std::uint64_t> length)>
      Begin;
  std::function<boost::asio::awaitable<bool>(std::string_view part)> Write;
  std::function<boost::asio::awaitable<bool>()> Finish;
};

/// What is fixed for one exchange.
struct ExchangePlan {
  Endpoint To;
  OutgoingRequest Request;
  /// Whether a kept connection may be used and a refusal is retried.
  bool Idempotent = true;
  /// Whether the target answers 412 to an outdated epoch.
  bool Fencing = false;
  DataLimits Limits;
};

struct ExchangeReport {
  ExchangeEnd End = ExchangeEnd::NotSent;
  /// Set for whole answers of calls that may not be repeated.
  std::shared_ptr<const StoredAnswer> Answer;
};

/// Lets another coroutine of the same thread break off an exchange.
class ExchangeHandle {
public:
  /// Closes the connection to the target.
  void abort();
  bool aborted() const { return Aborted; }
  void attach(UpstreamStream *stream) { Stream = stream; }

private:
  UpstreamStream *Stream = nullptr;
  bool Aborted = false;
};

/// Runs the exchange to its end.
boost::asio::awaitable<ExchangeReport>
runExchange(UpstreamPool &pool, ExchangePlan plan, AnswerSink &sink,
            CostMeter &meter, std::function<void()> progressed,
            ExchangeHandle &handle);

} // namespace nutmegsill
