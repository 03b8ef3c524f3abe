/// Callers of the soak test. Each sends several requests on a connection,
/// unless the router closes it earlier, and records the responses.
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

/// Kinds of requests. `Keyed` is idempotent and uses the temporary API key.
enum class CallKind { Idempotent, AtMostOnce, Keyed, Stream, ResumableStream };

/// A request and the response that the caller received.
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
  /// Starts `callers` threads, each with a random sequence derived from `seed`.
  SoakCallers(SoakFleet &fleet, std::uint64_t seed, std::size_t callers);
  /// Stops all callers and returns their records. Must be called before the
  /// destructor, and only once.
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
