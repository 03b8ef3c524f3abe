// Requests of legal size whose Prefix-Hash lists very many short parts.
#include "deployment.h"

#include <atomic>

using namespace review;

namespace {

constexpr int MemoryMb = 110;
constexpr int PartsOfLongRequest = 1'500;
constexpr int RequestsPerSecond = 10;
constexpr int Seconds = 70;

/// Resident memory of a process in MB; 0 if it has ended.
double residentMb(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      double kb = 0;
      file >> kb;
      return kb / 1024;
    }
  }
  return 0;
}

/// A prompt of `parts` parts, of which the last is its own.
std::string request(std::uint32_t number, int parts, int tokensOfPart) {
  std::string list;
  for (int i = 0; i < parts; ++i) {
    char text[32];
    std::snprintf(text, sizeof(text), "%s%x:%d", i == 0 ? "" : ",",
                  0x1000000U + number * static_cast<unsigned>(parts) +
                      static_cast<unsigned>(i),
                  tokensOfPart);
    list += text;
  }
  return "POST /stream/draft/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: "
         "p-" +
         std::to_string(parts) + "-" + std::to_string(number) +
         "\r\nModel: m\r\nTokens: " + std::to_string(parts * tokensOfPart) +
         ",32\r\nPrefix-Hash: " + list +
         "\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer key-workshop\r\n"
         "Content-Length: 2\r\n\r\nhi";
}

} // namespace

int main(int argc, char **argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = hasTrouble();
  Deployment deployment;
  std::vector<std::unique_ptr<TargetStandin>> workers;
  for (int i = 0; i < 3; ++i) {
    workers.push_back(std::make_unique<TargetStandin>(
        "i-7f3a91c" + std::to_string(i), "nutmeg-pool", freeAddress()));
    deployment.putWorker(*workers.back(), "suva-a", 64);
  }
  json route = makeRoute("stream/draft", "stream", "nutmeg-pool", 6000, 800, 2);
  route["sticky"] = true;
  route["resumable"] = true;
  route["itl-target-ms"] = 400;
  json service = makeService("nutmeg-pool");
  service["backend"] = {{"slots", 64}, {"kv-capacity", 215866}};
  deployment.putConfig(
      makeConfig(7, json::array({route}), json::array({service})));
  for (const char *name : {"edge-suva-a-1", "edge-suva-a-2"}) {
    deployment.addRouter({name, "suva-a", 0.25, MemoryMb, 4100});
  }
  if (!deployment.waitReady()) {
    finish(deployment, record, CouldNotRun);
  }
  // Only the first router gets the long requests.
  const std::string longRequest = request(0, PartsOfLongRequest, 1);
  record.line("head and body of a %s request: %zu bytes; limit of a head 16384",
              trouble ? "long" : "short",
              trouble ? longRequest.size() : request(0, 3, 500).size());
  std::atomic<int> served{0};
  int sent = 0;
  std::vector<int> overAt(deployment.Routers.size(), 0);
  std::size_t over = 0;
  const auto start = Clock::now();
  for (int tick = 0;
       tick < Seconds * RequestsPerSecond && over < deployment.Routers.size();
       ++tick) {
    std::this_thread::sleep_until(
        start + tick * milliseconds(1000 / RequestsPerSecond));
    const std::string text =
        trouble
            ? request(static_cast<std::uint32_t>(tick), PartsOfLongRequest, 1)
            : request(static_cast<std::uint32_t>(tick), 3, 500);
    const RawResponse response =
        RawCaller(deployment.Routers[0]->Callers).exchange(text);
    ++sent;
    served += response.Status == 200 && response.Complete ? 1 : 0;
    if (tick % RequestsPerSecond != 0) {
      continue;
    }
    // An ordinary caller at the other router.
    const RawResponse other =
        RawCaller(deployment.Routers[1]->Callers)
            .exchange(
                request(static_cast<std::uint32_t>(1'000'000 + tick), 3, 500));
    for (std::size_t i = 0; i < deployment.Routers.size(); ++i) {
      Router &router = *deployment.Routers[i];
      if (overAt[i] != 0) {
        continue;
      }
      const double mb = residentMb(router.Running->pid());
      const std::optional<int> ended = router.Running->wait(milliseconds(0));
      record.line("sent %d served %d; ordinary caller got %u; router %zu uses "
                  "%.1f of %d MB%s",
                  sent, served.load(), other.Status, i + 1, mb, MemoryMb,
                  ended ? ", has ended" : "");
      if (mb > MemoryMb || ended) {
        record.line(
            "router %zu is over the memory of its machine: the platform "
            "kills it",
            i + 1);
        router.Running->kill();
        overAt[i] = sent;
        ++over;
      }
    }
  }
  finish(deployment, record,
         over > 0                         ? Broken
         : sent == 0 || served < sent / 2 ? CouldNotRun
                                          : Held);
}
