#include "caller_listener.h"
#include "clock.h"

#include <catch2/catch.hpp>

#include <vector>

namespace nutmegsill::gateway {

using boost::asio::ip::tcp;

class CallerListenerFixture {
protected:
  CallerListenerFixture() {
    // Takes a free port.
    tcp::acceptor probe(Io, tcp::endpoint(tcp::v4(), 0));
    Endpoint = tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                             probe.local_endpoint().port());
    probe.close();
    Listener.emplace(Io, Endpoint, [this](tcp::socket it) {
      Accepted.push_back(std::move(it));
    });
    REQUIRE_FALSE(Listener->start());
    Io.poll();
  }

  /// Opens a connection and lets the listener run; returns whether the system
  /// refused it.
  bool isRefused() {
    boost::system::error_code ec;
    Callers.emplace_back(Io);
    Callers.back().connect(Endpoint, ec);
    Io.restart();
    Io.poll();
    return ec == boost::asio::error::connection_refused;
  }
  void probe(milliseconds lag) {
    Now += milliseconds(50);
    Listener->recordLag(lag, Now);
    Io.restart();
    Io.poll();
  }

  boost::asio::io_context Io{1};
  tcp::endpoint Endpoint;
  std::vector<tcp::socket> Accepted;
  std::vector<tcp::socket> Callers;
  std::optional<CallerListener> Listener;
  Time Now = bootTimeNow();
};

TEST_CASE_METHOD(CallerListenerFixture,
                 "caller_listener_calm_router_accepts_all") {
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(isRefused());
  }
  CHECK(Accepted.size() == 20);
}

// Guards against hosts that spend their time on closing what they cannot serve.
TEST_CASE_METHOD(CallerListenerFixture,
                 "caller_listener_flooded_router_lets_system_refuse_callers") {
  CHECK_FALSE(isRefused());
  for (int i = 0; i < 3; ++i) {
    probe(milliseconds(200));
    isRefused();
  }
  const std::size_t accepted = Accepted.size();
  for (int i = 0; i < 50; ++i) {
    CHECK(isRefused());
  }
  CHECK(Accepted.size() == accepted);
  CHECK(Listener->takePauses() >= 1);
}

TEST_CASE_METHOD(CallerListenerFixture,
                 "caller_listener_calm_again_accepts_again") {
  for (int i = 0; i < 3; ++i) {
    probe(milliseconds(200));
    isRefused();
  }
  for (int i = 0; i < 4; ++i) {
    probe(milliseconds(0));
  }
  const std::size_t accepted = Accepted.size();
  CHECK_FALSE(isRefused());
  CHECK(Accepted.size() > accepted);
}

TEST_CASE_METHOD(CallerListenerFixture,
                 "caller_listener_stopped_refuses_and_stays_closed") {
  Listener->stop();
  probe(milliseconds(0));
  CHECK(isRefused());
}

} // namespace nutmegsill::gateway
