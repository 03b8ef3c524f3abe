/// Callers of the soak test. Each sends several requests on a connection,
/// unless the router closes it earlier, and records the responses; some keep a
/// connection for as long as they can. Resumable streams that break off are
/// taken up again on new connections at any router.
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

/// Kinds of requests. `Keyed` is idempotent and uses the temporary API key. The
/// responses to `Upload` are all torn.
enum class CallKind {
  Idempotent,
  AtMostOnce,
  Keyed,
  Stream,
  ResumableStream,
  Upload
};

/// A request and the response that the caller received.
struct CallRecord {
  CallKind Kind = CallKind::Idempotent;
  std::string RequestId;
  /// Id of the caller's first attempt; the attempts for one stream share it.
  std::string StreamId;
  /// Number of the last whole event that earlier attempts brought.
  int LastEvent = 0;
  std::string RouterAddress;
  SoakTime StartedAt;
  SoakTime EndedAt;
  standin::RawResponse Response;
};

/// The whole events in the body of a stream.
std::vector<std::string> wholeEvents(const std::string &body);

class SoakCallers {
public:
  /// Starts `callers` threads, each with a random sequence derived from `seed`.
  SoakCallers(SoakFleet &fleet, std::uint64_t seed, std::size_t callers);
  /// Stops all callers and returns their records. Must be called before the
  /// destructor, and only once.
  std::vector<CallRecord> stop();

private:
  void runCaller(std::uint64_t seed, std::size_t caller);
  /// Sends the request of `record`, and records it with its response. Returns
  /// the response.
  standin::RawResponse send(standin::RawCaller &connection, CallRecord record,
                            const standin::RawRequest &request);
  /// Repeats `first` on new connections until its stream has ended.
  void takeUp(std::mt19937_64 &random, const CallRecord &first,
              standin::RawResponse response);

  SoakFleet &Fleet;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<CallRecord> Records;
  std::vector<std::thread> Threads;
};

} // namespace nutmegsill::soak
