// Untrusted callers at the port for other routers, and at targets' responses.
#include "gateway_callers_fixture.h"
#include "raw_target.h"

#include <boost/asio.hpp>
#include <thread>

namespace nutmegsill::standin {

namespace {

/// Greeting and handshake of ZMTP 3.0 with the mechanism NULL.
std::string zmtpHandshake() {
  std::string out("\xff\0\0\0\0\0\0\0\x01\x7f\x03\0", 12);
  out += "NULL" + std::string(16, '\0') + std::string(32, '\0');
  out += std::string("\x04\x1c\x05READY\x0bSocket-Type\0\0\0\x06"
                     "DEALER",
                     30);
  return out;
}

std::string zmtpFrameHead(bool more, std::uint64_t size) {
  std::string out(1, static_cast<char>(more ? 3 : 2));
  for (int shift = 56; shift >= 0; shift -= 8) {
    out += static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xffU);
  }
  return out;
}

} // namespace

// Guards against frames that are allocated before a peer has proved anything.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_unfinished_frames_at_peer_port_are_bounded") {
  checkCrowd(Place::Peer, 60,
             zmtpHandshake() + zmtpFrameHead(false, 1U << 20U) +
                 std::string((1U << 20U) - 1, 'x'));
}

// Guards against messages of one peer that wait in the queue.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_large_messages_at_peer_port_are_bounded") {
  std::string text = zmtpHandshake();
  for (int i = 0; i < 16; ++i) {
    text += zmtpFrameHead(false, 1U << 20U) + std::string(1U << 20U, 'x');
  }
  checkCrowd(Place::Peer, 12, text);
}

// Guards against messages of very many parts, which no queue limit counts.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_endless_parts_at_peer_port_are_bounded") {
  std::string parts;
  for (int i = 0; i < 32; ++i) {
    parts += zmtpFrameHead(true, 1U << 16U) + std::string(1U << 16U, 'x');
  }
  checkCrowd(Place::Peer, 40, zmtpHandshake() + parts);
}

// Guards against parts that cost far more memory than their bytes.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_empty_parts_at_peer_port_are_bounded") {
  checkCrowd(Place::Peer, 12,
             zmtpHandshake() + repeat(std::string("\x01\0", 2), 1U << 20U));
}

// Guards against frames beyond the limit.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_oversize_frames_at_peer_port_are_bounded") {
  checkCrowd(Place::Peer, 24,
             zmtpHandshake() + zmtpFrameHead(false, 1ULL << 40U) +
                 std::string(4U << 20U, 'x'));
}

// Guards against handshakes that stay half open.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_callers_half_open_handshakes_leave_descriptors") {
  checkCrowd(Place::Peer, 400, zmtpHandshake().substr(0, 40));
}

// Guards against heads and trailers of targets that are within the limit of
// each read only.
TEST_CASE_METHOD(GatewayCallersFixture,
                 "gateway_targets_heads_of_short_fields_are_bounded") {
  namespace asio = boost::asio;
  const bool inTrailer = GENERATE(false, true);
  const std::string path = GENERATE("/safe/a", "/stream/whole/a");
  RawTarget target(
      freeLoopbackAddress(),
      [inTrailer](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text = connection.head("200 OK");
        if (inTrailer) {
          text += "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n8\r\ndata: 1\n\r\n0\r\n";
        }
        // A limit that counts single reads only does not see such pieces.
        text += "a";
        co_await connection.send(std::move(text));
        for (int i = 0; i < 200; ++i) {
          co_await connection.send(repeat(":\r\na", 1'000));
          co_await connection.sleep(std::chrono::milliseconds(1));
        }
        co_await connection.sleep(std::chrono::milliseconds(2'000));
      });
  writeTargetEntry(*FirstTarget, "ready", target.address());
  Store->erase("servers/" + SecondTarget->id());
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  constexpr int count = 24;
  std::vector<std::thread> callers;
  callers.reserve(count);
  for (int i = 0; i < count; ++i) {
    callers.emplace_back(
        [this, &path, i] { sendRequest(path, "t-" + std::to_string(i)); });
  }
  for (std::thread &it : callers) {
    it.join();
  }
  const std::uint64_t peak = peakMemory();
  WARN("peak " << peak / 1'000 << " kB");
  CHECK(peak < HostMemoryMb * 1'000'000ULL);
  writeTargetEntry(*FirstTarget);
  CHECK(servesOthers());
}

} // namespace nutmegsill::standin
