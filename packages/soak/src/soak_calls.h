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

enum class CallKind { Safe, Buy, Keyed, Stream, ResumedStream };

struct SeenCall {
  CallKind Kind = CallKind::Safe;
  std::string Id;
  std::string Router;
  SoakTime From;
  SoakTime Until;
  standin::RawAnswer Answer;
};

class SoakCallers {
public:
  SoakCallers(SoakFleet &fleet, std::uint64_t seed, std::size_t callers);
  /// Ends all callers; returns what they saw.
  std::vector<SeenCall> finish();

private:
  void run(std::uint64_t seed, std::size_t caller);

  SoakFleet &Fleet;
  std::atomic<bool> Stopping{false};
  std::mutex Guard;
  std::vector<SeenCall> Seen;
  std::vector<std::thread> Threads;
};

} // namespace nutmegsill::soak
