#include "stop_signal.h"

#include "clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace nutmegsill::gateway {

// Guards against steps of a stop that shift with the lag of the event loop.
TEST_CASE("stop_signal_time_is_that_of_arrival_when_loop_lags") {
  boost::asio::io_context io;
  StopSignal signal(io);
  CHECK(!StopSignal::arrivedAt());
  const Time raisedAt = bootTimeNow();
  std::raise(SIGTERM);
  std::this_thread::sleep_for(milliseconds(400));
  std::raise(SIGINT);
  std::optional<Time> arrivedAt;
  boost::asio::co_spawn(
      io,
      [&]() -> boost::asio::awaitable<void> {
        arrivedAt = co_await signal.wait();
      },
      boost::asio::detached);
  io.run_for(std::chrono::seconds(2));
  REQUIRE(arrivedAt);
  CHECK(*arrivedAt - raisedAt < milliseconds(200));
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
}

} // namespace nutmegsill::gateway
