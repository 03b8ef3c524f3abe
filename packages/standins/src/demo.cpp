/// Demo: starts three routers with stand-ins for the store and for the targets
/// of two services, sends plain and stream requests, and prints how many
/// requests were sent to each router and how many each target received.
#include "local_fleet.h"

#include <csignal>
#include <iostream>
#include <map>

namespace {

using namespace nutmegsill::standin;

constexpr int RouterCount = 3;
constexpr int RequestCount = 100;
constexpr std::chrono::seconds StopTimeout{15};

/// Sends request number `i`; even numbers are streams. True when the response
/// is complete and correct.
bool sendCheckedRequest(const std::string &router, int i) {
  RawRequest request;
  request.RequestId = "request-" + std::to_string(i);
  const bool stream = i % 2 == 0;
  request.Path = stream ? "/stream/whole/captions" : "/buy/licences";
  const RawResponse response = RawCaller(router).send(request);
  const std::string expectedBody =
      stream ? TargetStandin::streamBody(1) : "answer to " + request.RequestId;
  return response.Status == 200 && response.Complete &&
         response.Body == expectedBody;
}

bool stopRouters(LocalFleet &fleet) {
  bool stoppedCleanly = true;
  for (Process &it : fleet.RouterProcesses) {
    it.signal(SIGTERM);
  }
  for (Process &it : fleet.RouterProcesses) {
    stoppedCleanly = it.wait(StopTimeout) == 0 && stoppedCleanly;
  }
  return stoppedCleanly;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: nutmegsill-demo ROUTER_PROGRAM\n";
    return 2;
  }
  LocalFleet fleet(argv[1]);
  TargetStandin tillTarget("w-3", "till", freeLoopbackAddress());
  fleet.writeTargetEntry(tillTarget);
  fleet.writeConfig(LocalFleet::configText(4, "\"key-prints\"", "till"));
  for (int i = 0; i < RouterCount; ++i) {
    if (!fleet.addRouter()) {
      std::cerr << "router not ready within 5 s; logs in " << fleet.TempDir
                << "\n";
      return 1;
    }
  }
  const bool allRegistered = LocalFleet::waitUntil([&] {
    return fleet.resolveRouters(fleet.Routers[0]).size() == RouterCount;
  });
  if (!allRegistered) {
    std::cerr << "directory of the first router does not list all routers\n";
    return 1;
  }
  int correctCount = 0;
  std::map<std::string, int> sent;
  for (int i = 0; i < RequestCount; ++i) {
    const std::size_t routerIndex = static_cast<std::size_t>(i % RouterCount);
    const std::vector<std::string> addresses =
        fleet.resolveRouters(fleet.Routers[routerIndex]);
    const std::string &router =
        addresses[static_cast<std::size_t>(i / 2) % addresses.size()];
    ++sent[router];
    correctCount += sendCheckedRequest(router, i) ? 1 : 0;
  }
  for (const RouterAddresses &it : fleet.Routers) {
    std::cout << it.Host << " (" << it.CallerAddress
              << "): " << sent[it.CallerAddress] << " requests\n";
  }
  for (const TargetStandin *it :
       {fleet.FirstTarget.get(), fleet.SecondTarget.get(),
        static_cast<TargetStandin *>(&tillTarget)}) {
    std::cout << it->id() << ": " << it->receivedRequests().size()
              << " requests received\n";
  }
  const bool stoppedCleanly = stopRouters(fleet);
  std::cout << correctCount << " of " << RequestCount
            << " responses complete and correct; routers stopped "
            << (stoppedCleanly ? "cleanly" : "with errors") << "; logs in "
            << fleet.TempDir << "\n";
  return correctCount == RequestCount && stoppedCleanly ? 0 : 1;
}
