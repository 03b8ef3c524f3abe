/// A router with little memory and few descriptors beside untrusted callers.
#pragma once

#include "caller_crowd.h"
#include "gateway_fixture.h"

#include <filesystem>
#include <fstream>

namespace nutmegsill::standin {

class GatewayCallersFixture : protected GatewayFixture {
protected:
  /// Memory and descriptors that the router may use.
  static constexpr int HostMemoryMb = 48;
  static constexpr int Descriptors = 256;
  static constexpr std::size_t MaxBodyBytes = 1U << 20U;
  static constexpr std::size_t MaxHeaderBytes = 16'384;

  /// Where untrusted callers connect, and the path that they name.
  enum class Place { Route, KeyedRoute, NoRoute, Readiness, Directory, Peer };

  GatewayCallersFixture() {
    MemoryMb = HostMemoryMb;
    MaxDescriptors = Descriptors;
    std::string text = configText(4);
    const std::string field = "\"max-body-bytes\":65536";
    text.replace(text.find(field), field.size(),
                 "\"max-body-bytes\":" + std::to_string(MaxBodyBytes));
    writeConfig(text);
    startRouter();
  }

  static Place anyPlace() {
    return GENERATE(Place::Route, Place::KeyedRoute, Place::NoRoute,
                    Place::Readiness, Place::Directory, Place::Peer);
  }
  const std::string &address(Place place) const {
    const RouterAddresses &router = Routers.front();
    return place == Place::Readiness   ? router.ReadinessAddress
           : place == Place::Directory ? router.DirectoryAddress
           : place == Place::Peer      ? router.PeerAddress
                                       : router.CallerAddress;
  }
  /// First lines of a request's head, each with its end.
  static std::string headAt(Place place) {
    const std::string path = place == Place::Route        ? "/safe/a"
                             : place == Place::KeyedRoute ? "/keyed/a"
                             : place == Place::NoRoute    ? "/nowhere/a"
                             : place == Place::Readiness
                                 ? "/readyz"
                                 : "/resolve?name=models.example&zone=zone-a";
    return "POST " + path +
           " HTTP/1.1\r\nHost: models.example\r\nRequest-Id: c\r\n";
  }
  /// The same, with a length that ends pieces of a multiple of four bytes after
  /// the first byte of a shortest field: what the HTTP library's limit misses.
  static std::string alignedHeadAt(Place place) {
    const std::string head = headAt(place);
    const std::size_t padding = (7 - head.size() % 4) % 4;
    return head.substr(0, head.size() - 2) + std::string(padding, 'c') + "\r\n";
  }
  static std::string repeat(const std::string &text, std::size_t bytes) {
    std::string out;
    out.reserve(bytes + text.size());
    while (out.size() < bytes) {
      out += text;
    }
    return out;
  }

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
  int openDescriptors() const {
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(RouterProcesses[0].pid()) + "/fd");
    return static_cast<int>(
        std::distance(begin(entries), std::filesystem::end(entries)));
  }
  bool servesOthers() {
    return waitUntil(
        [this] {
          return sendRequest("/safe/a",
                             "ordinary-" + std::to_string(++LastRequest))
                         .Status == 200 &&
                 httpGet(Routers[0].ReadinessAddress, "/readyz").Status ==
                     200 &&
                 !resolveRouters(Routers[0]).empty();
        },
        std::chrono::seconds(10));
  }
  /// Waits until the router holds what it takes of the bytes sent to it: its
  /// memory does not grow any more.
  void waitForRouter() {
    for (std::uint64_t before = 0; before != peakMemory();) {
      before = peakMemory();
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
  }
  /// Lets `count` callers send `text` and checks the router while they stay and
  /// after they have left.
  void checkCrowd(Place place, int count, const std::string &text,
                  std::size_t pieceBytes = 64U << 10U) {
    CAPTURE(static_cast<int>(place));
    {
      CallerCrowd crowd(address(place));
      crowd.add(count, text);
      crowd.send(pieceBytes);
      CHECK(openDescriptors() < Descriptors);
      waitForRouter();
      CHECK(openDescriptors() < Descriptors);
      CHECK(servesOthers());
    }
    CHECK(servesOthers());
    const std::uint64_t peak = peakMemory();
    CHECK(peak < HostMemoryMb * 1'000'000ULL);
    WARN("place " << static_cast<int>(place) << ": peak " << peak / 1'000
                  << " kB");
    CHECK_FALSE(RouterProcesses[0].wait(std::chrono::milliseconds(0)));
  }

  int LastRequest = 0;
};

} // namespace nutmegsill::standin
