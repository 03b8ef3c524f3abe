#include "event_loop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

namespace nutmegsill::gateway {

class EventLoopFixture {
protected:
  /// Runs a loop in which a handler is always ready, until `handlers` have run.
  void runBusyLoop(int handlers) {
    std::function<void()> repeat = [this, &repeat, handlers] {
      ++HandlersSinceYield;
      MostHandlersSinceYield =
          std::max(MostHandlersSinceYield, HandlersSinceYield);
      if (++Handlers < handlers) {
        boost::asio::post(Io, repeat);
      }
    };
    boost::asio::post(Io, repeat);
    runEventLoop(Io, [this] {
      HandlersSinceYield = 0;
      ++Yields;
    });
  }

  boost::asio::io_context Io{1};
  int Handlers = 0;
  int HandlersSinceYield = 0;
  int MostHandlersSinceYield = 0;
  int Yields = 0;
};

// Guards against control threads that starve while callers flood their host.
TEST_CASE_METHOD(EventLoopFixture,
                 "event_loop_that_never_waits_yields_to_other_threads") {
  runBusyLoop(1'000);
  CHECK(Handlers == 1'000);
  CHECK(MostHandlersSinceYield <= 16);
  CHECK(Yields >= 1'000 / 16);
}

TEST_CASE_METHOD(EventLoopFixture,
                 "event_loop_that_is_stopped_runs_no_further_handler") {
  boost::asio::post(Io, [this] { Io.stop(); });
  boost::asio::post(Io, [this] { ++Handlers; });
  runEventLoop(Io, [] {});
  CHECK(Handlers == 0);
}

} // namespace nutmegsill::gateway
