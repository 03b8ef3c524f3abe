#include "event_loop.h"

#include "clock.h"
#include "log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

/// Lag from which a loop is logged: longer than the pause of a host whose
/// processor quota for a tenth of a second is used up.
constexpr milliseconds MinLoggedLag{250};
/// Shortest time between two log lines about one loop.
constexpr std::chrono::seconds LagLogInterval{1};

/// Handlers of a loop that run before another thread gets the core: some
/// milliseconds on a host with a tenth of a core.
constexpr int MaxHandlersPerTurn = 16;

} // namespace

void runEventLoop(asio::io_context &io, const std::function<void()> &yield) {
  for (int handlers = 0; io.run_one() > 0;) {
    if (++handlers == MaxHandlersPerTurn) {
      handlers = 0;
      yield();
    }
  }
}

asio::awaitable<void> measureLoopLag(asio::io_context &io, std::string loop,
                                     Duration interval, Metrics &metrics,
                                     LagHandler onProbe) {
  asio::steady_timer timer(io);
  Time nextLogAt{};
  for (;;) {
    const Time expiry = bootTimeNow() + interval;
    timer.expires_after(interval);
    co_await timer.async_wait(asio::use_awaitable);
    const Time now = bootTimeNow();
    const Duration lag = now - expiry;
    metrics.setLoopLag(loop, toSeconds(lag));
    if (lag > MinLoggedLag && now >= nextLogAt) {
      nextLogAt = now + LagLogInterval;
      logLine(
          "process", "loop_lagging",
          {{"loop", loop}, {"lag_ms", std::to_string(toMilliseconds(lag))}});
    }
    if (onProbe) {
      onProbe(lag, now);
    }
  }
}

} // namespace nutmegsill::gateway
