// All routers are killed at the same moment; clients take their streams up.
#include "deployment.h"

#include <atomic>

using namespace review;

namespace {

constexpr int Streams = 16;
constexpr milliseconds ContactTime{4'000};
constexpr milliseconds EventPause{150};
constexpr std::size_t BytesBefore = 120;
constexpr std::size_t BytesAfter = 60;
constexpr milliseconds Deadline{15'000};

/// Id of the last whole event of a part of a stream.
int lastEvent(const std::string &body) {
  const std::size_t end = body.rfind("\n\n");
  const std::size_t at =
      end == std::string::npos ? end : body.rfind("id: ", end);
  return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

struct Stream {
  std::string Id;
  std::unique_ptr<RawCaller> Caller;
  RawResponse First;
  int Last = 0;
  bool WentOn = false;
  unsigned Status = 0;
  std::string Reason;
  std::thread Thread;
};

std::string request(const std::string &id, const std::string &takeUp,
                    milliseconds left) {
  return "POST /stream/note/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " +
         id +
         "\r\nModel: m\r\nTokens: 300,400\r\nPrefix-Hash: aa:200,bb:100\r\n" +
         takeUp + "Deadline-Ms: " + std::to_string(left.count()) +
         "\r\nAuthorization: Bearer key-workshop\r\nContent-Length: "
         "2\r\n\r\nhi";
}

} // namespace

int main(int argc, char **argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = hasTrouble();
  Deployment deployment;
  deployment.Limits.RetryExtra = 258;
  std::vector<std::unique_ptr<TargetStandin>> workers;
  for (int i = 0; i < 4; ++i) {
    workers.push_back(std::make_unique<TargetStandin>(
        "i-7f3a91c" + std::to_string(i), "tekst-llm", freeAddress()));
    workers.back()->setEventPause(EventPause);
    workers.back()->setEventCount(56);
    deployment.putWorker(*workers.back(), "bergen-a", 64);
  }
  json route = makeRoute("stream/note", "stream", "tekst-llm", 15000, 1200, 2);
  route["sticky"] = true;
  route["resumable"] = true;
  route["itl-target-ms"] = 400;
  json service = makeService("tekst-llm");
  service["backend"] = {{"slots", 64}, {"kv-capacity", 261603}};
  deployment.putConfig(
      makeConfig(7, json::array({route}), json::array({service})));
  for (const char *name :
       {"edge-bergen-a-1", "edge-bergen-a-2", "edge-bergen-a-3"}) {
    deployment.addRouter({name, "bergen-a", 0.5, 512, 8192});
  }
  if (!deployment.waitReady()) {
    finish(deployment, record, CouldNotRun);
  }
  std::this_thread::sleep_for(ContactTime);

  const auto start = Clock::now();
  std::vector<Stream> streams(Streams);
  for (int i = 0; i < Streams; ++i) {
    Stream &it = streams[static_cast<std::size_t>(i)];
    it.Id = "note-" + std::to_string(i);
    it.Caller = std::make_unique<RawCaller>(
        deployment
            .Routers[static_cast<std::size_t>(i) % deployment.Routers.size()]
            ->Callers);
    it.Thread = std::thread([&it] {
      it.First = it.Caller->exchange(request(it.Id, "", Deadline), BytesBefore);
      it.Last = lastEvent(it.First.Body);
    });
  }
  for (Stream &it : streams) {
    it.Thread.join();
  }
  // By now each router has told its group which worker began its streams.
  std::this_thread::sleep_until(start + milliseconds(1'500));
  if (trouble) {
    for (const auto &it : deployment.Routers) {
      it->Running->signal(SIGKILL);
    }
    for (const auto &it : deployment.Routers) {
      it->Running->wait(milliseconds(1'000));
      deployment.launch(*it);
    }
    record.line("all routers are killed and started again");
  }
  for (Stream &it : streams) {
    it.Caller.reset();
  }
  record.line("the connections of %d streams are broken", Streams);
  if (!deployment.waitReady()) {
    finish(deployment, record, CouldNotRun);
  }
  std::this_thread::sleep_for(ContactTime + milliseconds(200));
  record.line("all routers are in touch: they have run for contact-ms, and the "
              "store was never disturbed");
  const auto left = [&] {
    return Deadline -
           std::chrono::duration_cast<milliseconds>(Clock::now() - start);
  };
  for (int i = 0; i < Streams; ++i) {
    Stream &it = streams[static_cast<std::size_t>(i)];
    const std::string &address = deployment
                                     .Routers[static_cast<std::size_t>(i + 1) %
                                              deployment.Routers.size()]
                                     ->Callers;
    it.Thread = std::thread([&it, &address, &left] {
      // Each attempt has its own id; Retry-After is honoured.
      for (int attempt = 1;
           attempt <= 4 && !it.WentOn && left() > milliseconds(500);
           ++attempt) {
        const RawResponse answer = RawCaller(address).exchange(
            request(it.Id + "-again-" + std::to_string(attempt),
                    TargetStandin::takeUpFields(it.Id, it.Last), left()),
            BytesAfter);
        const std::string next = "id: " + std::to_string(it.Last + 1) + "\n";
        it.WentOn = answer.Status == 200 && answer.Body.starts_with(next);
        it.Status = answer.Status;
        it.Reason = answer.Status == 200 ? "" : answer.Body;
        if (!it.WentOn) {
          std::this_thread::sleep_for(
              std::max(milliseconds(300), answer.retryAfter()));
        }
      }
    });
  }
  std::vector<RawResponse> fresh(Streams);
  std::vector<std::thread> begun;
  for (int i = 0; i < Streams; ++i) {
    begun.emplace_back([&, i] {
      const std::size_t n = static_cast<std::size_t>(i);
      fresh[n] =
          RawCaller(deployment.Routers[n % deployment.Routers.size()]->Callers)
              .exchange(request("new-" + std::to_string(i), "", Deadline),
                        BytesAfter);
    });
  }
  int begin = 0;
  for (int i = 0; i < Streams; ++i) {
    begun[static_cast<std::size_t>(i)].join();
    begin += fresh[static_cast<std::size_t>(i)].Status == 200 ? 1 : 0;
  }
  int takenUp = 0;
  int wentOn = 0;
  for (Stream &it : streams) {
    it.Thread.join();
    takenUp += it.Last > 0 ? 1 : 0;
    wentOn += it.WentOn ? 1 : 0;
    record.line("%s: had events up to %d, taken up: %s, last answer %u %s",
                it.Id.c_str(), it.Last, it.WentOn ? "goes on" : "refused",
                it.Status, it.Reason.substr(0, 120).c_str());
  }
  record.line("LOST: %d of %d streams that were taken up went on; %d of %d new "
              "streams began; %d workers of the version serve",
              wentOn, takenUp, begin, Streams, 4);
  const bool broken = takenUp >= 12 && 2.0 * wentOn / takenUp <
                                           static_cast<double>(begin) / Streams;
  finish(deployment, record,
         takenUp < 12 || begin == 0 ? CouldNotRun
         : broken                   ? Broken
                                    : Held);
}
