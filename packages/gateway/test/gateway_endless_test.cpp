// Targets and callers that send bytes without end.
#include "buffer_budget.h"
#include "gateway_fixture.h"
#include "nutmegsill/http_client.h"
#include "raw_target.h"

#include <atomic>
#include <boost/asio.hpp>
#include <fstream>
#include <thread>

namespace nutmegsill::standin {

namespace asio = boost::asio;

class GatewayEndlessFixture : protected GatewayFixture {
protected:
  void setTargetModes(TargetMode mode) {
    FirstTarget->setMode(mode);
    SecondTarget->setMode(mode);
  }
  /// Peak resident memory of the first router, in bytes.
  std::uint64_t peakMemory() const {
    std::ifstream status("/proc/" + std::to_string(RouterProcesses[0].pid()) +
                         "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmHWM:", 0) == 0) {
        return std::stoull(line.substr(6)) * 1024;
      }
    }
    return 0;
  }
  bool targetsAreLeft() {
    return waitUntil([this] {
      return FirstTarget->endlessConnections() == 0 &&
             SecondTarget->endlessConnections() == 0;
    });
  }
  /// Sends `count` requests at the same time and checks what the callers, the
  /// targets and the host see of it.
  void checkEndless(TargetMode mode, const std::string &path) {
    constexpr int count = 12;
    /// Beyond what the router uses when it is idle.
    constexpr std::uint64_t maxMemory = 40U << 20U;
    startRouter();
    const std::uint64_t before = peakMemory();
    setTargetModes(mode);
    std::vector<RawResponse> responses(count);
    std::vector<std::thread> callers;
    callers.reserve(count);
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < count; ++i) {
      callers.emplace_back([this, &path, &responses, i] {
        responses[static_cast<std::size_t>(i)] =
            sendRequest(path, "endless-" + std::to_string(i));
      });
    }
    for (std::thread &it : callers) {
      it.join();
    }
    // The routes' timeout is 3 s.
    CHECK(std::chrono::steady_clock::now() - begin <
          std::chrono::milliseconds(3'500));
    CHECK(targetsAreLeft());
    CHECK(peakMemory() - before < maxMemory);
    for (const RawResponse &it : responses) {
      const bool ended = it.Status == 502 || it.Status == 504 ||
                         (it.Status == 200 && !it.Complete);
      CHECK(ended);
    }
    setTargetModes(TargetMode::Serving);
    CHECK(waitUntil([&] {
      const RawResponse response =
          sendRequest(path, "after-" + std::to_string(++LastRequestNumber));
      return response.Status == 200 && response.Complete;
    }));
  }

  int LastRequestNumber = 0;
};

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_header_ends_request_and_connection") {
  checkEndless(TargetMode::EndlessHeader, "/buy/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_interim_responses_end_request") {
  checkEndless(TargetMode::EndlessInterim, "/buy/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_duplicates_end_request") {
  checkEndless(TargetMode::EndlessDuplicates, "/buy/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_body_ends_request_and_connection") {
  checkEndless(TargetMode::EndlessBody, "/buy/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_chunks_end_request_and_connection") {
  checkEndless(TargetMode::EndlessChunks, "/buy/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_chunk_extension_ends_request") {
  checkEndless(TargetMode::EndlessChunkExtension, "/buy/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_event_ends_stream_and_connection") {
  checkEndless(TargetMode::EndlessChunks, "/stream/whole/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_event_ends_resumable_stream") {
  checkEndless(TargetMode::EndlessChunks, "/stream/resumed/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_unframed_stream_ends") {
  checkEndless(TargetMode::EndlessBody, "/stream/whole/a");
}

TEST_CASE_METHOD(GatewayEndlessFixture,
                 "gateway_endless_chunk_extension_of_caller_is_bounded") {
  constexpr std::uint64_t maxMemory = 10U << 20U;
  startRouter();
  const std::uint64_t before = peakMemory();
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back([this, i] {
      const std::string text =
          "POST /buy/a HTTP/1.1\r\nHost: models.example\r\nRequest-Id: x-" +
          std::to_string(i) + "\r\nTransfer-Encoding: chunked\r\n\r\n4;" +
          std::string(16U << 20U, 'x');
      const RawResponse response =
          RawCaller(Routers.front().CallerAddress).exchange(text);
      CHECK(response.Status != 200);
    });
  }
  for (std::thread &it : callers) {
    it.join();
  }
  CHECK(peakMemory() - before < maxMemory);
  CHECK(sendRequest("/buy/a", "after").Status == 200);
}

/// Hundreds of callers whose targets send without end, beside callers of a
/// sound target.
class GatewayManyEndlessFixture : protected GatewayEndlessFixture {
protected:
  static constexpr int Callers = 300;
  /// Memory of the smallest hosts, in bytes.
  static constexpr std::uint64_t HostMemory = 88'000'000;

  GatewayManyEndlessFixture() : Sound("w-3", "shop", freeLoopbackAddress()) {
    writeConfig(configText(4, "\"key-prints\"", "shop"));
    writeTargetEntry(Sound);
  }
  /// Sends to the sound target, on one connection after the other, until
  /// `stop` is set; returns a line for each request that is lost. A busy router
  /// may refuse a request, truthfully and at once, or a connection of which it
  /// has read nothing.
  std::string sendSoundRequests(const std::atomic<bool> &stop) {
    std::unique_ptr<RawCaller> caller;
    std::string failures;
    int sentOnConnection = 0;
    for (int i = 0; !stop; ++i) {
      if (!caller) {
        caller = std::make_unique<RawCaller>(Routers.front().CallerAddress);
        sentOnConnection = 0;
      }
      if (!caller->isConnected()) {
        caller.reset();
        continue;
      }
      RawRequest request;
      request.Path = "/buy/a";
      request.RequestId = "sound-" + std::to_string(i);
      const RawResponse response = caller->send(request);
      const bool served = response.Status == 200 && response.Complete;
      ++sentOnConnection;
      const bool refused = response.Status == 503 &&
                           !response.headerField("Retry-After").empty();
      const bool unread = response.Status == 0 && sentOnConnection == 1;
      const bool hasRun = Sound.runCount(request.RequestId) > 0;
      SoundServed += served ? 1 : 0;
      if (!served && (hasRun || (!refused && !unread))) {
        failures += request.RequestId + ": status " +
                    std::to_string(response.Status) + ", request " +
                    std::to_string(sentOnConnection) + " of its connection" +
                    (hasRun ? ", has run\n" : "\n");
      }
      if (!served || response.headerField("Connection") == "close") {
        caller.reset();
      }
    }
    return failures;
  }
  void sendToFaultyTargets(const std::string &path) {
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int i = 0; i < Callers; ++i) {
      callers.emplace_back([this, &path, i] {
        RawRequest request;
        request.Path = path;
        request.RequestId = "endless-" + std::to_string(i);
        request.Body.assign(60'000, 'x');
        RawCaller(Routers.front().CallerAddress).send(request);
      });
    }
    for (std::thread &it : callers) {
      it.join();
    }
  }

  TargetStandin Sound;
  int SoundServed = 0;
};

// Guards against responses that are within their bounds one by one and fill the
// memory together, or that leave none for sound ones.
TEST_CASE_METHOD(GatewayManyEndlessFixture,
                 "gateway_many_endless_responses_leave_others_undisturbed") {
  const TargetMode mode =
      GENERATE(TargetMode::EndlessHeader, TargetMode::EndlessInterim,
               TargetMode::EndlessDuplicates, TargetMode::EndlessDuplicateBody,
               TargetMode::EndlessBody, TargetMode::EndlessChunks,
               TargetMode::EndlessChunkExtension, TargetMode::EndlessTrailer,
               TargetMode::EndlessEvents);
  const std::string path =
      GENERATE("/safe/a", "/stream/whole/a", "/stream/resumed/a");
  startRouter();
  setTargetModes(mode);
  std::atomic<bool> stop{false};
  std::string failures;
  std::thread sound([&] { failures = sendSoundRequests(stop); });
  sendToFaultyTargets(path);
  stop = true;
  sound.join();
  CAPTURE(static_cast<int>(mode), path, failures);
  CHECK(failures.empty());
  CHECK(SoundServed > 0);
  CHECK_FALSE(RouterProcesses[0].wait(std::chrono::milliseconds(0)));
  CHECK(peakMemory() < HostMemory);
  CHECK(targetsAreLeft());
}

// Guards against large responses that leave no memory for small ones.
TEST_CASE_METHOD(GatewayManyEndlessFixture,
                 "gateway_large_stalled_responses_leave_memory_for_others") {
  constexpr int callers = 2;
  RawTarget stalled(
      freeLoopbackAddress(),
      [](RawTargetConnection &connection) -> asio::awaitable<void> {
        std::string text =
            connection.head("200 OK") + "\r\n" + std::string(8'388'000, 'x');
        co_await connection.send(std::move(text));
        co_await connection.sleep(std::chrono::milliseconds(10'000));
      });
  RawTarget small(freeLoopbackAddress(),
                  [](RawTargetConnection &connection) -> asio::awaitable<void> {
                    std::string text =
                        connection.head("200 OK") +
                        "Connection: close\r\nContent-Length: 8192\r\n\r\n" +
                        std::string(8'192, 'x');
                    co_await connection.send(std::move(text));
                  });
  writeTargetEntry(Sound, "ready", small.address());
  writeTargetEntry(*FirstTarget, "ready", stalled.address());
  Store->erase("servers/" + SecondTarget->id());
  startRouter();
  std::vector<std::thread> large;
  large.reserve(callers);
  for (int i = 0; i < callers; ++i) {
    large.emplace_back([this, i] {
      CHECK(sendRequest("/safe/a", "large-" + std::to_string(i)).Status != 200);
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  for (int i = 0; i < 30; ++i) {
    CHECK(sendRequest("/buy/a", "small-" + std::to_string(i)).Status == 200);
  }
  for (std::thread &it : large) {
    it.join();
  }
  CHECK(peakMemory() < HostMemory);
}

// Guards against responses that are bounded while they are received and not
// while they are sent.
TEST_CASE_METHOD(GatewayManyEndlessFixture,
                 "gateway_large_responses_to_callers_that_wait_are_bounded") {
  constexpr int count = 20;
  RawTarget large(freeLoopbackAddress(),
                  [](RawTargetConnection &connection) -> asio::awaitable<void> {
                    std::string text = connection.head("200 OK") +
                                       "Connection: close\r\n"
                                       "Content-Length: 4000000\r\n\r\n" +
                                       std::string(4'000'000, 'x');
                    co_await connection.send(std::move(text));
                  });
  writeTargetEntry(*FirstTarget, "ready", large.address());
  Store->erase("servers/" + SecondTarget->id());
  startRouter();
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < count; ++i) {
    callers.push_back(
        std::make_unique<RawCaller>(Routers.front().CallerAddress));
    callers.back()->write("GET /safe/a HTTP/1.1\r\nHost: models.example\r\n"
                          "Request-Id: id-" +
                          std::to_string(i) + "\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
  CHECK(sendRequest("/buy/a", "small").Status == 200);
  CHECK(peakMemory() < HostMemory);
}

class GatewayStuckCallersFixture : protected GatewayEndlessFixture {
protected:
  GatewayStuckCallersFixture() {
    std::string text = configText(4);
    const std::string field = "\"idle-timeout-ms\":15000";
    text.replace(text.find(field), field.size(), "\"idle-timeout-ms\":1000");
    writeConfig(text);
  }
  /// Whether the router serves no request and holds no connection of a caller.
  bool allSessionsEnd() {
    return waitUntil(
        [this] {
          return httpGet(Routers[0].MetricsAddress, "/metrics")
                     .Body.find("nutmegsill_open_requests 0") !=
                 std::string::npos;
        },
        std::chrono::seconds(8));
  }
};

// Guards against sessions that wait for good for a caller that does not read.
TEST_CASE_METHOD(GatewayStuckCallersFixture,
                 "gateway_callers_that_do_not_read_are_ended") {
  startRouter();
  setTargetModes(TargetMode::EndlessEvents);
  const std::string path = GENERATE("/stream/whole/a", "/stream/resumed/a");
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 20; ++i) {
    callers.push_back(
        std::make_unique<RawCaller>(Routers.front().CallerAddress));
    callers.back()->write("POST " + path +
                          " HTTP/1.1\r\nHost: models.example\r\n"
                          "Authorization: Bearer key-prints\r\n"
                          "Tokens: 10,10\r\nRequest-Id: id-" +
                          std::to_string(i) + "\r\nContent-Length: 0\r\n\r\n");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CAPTURE(path);
  CHECK(allSessionsEnd());
  CHECK(targetsAreLeft());
}

// Guards against sessions that go on with the next request after a failed
// write.
TEST_CASE_METHOD(GatewayStuckCallersFixture,
                 "gateway_callers_reset_after_several_requests_are_ended") {
  startRouter();
  std::string text;
  for (int i = 0; i < 6; ++i) {
    text += "POST /keyed/a HTTP/1.1\r\nHost: models.example\r\n"
            "Authorization: Bearer unknown\r\nRequest-Id: id-" +
            std::to_string(i) + "\r\nContent-Length: 0\r\n\r\n";
  }
  asio::io_context io;
  for (int i = 0; i < 100; ++i) {
    asio::ip::tcp::socket caller(io);
    caller.connect(*parseEndpoint(Routers.front().CallerAddress));
    asio::write(caller, asio::buffer(text));
    caller.set_option(asio::socket_base::linger(true, 0));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(allSessionsEnd());
  CHECK(sendRequest("/safe/a", "after").Status == 200);
}

TEST_CASE("buffer_budget_large_leases_leave_room_for_small_ones") {
  constexpr std::size_t maxBytes = 16U << 20U;
  constexpr std::size_t step = 4'096;
  const std::size_t count = GENERATE(1, 2, 5, 300);
  gateway::BufferBudget budget(maxBytes);
  std::vector<std::unique_ptr<gateway::BufferBudget::Lease>> leases;
  for (std::size_t i = 0; i < count; ++i) {
    leases.push_back(std::make_unique<gateway::BufferBudget::Lease>(budget));
  }
  bool grows = true;
  for (std::size_t bytes = step; grows; bytes += step) {
    grows = false;
    for (const auto &it : leases) {
      grows = it->resize(bytes) || grows;
    }
  }
  CAPTURE(count);
  CHECK(budget.usedBytes() < maxBytes);
  CHECK(budget.usedBytes() > maxBytes / 4);
  gateway::BufferBudget::Lease small(budget);
  CHECK(small.resize(maxBytes / (2 * count + 2) - step));
  leases.clear();
  CHECK(small.resize(maxBytes / 2));
  CHECK_FALSE(small.resize(maxBytes / 2 + 1));
  CHECK(budget.usedBytes() == maxBytes / 2);
}

} // namespace nutmegsill::standin
