/// An exchange beside which a second one may start with another target.
#pragma once

#include "exchange.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace nutmegsill::gateway {

/// Not thread-safe.
class HedgedExchange {
public:
  /// Makes the second exchange; null if none may start.
  using MakeSecond = std::function<std::unique_ptr<Exchange>()>;

  explicit HedgedExchange(Exchange &first) : First(first) {}

  /// Starts a second exchange after `delay` if the first is awaited then. Only
  /// for exchanges that do not forward their response while it arrives.
  void hedgeAfter(Duration delay, MakeSecond makeSecond);
  /// Returns the outcome of the first exchange when both have ended. The first
  /// complete response ends the other exchange.
  boost::asio::awaitable<ExchangeOutcome> run();

  void abort();
  void checkAcknowledged(Time now);
  bool hasUnreadBytes();
  bool awaitsResponse() const;
  bool hasSecond() const { return Second != nullptr; }
  /// The second exchange has the response to use.
  bool secondWins() const { return SecondWins; }
  /// Requires a second exchange that has ended.
  ExchangeOutcome takeSecondOutcome() { return std::move(SecondOutcome); }

private:
  boost::asio::awaitable<void> runSecond();

  Exchange &First;
  std::unique_ptr<Exchange> Second;
  MakeSecond Make;
  Duration Delay{0};
  ExchangeOutcome SecondOutcome;
  std::optional<boost::asio::steady_timer> StartTimer;
  std::optional<boost::asio::steady_timer> SecondEnd;
  bool FirstEnded = false;
  bool SecondEnded = false;
  bool SecondWins = false;
  bool Aborted = false;
};

} // namespace nutmegsill::gateway
