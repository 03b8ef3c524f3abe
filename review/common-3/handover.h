// A small and a large machine of one zone: the small one hands connections over
// while many callers come at once.
#pragma once

#include "deployment.h"

#include <atomic>

namespace review {

/// Many users come at once, at the small machine: some 300 new connections a
/// second with one plain request each, until `stop`. A machine of 0.12 cores
/// was measured by the project to serve 110 to 150 requests a second.
class Crowd {
public:
  Crowd(std::string address, std::string path)
      : Address(std::move(address)), Path(std::move(path)),
        Thread([this] { run(); }) {}
  ~Crowd() { stop(); }
  void stop() {
    Stopped = true;
    if (Thread.joinable()) {
      Thread.join();
    }
  }
  int sent() const { return Sent; }
  int served() const { return Served; }

private:
  void run() {
    const auto start = Clock::now();
    while (!Stopped) {
      std::this_thread::sleep_until(start + Sent.load() * Pause);
      const std::string id = "crowd-" + std::to_string(Sent++);
      const RawResponse response = RawCaller(Address).exchange(
          "GET " + Path +
          " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
          "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer "
          "key-workshop\r\n\r\n");
      Served += response.Status == 200 ? 1 : 0;
    }
  }

  static constexpr std::chrono::microseconds Pause{3'300};
  const std::string Address;
  const std::string Path;
  std::atomic<bool> Stopped{false};
  std::atomic<int> Sent{0};
  std::atomic<int> Served{0};
  std::thread Thread;
};

/// Connections that the large machine has taken over.
inline double takenOver(const Router &large) {
  return Deployment::metric(
      large, "nutmegsill_offered_connections_total{result=\"taken\"}");
}

} // namespace review
