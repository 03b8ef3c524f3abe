#include "peer_socket.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace nutmegsill {

class PeerSocketFixture {
protected:
  PeerSocketFixture() {
    Counters = Metrics::start(freeAddress(), Reason);
    REQUIRE(Counters);
    PeerSocketOptions options;
    options.Self = {HostId{"receiver"}, {1}};
    options.Address = ReceiverAddress = freeAddress();
    Receiver = PeerSocket::open(
        ReceiverIo, options, *Counters,
        [this](const Instance & /*from*/, std::string_view /*bytes*/) {
          ++Received;
        },
        Reason);
    REQUIRE(Receiver);
    options.Self = {HostId{"sender"}, {1}};
    options.Address = freeAddress();
    Sender = PeerSocket::open(
        SenderIo, options, *Counters,
        [](const Instance & /*from*/, std::string_view /*bytes*/) {}, Reason);
    REQUIRE(Sender);
    Sender->setPeers({{HostId{"receiver"}, ReceiverAddress}});
  }

  static std::string freeAddress() {
    boost::asio::io_context io{1};
    boost::asio::ip::tcp::acceptor probe(
        io, {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
  }
  /// Sends until the connection is open and a message has arrived.
  void connect() {
    for (int i = 0; i < 200 && Received == 0; ++i) {
      Sender->send(HostId{"receiver"}, "test", "x");
      std::this_thread::sleep_for(milliseconds(20));
      ReceiverIo.poll();
    }
    REQUIRE(Received > 0);
  }

  std::string Reason;
  std::unique_ptr<Metrics> Counters;
  boost::asio::io_context ReceiverIo{1};
  boost::asio::io_context SenderIo{1};
  std::string ReceiverAddress;
  int Received = 0;
  std::unique_ptr<PeerSocket> Receiver;
  std::unique_ptr<PeerSocket> Sender;
};

// Guards against peers whose messages keep an event loop from all other work.
TEST_CASE_METHOD(PeerSocketFixture,
                 "peer_socket_many_messages_leave_turns_to_other_handlers") {
  connect();
  constexpr int messages = 500;
  const int before = Received;
  for (int i = 0; i < messages; ++i) {
    Sender->send(HostId{"receiver"}, "test", "x");
  }
  std::this_thread::sleep_for(milliseconds(300));
  int most = 0;
  for (int i = 0; i < 1'000 && Received < before + messages; ++i) {
    const int received = Received;
    ReceiverIo.run_one_for(milliseconds(20));
    most = std::max(most, Received - received);
  }
  CHECK(Received >= before + messages);
  CHECK(most <= 64);
}

// Guards against an exception that ends the process.
TEST_CASE_METHOD(PeerSocketFixture,
                 "peer_socket_address_that_is_not_accepted_drops_the_message") {
  const std::string odd("127.0.0.1\0:80", 13);
  for (const std::string &address :
       {odd, std::string("::1:80"), std::string("127.0.0.1:0"),
        std::string("[fe80::1%none]:80"), std::string("[::1]:80"),
        std::string("host.example:80")}) {
    Sender->setPeers({{HostId{"odd"}, address}});
    CHECK_NOTHROW(Sender->send(HostId{"odd"}, "test", "x"));
    CHECK_NOTHROW(Sender->send(HostId{"odd"}, "test", "x"));
  }
  Sender->setPeers({{HostId{"receiver"}, ReceiverAddress}});
  connect();
}

} // namespace nutmegsill
