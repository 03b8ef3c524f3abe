/// Callers of a soak: they keep connections open until the router closes them,
/// and note what they saw.
#pragma once

#include "soak_fleet.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace nutmegsill::soak {

using SoakTime = std::chrono::steady_clock::time_point;

enum class CallKind { Idempotent, AtMostOnce, Keyed, Stream, ResumableStream };

struct CallRecord {
  CallKind Kind = CallKind::Idempotent;
  std::string RequestId;
  std::string RouterAddress;
  SoakTime StartedAt;
  SoakTime EndedAt;
  standin::RawResponse Response;
};

class SoakCallers {
public:
  SoakCallers(SoakFleet &fleet, std::uint64_t seed, std::size_t callers);
  /// Ends all callers; returns what they saw.
  std::vector<CallRecord> stop();

private:
  void runCaller(std::uint64_t seed, std::size_t caller);

  SoakFleet &Fleet;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<CallRecord> Records;
  std::vector<std::thread> Threads;
};

} // namespace nutmegsill::soak
