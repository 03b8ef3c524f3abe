// Callers that read a stream more slowly than its target sends it.
#include "response_writer.h"
#include "spawn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A connection whose caller reads nothing by itself, with small buffers of the
/// system.
class SlowCallerFixture {
protected:
  SlowCallerFixture() {
    tcp::acceptor acceptor(Io, tcp::endpoint(tcp::v4(), 0));
    const asio::socket_base::receive_buffer_size receiveBytes(4'096);
    const asio::socket_base::send_buffer_size sendBytes(4'096);
    Caller.open(tcp::v4());
    Caller.set_option(receiveBytes);
    Caller.connect(tcp::endpoint(asio::ip::address_v4::loopback(),
                                 acceptor.local_endpoint().port()));
    acceptor.accept(Server);
    Server.set_option(sendBytes);
    Server.non_blocking(true);
  }

  /// Sends chunks until one fails.
  asio::awaitable<void> sendChunks(int count) {
    ResponseFields fields;
    bool sent = co_await Writer.beginChunked(200, fields, Part);
    for (int i = 1; sent && i < count; ++i) {
      ++Accepted;
      sent = co_await Writer.writeChunk(Part);
    }
    if (sent) {
      sent = co_await Writer.finishChunked(Part);
    }
    Ended = true;
    Complete = sent;
  }

  asio::io_context Io{1};
  tcp::socket Caller{Io};
  tcp::socket Server{Io};
  ResponseWriter Writer{Server};
  const std::string Part = std::string(1'000, 'x');
  int Accepted = 0;
  bool Ended = false;
  bool Complete = false;
};

} // namespace

// Guards against a target that is not read, and cuts its response off, as long
// as one caller does not read.
TEST_CASE_METHOD(SlowCallerFixture,
                 "gateway_callers_reading_slowly_do_not_stop_the_target") {
  constexpr int chunks = 200;
  spawn(Io, sendChunks(chunks));
  Io.run_for(std::chrono::milliseconds(300));
  CHECK(Accepted == chunks - 1);
  CHECK_FALSE(Writer.hasFinished());
  std::string received(static_cast<std::size_t>(chunks) * Part.size(), ' ');
  // The response is delivered, although late, and whole.
  std::size_t total = 0;
  for (int i = 0; i < 1'000 && !Ended; ++i) {
    Caller.non_blocking(true);
    boost::system::error_code ec;
    total += Caller.read_some(asio::buffer(received), ec);
    Io.restart();
    Io.run_for(std::chrono::milliseconds(5));
  }
  CHECK(Complete);
  CHECK(Writer.hasFinished());
  for (boost::system::error_code ec; !ec;) {
    total += Caller.read_some(asio::buffer(received), ec);
  }
  CHECK(total > static_cast<std::size_t>(chunks) * Part.size());
}

// Guards against a caller that fills the memory, and against an incomplete
// response that looks complete.
TEST_CASE_METHOD(SlowCallerFixture,
                 "gateway_callers_reading_nothing_end_incomplete_and_bounded") {
  constexpr int chunks = 100'000;
  Writer.setStallTimeout(std::chrono::milliseconds(400));
  spawn(Io, sendChunks(chunks));
  Io.run_for(std::chrono::seconds(5));
  CHECK(Ended);
  CHECK_FALSE(Complete);
  CHECK(Accepted < 1'000);
  CHECK(Writer.hasStarted());
  CHECK_FALSE(Writer.hasFinished());
}

} // namespace nutmegsill::gateway
