#include "soak_callers.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string_view>

namespace nutmegsill::soak {

namespace {

constexpr int MaxRequestsPerConnection = 8;
constexpr std::chrono::milliseconds MaxPause{40};
/// One of so many callers keeps its connections.
constexpr std::size_t KeepingCallers = 3;
/// One of so many calls is an upload.
constexpr std::size_t CallsPerUpload = 100;
/// One of so many resumable streams is broken off by its caller.
constexpr std::size_t StreamsPerCut = 3;
/// Most of a stream's body.
constexpr std::size_t MaxCutBytes = 180;
constexpr int MaxAttempts = 5;
/// Waiting time that callers state.
constexpr std::chrono::milliseconds CallerTime{4'000};

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
  case CallKind::Upload:
    request.Path = "/upload/a";
    request.Body.assign(SoakFleet::UploadBytes, 'x');
    break;
  }
  return request;
}

bool mayRetry(const standin::RawResponse &response) {
  const unsigned status = response.Status;
  const bool refused = status == 408 || status == 421 || status == 429;
  return !response.Complete || refused || status >= 500;
}

} // namespace

SoakCallers::SoakCallers(SoakFleet &fleet, std::uint64_t seed,
                         std::size_t callers)
    : Fleet(fleet) {
  for (std::size_t i = 0; i < callers; ++i) {
    Threads.emplace_back([this, seed, i] { runCaller(seed * 1'000 + i, i); });
  }
}

std::vector<std::string> wholeEvents(const std::string &body) {
  constexpr std::string_view end = "\n\n";
  std::vector<std::string> events;
  std::size_t begin = 0;
  for (std::size_t at = body.find(end); at != std::string::npos;
       at = body.find(end, begin)) {
    events.push_back(body.substr(begin, at + end.size() - begin));
    begin = at + end.size();
  }
  return events;
}

void SoakCallers::runCaller(std::uint64_t seed, std::size_t caller) {
  std::mt19937_64 random(seed);
  const bool keeps = caller % KeepingCallers == 0;
  int lastNumber = 0;
  while (!Stopping) {
    const std::vector<std::string> routers =
        Fleet.resolveRouters(random() % Fleet.routerCount());
    if (routers.empty()) {
      std::this_thread::sleep_for(MaxPause);
      continue;
    }
    const std::string &router = routers[random() % routers.size()];
    std::optional<standin::RawCaller> connection(std::in_place, router);
    for (int i = 0; (keeps || i < MaxRequestsPerConnection) && !Stopping; ++i) {
      CallRecord record;
      record.Kind = random() % CallsPerUpload == 0
                        ? CallKind::Upload
                        : static_cast<CallKind>(random() % 5);
      record.RequestId =
          "c" + std::to_string(caller) + "-" + std::to_string(++lastNumber);
      record.StreamId = record.RequestId;
      record.RouterAddress = router;
      record.StartedAt = std::chrono::steady_clock::now();
      standin::RawRequest request = makeRequest(record.Kind, record.RequestId);
      const bool resumable = record.Kind == CallKind::ResumableStream;
      if (resumable && random() % StreamsPerCut == 0) {
        request.MaxBodyBytes = 1 + random() % MaxCutBytes;
      }
      const standin::RawResponse response = send(*connection, record, request);
      const bool closes =
          !response.Complete || response.headerField("Connection") == "close";
      if (closes) {
        connection.reset();
      }
      if (resumable) {
        takeUp(random, record, response);
      }
      if (closes) {
        break;
      }
      std::this_thread::sleep_for(MaxPause * (random() % 100) / 100);
    }
  }
}

standin::RawResponse SoakCallers::send(standin::RawCaller &connection,
                                       CallRecord record,
                                       const standin::RawRequest &request) {
  record.StartedAt = std::chrono::steady_clock::now();
  record.Response = connection.send(request);
  record.EndedAt = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(Mutex);
  Records.push_back(record);
  return record.Response;
}

void SoakCallers::takeUp(std::mt19937_64 &random, const CallRecord &first,
                         standin::RawResponse response) {
  const SoakTime deadline = first.StartedAt + CallerTime;
  CallRecord record = first;
  std::string beganBy;
  for (int attempt = 2; attempt <= MaxAttempts; ++attempt) {
    if (!mayRetry(response) || Stopping ||
        std::chrono::steady_clock::now() > deadline) {
      return;
    }
    if (response.Status == 200) {
      const std::size_t events = wholeEvents(response.Body).size();
      beganBy = events > 0 && beganBy.empty() ? record.RequestId : beganBy;
      record.LastEvent += static_cast<int>(events);
    }
    std::this_thread::sleep_for(
        std::min(response.retryAfter(), CallerTime / 3));
    const std::vector<std::string> routers =
        Fleet.resolveRouters(random() % Fleet.routerCount());
    record.RouterAddress =
        routers.empty() ? Fleet.routerAddress(random() % Fleet.routerCount())
                        : routers[random() % routers.size()];
    record.RequestId = first.StreamId + "-" + std::to_string(attempt);
    standin::RawRequest request = makeRequest(record.Kind, record.RequestId);
    if (record.LastEvent > 0) {
      request.ExtraHeaderFields =
          standin::TargetStandin::takeUpFields(beganBy, record.LastEvent);
    }
    standin::RawCaller connection(record.RouterAddress);
    response = send(connection, record, request);
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
