#include "soak_callers.h"

#include <memory>

namespace nutmegsill::soak {

namespace {

constexpr int MaxRequestsPerConnection = 8;
constexpr std::chrono::milliseconds MaxPause{40};

standin::RawRequest makeRequest(CallKind kind, const std::string &id) {
  standin::RawRequest request;
  request.RequestId = id;
  request.ApiKey = "";
  switch (kind) {
  case CallKind::Idempotent:
    request.Path = "/safe/a";
    break;
  case CallKind::AtMostOnce:
    request.Path = "/buy/a";
    break;
  case CallKind::Keyed:
    request.Path = "/keyed/a";
    request.ApiKey = "key-temporary";
    request.Body = "with the temporary key";
    break;
  case CallKind::Stream:
    request.Path = "/stream/whole/a";
    request.ApiKey = "key-prints";
    break;
  case CallKind::ResumableStream:
    request.Path = "/stream/resumed/a";
    request.ApiKey = "key-prints";
    break;
  }
  return request;
}

} // namespace

SoakCallers::SoakCallers(SoakFleet &fleet, std::uint64_t seed,
                         std::size_t callers)
    : Fleet(fleet) {
  for (std::size_t i = 0; i < callers; ++i) {
    Threads.emplace_back([this, seed, i] { runCaller(seed * 1'000 + i, i); });
  }
}

void SoakCallers::runCaller(std::uint64_t seed, std::size_t caller) {
  std::mt19937_64 random(seed);
  int lastNumber = 0;
  while (!Stopping) {
    const std::vector<std::string> routers =
        Fleet.resolveRouters(random() % Fleet.routerCount());
    if (routers.empty()) {
      std::this_thread::sleep_for(MaxPause);
      continue;
    }
    const std::string &router = routers[random() % routers.size()];
    standin::RawCaller connection(router);
    for (int i = 0; i < MaxRequestsPerConnection && !Stopping; ++i) {
      CallRecord record;
      record.Kind = static_cast<CallKind>(random() % 5);
      record.RequestId =
          "c" + std::to_string(caller) + "-" + std::to_string(++lastNumber);
      record.RouterAddress = router;
      record.StartedAt = std::chrono::steady_clock::now();
      record.Response =
          connection.send(makeRequest(record.Kind, record.RequestId));
      record.EndedAt = std::chrono::steady_clock::now();
      const bool open = record.Response.Complete &&
                        record.Response.headerField("Connection") != "close";
      {
        const std::lock_guard<std::mutex> lock(Mutex);
        Records.push_back(std::move(record));
      }
      if (!open) {
        break;
      }
      std::this_thread::sleep_for(MaxPause * (random() % 100) / 100);
    }
  }
}

std::vector<CallRecord> SoakCallers::stop() {
  Stopping = true;
  for (std::thread &it : Threads) {
    it.join();
  }
  return std::move(Records);
}

} // namespace nutmegsill::soak
