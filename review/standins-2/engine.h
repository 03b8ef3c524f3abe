/// A sound model server: answers each request with a stream of events, and the
/// calls for its report and its cache as on our pages.
#pragma once

#include "fleet.h"

#include <map>

namespace review {

class Server {
public:
  struct Seen {
    std::string Id;
    std::string Line;
    std::string Tenant;
    std::string Body;
  };

  Server(std::string id, std::string service, std::string address,
         bool isEngine, int slots = 0)
      : Id(std::move(id)), Service(std::move(service)),
        Address(std::move(address)), IsEngine(isEngine),
        Slots(slots != 0 ? slots
              : isEngine ? 64
                         : 6) {
    serveHttp(Io, Address,
              [this](ServerExchange &exchange) { return handle(exchange); });
    Thread = std::thread([this] { Io.run(); });
  }
  ~Server() {
    Io.stop();
    Thread.join();
  }
  std::string entry() const {
    return json{{"service", Service},
                {"address", Address},
                {"zone", "suva-a"},
                {"version", "v1"},
                {"slots", Slots},
                {"state", "ready"},
                {"cold-left-ms", 0},
                {"seq", 1},
                {"born", 1'765'000'000'000LL}}
        .dump();
  }
  int runs() const { return Runs; }
  /// What has run, in the order of the beginnings.
  std::vector<Seen> log() const {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Log;
  }
  const std::string Id, Service, Address;
  /// Time that a plain request takes.
  std::atomic<int> WorkMs{15};
  std::atomic<int> EventCount{5};
  std::atomic<int> EventPauseMs{5};

private:
  asio::awaitable<void> handle(ServerExchange &exchange) {
    const auto &request = exchange.Request;
    const std::string target(request.target());
    if (target.rfind("/kv-list", 0) == 0) {
      co_await exchange.respondJson(R"({"epoch":1,"next":1,"held":[]})");
      co_return;
    }
    if (target.rfind("/healthz", 0) == 0) {
      exchange.setResponseField("Instance", Id);
      co_await exchange.respond(200, "text/plain", "");
      co_return;
    }
    const std::string id(request["Request-Id"]);
    const std::string expected(request["Expect-Instance"]);
    if (!expected.empty() && expected != Id) {
      co_await exchange.sendBytes(
          "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nRequest-Id: " +
          id + "\r\nContent-Length: 0\r\n\r\n");
      co_return;
    }
    ++Runs;
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      Log.push_back({id, std::string(request.method_string()) + " " + target,
                     std::string(request["Tenant"]), request.body()});
    }
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                             "\r\nSignature: s." + id +
                             "\r\nKeep-Alive: timeout=10\r\n";
    if (!IsEngine) {
      co_await exchange.sleep(milliseconds(WorkMs));
      const std::string body = "answer to " + id;
      co_await exchange.sendBytes(
          head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
          body);
      co_return;
    }
    co_await exchange.sendBytes(head + "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= EventCount; ++i) {
      co_await exchange.sleep(milliseconds(EventPauseMs));
      const bool sent = co_await exchange.writeChunk(
          "id: " + std::to_string(i) + "\ndata: part\n\n");
      if (!sent) {
        co_return;
      }
    }
    co_await exchange.finishChunked();
  }

  const bool IsEngine;
  const int Slots;
  std::atomic<int> Runs{0};
  mutable std::mutex Mutex;
  std::vector<Seen> Log;
  asio::io_context Io{1};
  std::thread Thread;
};

} // namespace review
