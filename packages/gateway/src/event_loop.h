/// Runs an event loop and measures its lag.
#pragma once

#include "metrics.h"
#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <thread>

namespace nutmegsill::gateway {

/// Runs the handlers of `io` until it is stopped or has no more work. Calls
/// `yield` after every few handlers: threads that share a core with a loop that
/// always has work would otherwise seldom run.
void runEventLoop(boost::asio::io_context &io,
                  const std::function<void()> &yield = std::this_thread::yield);

/// Called with the lag of each probe.
using LagHandler = std::function<void(Duration lag, Time now)>;

/// Measures, each `interval`, how late the timers of `io` run since all that
/// was ready before them runs first. Sets the lag of the loop named `loop` in
/// the metrics and logs, at most once a second, a lag that delays requests.
boost::asio::awaitable<void> measureLoopLag(boost::asio::io_context &io,
                                            std::string loop, Duration interval,
                                            Metrics &metrics,
                                            LagHandler onProbe = {});

} // namespace nutmegsill::gateway
