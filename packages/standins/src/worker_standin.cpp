#include "worker_standin.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds HangTime{20};

std::string field(const ServerRequest &request, const char *name) {
  const auto it = request.find(name);
  return it == request.end() ? std::string() : std::string(it->value());
}

} // namespace

WorkerStandin::WorkerStandin(std::string id, std::string service,
                             std::string address)
    : Id(std::move(id)), Service(std::move(service)),
      Address(std::move(address)) {
  serveHttp(Io, Address,
            [this](ServerExchange &exchange) { return handle(exchange); });
  Thread = std::thread([this] { Io.run(); });
}

WorkerStandin::~WorkerStandin() {
  Io.stop();
  Thread.join();
}

void WorkerStandin::setMode(WorkerMode mode) {
  const std::lock_guard<std::mutex> lock(Guard);
  Mode = mode;
}

void WorkerStandin::setEventPause(std::chrono::milliseconds pause) {
  const std::lock_guard<std::mutex> lock(Guard);
  EventPause = pause;
}

std::vector<SeenRequest> WorkerStandin::seen() const {
  const std::lock_guard<std::mutex> lock(Guard);
  return Seen;
}

int WorkerStandin::runs(const std::string &requestId) const {
  const std::lock_guard<std::mutex> lock(Guard);
  const auto it = Runs.find(requestId);
  return it == Runs.end() ? 0 : it->second;
}

std::string WorkerStandin::entry(const std::string &state,
                                 const std::string &address) const {
  return json{
      {"service", Service}, {"address", address.empty() ? Address : address},
      {"zone", "zone-a"},   {"version", "v1"},
      {"slots", 6},         {"state", state},
      {"cold-left-ms", 0},  {"seq", 1},
      {"born", 1}}
      .dump();
}

std::string WorkerStandin::eventText(int from) {
  std::string text;
  for (int i = from; i <= Events; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

std::string WorkerStandin::head(const SeenRequest &seen, unsigned status,
                                WorkerMode mode) {
  const std::string signature =
      mode == WorkerMode::Unsigned ? "" : "Signature: s-" + seen.Id + "\r\n";
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nRequest-Id: " + seen.Id + "\r\n" + signature +
         "Keep-Alive: timeout=10\r\n";
}

asio::awaitable<void> WorkerStandin::handle(ServerExchange &exchange) {
  SeenRequest seen;
  seen.At = std::chrono::steady_clock::now();
  seen.Id = field(exchange.Request, "Request-Id");
  seen.Team = field(exchange.Request, "Tenant");
  seen.Key = field(exchange.Request, "Authorization");
  seen.ResumedAfter = field(exchange.Request, "Last-Event-Id");
  seen.Body = exchange.Request.body();
  const std::string deadline = field(exchange.Request, "Deadline-Ms");
  seen.DeadlineMs = deadline.empty() ? 0 : std::stoll(deadline);
  const std::string expected = field(exchange.Request, "Expect-Instance");
  if (!expected.empty() && expected != Id) {
    co_await exchange.raw("HTTP/1.1 421 Misdirected Request\r\nInstance: " +
                          Id + "\r\nContent-Length: 0\r\n\r\n");
    co_return;
  }
  WorkerMode mode = WorkerMode::Serving;
  {
    const std::lock_guard<std::mutex> lock(Guard);
    mode = Mode;
    Seen.push_back(seen);
    Runs[seen.Id] += mode == WorkerMode::Full ? 0 : 1;
  }
  if (mode == WorkerMode::Full) {
    co_await exchange.raw("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
  } else if (mode == WorkerMode::LosingAnswers) {
    exchange.reset();
  } else if (mode == WorkerMode::Hanging) {
    co_await exchange.sleep(HangTime);
  } else if (exchange.Request.target().starts_with("/stream/")) {
    co_await stream(exchange, seen, mode);
  } else {
    co_await plain(exchange, seen, mode);
  }
}

asio::awaitable<void> WorkerStandin::plain(ServerExchange &exchange,
                                           const SeenRequest &seen,
                                           WorkerMode mode) {
  const std::string body = "answer to " + seen.Id;
  const unsigned status = mode == WorkerMode::Failing ? 500 : 200;
  std::string text = head(seen, status, mode) +
                     "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body;
  if (mode == WorkerMode::AnsweringTwice) {
    co_await exchange.raw(text);
    co_await exchange.sleep(std::chrono::milliseconds(30));
  }
  co_await exchange.raw(std::move(text));
}

asio::awaitable<void> WorkerStandin::stream(ServerExchange &exchange,
                                            const SeenRequest &seen,
                                            WorkerMode mode) {
  std::chrono::milliseconds pause{0};
  {
    const std::lock_guard<std::mutex> lock(Guard);
    pause = EventPause;
  }
  std::string text = head(seen, 200, mode) +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  co_await exchange.raw(std::move(text));
  const int from =
      seen.ResumedAfter.empty() ? 1 : std::stoi(seen.ResumedAfter) + 1;
  for (int i = from; i <= Events; ++i) {
    const std::string event =
        eventText(i).substr(0, eventText(i).find("\n\n") + 2);
    if (mode == WorkerMode::CuttingStreams && i == 3) {
      co_await exchange.chunk(event.substr(0, event.size() / 2));
      exchange.reset();
      co_return;
    }
    const bool sent = co_await exchange.chunk(event);
    if (!sent) {
      co_return;
    }
    co_await exchange.sleep(pause);
  }
  co_await exchange.finish();
}

} // namespace nutmegsill::standin
