#include "soak_calls.h"

#include <memory>

namespace nutmegsill::soak {

namespace {

/// Requests of one connection at the most.
constexpr int RequestsOfConnection = 8;
constexpr std::chrono::milliseconds LongestPause{40};

standin::RawCall callOf(CallKind kind, const std::string &id) {
  standin::RawCall out;
  out.Id = id;
  out.Key = "";
  switch (kind) {
  case CallKind::Safe:
    out.Path = "/safe/a";
    break;
  case CallKind::Buy:
    out.Path = "/buy/a";
    break;
  case CallKind::Keyed:
    out.Path = "/keyed/a";
    out.Key = "key-temporary";
    out.Body = "with the temporary key";
    break;
  case CallKind::Stream:
    out.Path = "/stream/whole/a";
    out.Key = "key-prints";
    break;
  case CallKind::ResumedStream:
    out.Path = "/stream/resumed/a";
    out.Key = "key-prints";
    break;
  }
  return out;
}

} // namespace

SoakCallers::SoakCallers(SoakFleet &fleet, std::uint64_t seed,
                         std::size_t callers)
    : Fleet(fleet) {
  for (std::size_t i = 0; i < callers; ++i) {
    Threads.emplace_back([this, seed, i] { run(seed * 1'000 + i, i); });
  }
}

void SoakCallers::run(std::uint64_t seed, std::size_t caller) {
  std::mt19937_64 random(seed);
  int number = 0;
  while (!Stopping) {
    const std::vector<std::string> routers =
        Fleet.addresses(random() % Fleet.size());
    if (routers.empty()) {
      std::this_thread::sleep_for(LongestPause);
      continue;
    }
    const std::string &router = routers[random() % routers.size()];
    standin::RawCaller connection(router);
    for (int i = 0; i < RequestsOfConnection && !Stopping; ++i) {
      SeenCall seen;
      seen.Kind = static_cast<CallKind>(random() % 5);
      seen.Id = "c" + std::to_string(caller) + "-" + std::to_string(++number);
      seen.Router = router;
      seen.From = std::chrono::steady_clock::now();
      seen.Answer = connection.call(callOf(seen.Kind, seen.Id));
      seen.Until = std::chrono::steady_clock::now();
      const bool open =
          seen.Answer.Whole && seen.Answer.field("Connection") != "close";
      {
        const std::lock_guard<std::mutex> lock(Guard);
        Seen.push_back(std::move(seen));
      }
      if (!open) {
        break;
      }
      std::this_thread::sleep_for(LongestPause * (random() % 100) / 100);
    }
  }
}

std::vector<SeenCall> SoakCallers::finish() {
  Stopping = true;
  for (std::thread &it : Threads) {
    it.join();
  }
  return std::move(Seen);
}

} // namespace nutmegsill::soak
