#include "hedged_exchange.h"

#include "spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using routing::ExchangeResult;

void HedgedExchange::hedgeAfter(Duration delay, MakeSecond makeSecond) {
  Delay = delay;
  Make = std::move(makeSecond);
}

asio::awaitable<ExchangeOutcome> HedgedExchange::run() {
  if (!Make) {
    co_return co_await First.run();
  }
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  StartTimer.emplace(executor, Delay);
  SecondEnd.emplace(executor, asio::steady_timer::time_point::max());
  spawn(executor, runSecond());
  ExchangeOutcome outcome = co_await First.run();
  FirstEnded = true;
  StartTimer->cancel();
  if (Second && outcome.Result == ExchangeResult::Completed) {
    Second->abort();
  }
  while (!SecondEnded) {
    boost::system::error_code ec;
    co_await SecondEnd->async_wait(
        asio::redirect_error(asio::use_awaitable, ec));
  }
  SecondWins = Second && outcome.Result != ExchangeResult::Completed &&
               SecondOutcome.Result == ExchangeResult::Completed;
  co_return outcome;
}

asio::awaitable<void> HedgedExchange::runSecond() {
  boost::system::error_code ec;
  co_await StartTimer->async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  // A cancelled timer may have expired before.
  if (!FirstEnded && !Aborted && First.awaitsResponse()) {
    Second = Make();
  }
  if (Second) {
    SecondOutcome = co_await Second->run();
    if (SecondOutcome.Result == ExchangeResult::Completed && !FirstEnded) {
      First.abort();
    }
  }
  SecondEnded = true;
  SecondEnd->cancel();
}

void HedgedExchange::abort() {
  Aborted = true;
  First.abort();
  if (Second) {
    Second->abort();
  }
}

void HedgedExchange::checkAcknowledged(Time now) {
  First.checkAcknowledged(now);
  if (Second) {
    Second->checkAcknowledged(now);
  }
}

bool HedgedExchange::hasUnreadBytes() {
  return First.hasUnreadBytes() || (Second && Second->hasUnreadBytes());
}

bool HedgedExchange::awaitsResponse() const {
  return First.awaitsResponse() || (Second && Second->awaitsResponse());
}

} // namespace nutmegsill::gateway
