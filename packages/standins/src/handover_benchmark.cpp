/// Measures the processor time that a router spends on a request: plain on a
/// connection in use, plain on a connection of its own, and a stream of 12
/// events, served by the router itself and relayed to a larger host, while 66
/// peers report their load.
#include "local_fleet.h"
#include "peer_codec.h"
#include "peer_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace nutmegsill;
using namespace nutmegsill::standin;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int PeerCount = 66;
constexpr int GroupPeerCount = 16;
constexpr int EventCount = 12;
constexpr milliseconds EventPause{25};
constexpr int PlainRequests = 4'000;
constexpr int StreamRequests = 400;
constexpr int PlainCallers = 4;
constexpr int StreamCallers = 16;

/// Processor time of all threads of a process, in seconds.
double processorTime(int pid) {
  double sum = 0;
  const std::string tasks = "/proc/" + std::to_string(pid) + "/task";
  for (const auto &it : std::filesystem::directory_iterator(tasks)) {
    double nanoseconds = 0;
    std::ifstream(it.path() / "schedstat") >> nanoseconds;
    sum += nanoseconds / 1e9;
  }
  return sum;
}

/// Routers that only send load reports: 16 five times a second, as members of a
/// group, and the others once.
class ReportingPeers {
public:
  ReportingPeers(LocalFleet &fleet, std::string router)
      : Router(std::move(router)) {
    std::string reason;
    Counters = Metrics::start(freeLoopbackAddress(), reason);
    for (int i = 0; i < PeerCount; ++i) {
      const HostId host{"peer-" + std::to_string(i)};
      const std::string address = freeLoopbackAddress();
      PeerSocketOptions options;
      options.Self = Instance{host, IncarnationId{1}};
      options.Address = address;
      Sockets.push_back(PeerSocket::open(
          Io, options, *Counters, [](const Instance &, std::string_view) {},
          reason));
      if (!Sockets.back()) {
        throw std::runtime_error("cannot open a peer socket: " + reason);
      }
      fleet.Store->put("nutmegsill/routers/" + host.Text,
                       nlohmann::json{{"zone", "zone-b"},
                                      {"callers", freeLoopbackAddress()},
                                      {"peer", address},
                                      {"life", 1},
                                      {"processor", 0.1}}
                           .dump());
    }
    routing::LoadReport report;
    for (int i = 0; i < 20; ++i) {
      report.Targets.push_back({TargetId{"w-" + std::to_string(i)}, 100, 2});
      report.Teams.push_back(
          {TeamId{"team-" + std::to_string(i)}, {1000.0, 900.0}});
    }
    Message = gateway::encodePeerMessage(report);
  }
  ~ReportingPeers() {
    Io.stop();
    if (Thread.joinable()) {
      Thread.join();
    }
  }
  void start(const HostId &host) {
    for (const std::unique_ptr<PeerSocket> &it : Sockets) {
      it->setPeers({{host, Router}});
    }
    report(host, 0);
    Thread = std::thread([this] { Io.run(); });
  }

private:
  void report(const HostId &host, int turn) {
    for (int i = 0; i < PeerCount; ++i) {
      if (i < GroupPeerCount || (i + turn) % 5 == 0) {
        Sockets[static_cast<std::size_t>(i)]->send(host, "load", Message);
      }
    }
    Timer.expires_after(milliseconds(200));
    Timer.async_wait([this, host, turn](boost::system::error_code ec) {
      if (!ec) {
        report(host, turn + 1);
      }
    });
  }

  std::string Router;
  boost::asio::io_context Io{1};
  boost::asio::steady_timer Timer{Io};
  std::unique_ptr<Metrics> Counters;
  std::vector<std::unique_ptr<PeerSocket>> Sockets;
  std::string Message;
  std::thread Thread;
};

enum class Load { Kept, NewConnection, Stream };

struct Measured {
  double Own = 0;
  double Peer = 0;
  int Failed = 0;
};

class Benchmark {
public:
  Benchmark(LocalFleet &fleet, bool relays) : Fleet(fleet), Relays(relays) {}

  Measured measure(Load load) {
    const bool stream = load == Load::Stream;
    const int total = stream ? StreamRequests : PlainRequests;
    const std::vector<double> idle = idleRates();
    const std::vector<double> before = processorTimes();
    const Clock::time_point begin = Clock::now();
    std::atomic<int> next{0};
    std::atomic<int> failed{0};
    const int callerCount = stream ? StreamCallers : PlainCallers;
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(callerCount));
    for (int i = 0; i < callerCount; ++i) {
      callers.emplace_back([&] {
        std::unique_ptr<RawCaller> kept;
        while (next++ < total) {
          if (!kept || load != Load::Kept) {
            kept = std::make_unique<RawCaller>(
                Fleet.Routers.front().CallerAddress);
          }
          RawRequest request;
          request.Path = stream ? "/stream/whole/a" : "/safe/a";
          request.RequestId = "r-" + std::to_string(next);
          // A router whose event loop lags refuses new connections.
          while (!kept->isConnected()) {
            std::this_thread::sleep_for(milliseconds(5));
            kept = std::make_unique<RawCaller>(
                Fleet.Routers.front().CallerAddress);
          }
          failed += kept->send(request).Complete ? 0 : 1;
        }
      });
    }
    for (std::thread &it : callers) {
      it.join();
    }
    const double seconds =
        std::chrono::duration<double>(Clock::now() - begin).count();
    const std::vector<double> after = processorTimes();
    const auto perRequest = [&](std::size_t i) {
      return (after[i] - before[i] - idle[i] * seconds) / total * 1e6;
    };
    return {perRequest(0), Relays ? perRequest(1) : 0, failed};
  }

private:
  std::vector<double> processorTimes() const {
    std::vector<double> out;
    out.reserve(Fleet.RouterProcesses.size());
    for (const Process &it : Fleet.RouterProcesses) {
      out.push_back(processorTime(it.pid()));
    }
    return out;
  }
  /// Processor time of each router a second without requests.
  std::vector<double> idleRates() const {
    std::vector<double> out = processorTimes();
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const std::vector<double> after = processorTimes();
    for (std::size_t i = 0; i < out.size(); ++i) {
      out[i] = after[i] - out[i];
    }
    return out;
  }

  LocalFleet &Fleet;
  bool Relays;
};

/// Requests that make hand-over begin, and keep it up.
bool saturate(LocalFleet &fleet) {
  return LocalFleet::waitUntil([&] {
    for (int i = 0; i < 10; ++i) {
      fleet.sendRequest("/safe/a", "load");
    }
    return fleet.httpGet(fleet.Routers[0].MetricsAddress, "/metrics")
               .Body.find("what=\"handover_began\"") != std::string::npos;
  });
}

int runBenchmark(const std::string &program, bool relays) {
  LocalFleet fleet(program);
  for (TargetStandin *it :
       {fleet.FirstTarget.get(), fleet.SecondTarget.get()}) {
    it->setEventCount(EventCount);
    it->setEventPause(EventPause);
  }
  fleet.HasHandover = relays;
  fleet.ProcessorQuota = relays ? 0.001 : 1;
  bool ready = fleet.addRouter();
  // Enough that the large host refuses none.
  fleet.ProcessorQuota = 50;
  if (relays) {
    ready = ready && fleet.addRouter();
  }
  std::ifstream file(fleet.TempDir + "/host-1.json");
  const nlohmann::json settings = nlohmann::json::parse(file);
  ReportingPeers peers(fleet, settings["gateway"]["peer"]);
  peers.start(HostId{"host-1"});
  std::this_thread::sleep_for(std::chrono::seconds(1));
  if (!ready || (relays && !saturate(fleet))) {
    std::cerr << "routers not ready; logs in " << fleet.TempDir << "\n";
    return 1;
  }
  Benchmark benchmark(fleet, relays);
  int failed = 0;
  for (const auto &[load, name] :
       {std::pair(Load::Kept, "plain, connection in use"),
        std::pair(Load::NewConnection, "plain, new connection"),
        std::pair(Load::Stream, "stream of 12 events")}) {
    const Measured measured = benchmark.measure(load);
    failed += measured.Failed;
    std::cout << (relays ? "relayed  " : "served   ") << name << ": "
              << static_cast<int>(measured.Own) << " us";
    if (relays) {
      std::cout << " (large host " << static_cast<int>(measured.Peer) << " us)";
    }
    std::cout << (measured.Failed > 0
                      ? ", failed " + std::to_string(measured.Failed)
                      : "")
              << "\n";
  }
  return failed > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: nutmegsill-handover-benchmark ROUTER_PROGRAM\n";
    return 2;
  }
  const int served = runBenchmark(argv[1], false);
  const int relayed = runBenchmark(argv[1], true);
  return served + relayed > 0 ? 1 : 0;
}
