#include "target_standin.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds HangDuration{20};
/// Time in which a router reads what was sent, before the connection ends.
constexpr std::chrono::milliseconds ReadDelay{50};

bool repeatsRefusals(TargetMode mode) {
  return mode >= TargetMode::RepeatingRefusals &&
         mode <= TargetMode::RepeatingRefusalsInPieces;
}

bool isUnframed(TargetMode mode) {
  return mode >= TargetMode::UnframedStreams &&
         mode <= TargetMode::UnframedStreamsReset;
}

bool isDeadly(const ServerRequest &request) {
  return request.target().find("deadly") != std::string::npos ||
         request.body().find("deadly") != std::string::npos;
}

/// At least `bytes` of events that follow number `last`, which is updated.
std::string shortEvents(std::uint64_t &last, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += "id: " + std::to_string(++last) +
            "\ndata: " + std::string(200, 'x') + "\n\n";
  }
  return text;
}

std::string headerField(const ServerRequest &request, const char *name) {
  const auto it = request.find(name);
  return it == request.end() ? std::string() : std::string(it->value());
}

} // namespace

TargetStandin::TargetStandin(std::string id, std::string service,
                             std::string address)
    : Id(std::move(id)), Service(std::move(service)),
      Address(std::move(address)) {
  serveHttp(*Io, Address, [this](ServerExchange &exchange) {
    return handleRequest(exchange);
  });
  Thread = std::thread([this] { Io->run(); });
}

TargetStandin::~TargetStandin() { end(); }

void TargetStandin::end() {
  if (Io) {
    Io->stop();
    Thread.join();
    Io.reset();
  }
}

void TargetStandin::setMode(TargetMode mode) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Mode = mode;
}

void TargetStandin::setResponseFields(std::string lines) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ResponseFields = std::move(lines);
}

std::string TargetStandin::responseFields() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return ResponseFields;
}

void TargetStandin::setHeadBytes(std::size_t bytes) {
  const std::lock_guard<std::mutex> lock(Mutex);
  HeadBytes = bytes;
}

void TargetStandin::setEventPause(std::chrono::milliseconds pause) {
  const std::lock_guard<std::mutex> lock(Mutex);
  EventPause = pause;
}

void TargetStandin::setResponsePause(std::chrono::milliseconds pause) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ResponsePause = pause;
}

std::vector<ReceivedRequest> TargetStandin::receivedRequests() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Received;
}

int TargetStandin::runCount(const std::string &requestId) const {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = RunCounts.find(requestId);
  return it == RunCounts.end() ? 0 : it->second;
}

std::string TargetStandin::entryJson(const std::string &state,
                                     const std::string &address) const {
  return json{
      {"service", Service}, {"address", address.empty() ? Address : address},
      {"zone", "zone-a"},   {"version", Version},
      {"slots", 6},         {"state", state},
      {"cold-left-ms", 0},  {"seq", 1},
      {"born", StartedAtMs}}
      .dump();
}

std::string TargetStandin::streamBody(int firstEvent,
                                      const std::string &suffix) {
  std::string text;
  for (int i = firstEvent; i <= EventsPerStream; ++i) {
    text += eventText(i, suffix);
  }
  return text;
}

std::string TargetStandin::eventText(int number, const std::string &suffix) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: part " + text + suffix + "\n\n";
}

std::string TargetStandin::takeUpFields(const std::string &requestId,
                                        int lastEvent) {
  return "Resumes: " + requestId +
         "\r\nLast-Event-Id: " + std::to_string(lastEvent) + "\r\n";
}

std::string TargetStandin::jsonAnswer() { return R"({"answer":1})"; }

std::string TargetStandin::responseHead(const ReceivedRequest &received,
                                        unsigned status,
                                        TargetMode mode) const {
  const std::string signature =
      mode == TargetMode::OmittingSignatures
          ? ""
          : "Signature: s-" + received.RequestId + "\r\n";
  return "HTTP/1.1 " + std::to_string(status) +
         " Answer\r\nRequest-Id: " + received.RequestId + "\r\n" + signature +
         "Keep-Alive: timeout=10\r\n" + responseFields();
}

asio::awaitable<void> TargetStandin::handleRequest(ServerExchange &exchange) {
  ReceivedRequest received;
  received.ReceivedAt = std::chrono::steady_clock::now();
  received.RequestId = headerField(exchange.Request, "Request-Id");
  received.Team = headerField(exchange.Request, "Tenant");
  received.Authorization = headerField(exchange.Request, "Authorization");
  received.LastEventId = headerField(exchange.Request, "Last-Event-Id");
  received.Body = exchange.Request.body();
  const std::string deadline = headerField(exchange.Request, "Deadline-Ms");
  received.DeadlineMs = deadline.empty() ? 0 : std::stoll(deadline);
  const std::string expected = headerField(exchange.Request, "Expect-Instance");
  if (!expected.empty() && expected != Id) {
    co_await exchange.sendBytes(
        "HTTP/1.1 421 Misdirected Request\r\nInstance: " + Id +
        "\r\nContent-Length: 0\r\n\r\n");
    co_return;
  }
  TargetMode mode = TargetMode::Serving;
  bool refuses = false;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    mode = Mode;
    Received.push_back(received);
    refuses = mode == TargetMode::Rejecting ||
              (repeatsRefusals(mode) && exchange.ConnectionNote.empty());
    RunCounts[received.RequestId] += refuses ? 0 : 1;
  }
  if (refuses) {
    co_await refuse(exchange, received, mode);
    co_return;
  }
  if (repeatsRefusals(mode)) {
    co_await repeatRefusal(exchange, mode);
  }
  if (mode == TargetMode::CuttingHeads) {
    co_await sendCutHead(exchange, received);
  } else if (mode == TargetMode::DroppingResponses) {
    exchange.resetConnection();
  } else if (mode == TargetMode::Hanging) {
    co_await exchange.sleep(HangDuration);
  } else if (mode == TargetMode::Ending && isDeadly(exchange.Request)) {
    Ended = true;
    Io->stop();
    co_await exchange.sleep(HangDuration);
  } else if (mode >= TargetMode::EndlessHeader) {
    co_await sendEndlessly(exchange, received, mode);
  } else if (exchange.Request.target().starts_with("/stream/")) {
    co_await sendStream(exchange, received, mode);
  } else {
    co_await sendPlain(exchange, received, mode);
  }
}

asio::awaitable<void> TargetStandin::refuse(ServerExchange &exchange,
                                            const ReceivedRequest &received,
                                            TargetMode mode) {
  const std::string id =
      repeatsRefusals(mode) && mode != TargetMode::RepeatingAnonymousRefusals
          ? "Request-Id: " + received.RequestId + "\r\n"
          : "";
  std::string text = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + id +
                     responseFields() + "Keep-Alive: timeout=10\r\n" +
                     "Content-Length: 0\r\n\r\n";
  exchange.ConnectionNote = text;
  co_await exchange.sendBytes(std::move(text));
}

asio::awaitable<void> TargetStandin::repeatRefusal(ServerExchange &exchange,
                                                   TargetMode mode) {
  const std::string text = exchange.ConnectionNote;
  const std::size_t first = mode == TargetMode::RepeatingRefusalsInPieces
                                ? text.size() / 2
                                : text.size();
  co_await exchange.sendBytes(text.substr(0, first));
  co_await exchange.sleep(std::chrono::milliseconds(20));
  if (first < text.size()) {
    co_await exchange.sendBytes(text.substr(first));
  }
}

asio::awaitable<void>
TargetStandin::sendCutHead(ServerExchange &exchange,
                           const ReceivedRequest &received) {
  std::size_t bytes = 0;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    bytes = HeadBytes;
  }
  const std::string head =
      responseHead(received, 200, TargetMode::CuttingHeads) +
      "Content-Length: 5\r\nContent-Type: text/event-stream\r\n\r\n";
  co_await exchange.sendBytes(head.substr(0, bytes));
  exchange.closeConnection();
}

asio::awaitable<void> TargetStandin::sendPlain(ServerExchange &exchange,
                                               const ReceivedRequest &received,
                                               TargetMode mode) {
  std::chrono::milliseconds pause{0};
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    pause = ResponsePause;
  }
  if (pause.count() > 0) {
    co_await exchange.sleep(pause);
  }
  const std::string body = "answer to " + received.RequestId;
  const unsigned status = mode == TargetMode::Failing ? 500 : 200;
  std::string text = responseHead(received, status, mode) +
                     "Content-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body;
  if (mode == TargetMode::DuplicatingResponses) {
    co_await exchange.sendBytes(text);
    co_await exchange.sleep(std::chrono::milliseconds(30));
  }
  co_await exchange.sendBytes(std::move(text));
}

asio::awaitable<void> TargetStandin::sendStream(ServerExchange &exchange,
                                                const ReceivedRequest &received,
                                                TargetMode mode) {
  std::chrono::milliseconds pause{0};
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    pause = EventPause;
  }
  const bool failsResumed = mode == TargetMode::FailingResumedStreams;
  const bool spoilsResumed =
      failsResumed || mode == TargetMode::AnsweringResumedStreamsWithText;
  if (spoilsResumed && !received.LastEventId.empty()) {
    const std::string body = "an error text";
    const std::string text =
        responseHead(received, failsResumed ? 500 : 200, mode) +
        "Content-Type: text/plain\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    co_await exchange.sendBytes(text.substr(0, text.size() / 3));
    co_await exchange.sleep(std::chrono::milliseconds(20));
    co_await exchange.sendBytes(text.substr(text.size() / 3));
    co_return;
  }
  if (isUnframed(mode)) {
    co_await sendUnframedStream(exchange, received, mode);
    co_return;
  }
  if (mode == TargetMode::SizedStreamsCutInEvent ||
      mode == TargetMode::JsonForStreams) {
    co_await sendSized(exchange, received, mode);
    co_return;
  }
  std::string text = responseHead(received, 200, mode) +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  co_await exchange.sendBytes(std::move(text));
  const int firstEvent =
      received.LastEventId.empty() ? 1 : std::stoi(received.LastEventId) + 1;
  for (int i = firstEvent; i <= EventCount; ++i) {
    const std::string event = eventText(i, EventSuffix);
    const bool breaksOff =
        mode == TargetMode::TruncatingStreams || spoilsResumed;
    if (breaksOff && i == 3) {
      co_await exchange.writeChunk(event.substr(0, event.size() / 2));
      exchange.resetConnection();
      co_return;
    }
    if (mode == TargetMode::ChunkedStreamsCutInEvent && i == 3) {
      co_await exchange.writeChunk(event.substr(0, event.size() / 2));
      break;
    }
    const bool sent = co_await exchange.writeChunk(event);
    if (!sent) {
      co_return;
    }
    co_await exchange.sleep(pause);
  }
  if (mode == TargetMode::StreamsCutBeforeEnd) {
    exchange.closeConnection();
    co_return;
  }
  co_await exchange.finishChunked();
}

asio::awaitable<void> TargetStandin::sendSized(ServerExchange &exchange,
                                               const ReceivedRequest &received,
                                               TargetMode mode) {
  std::string type = "application/json";
  std::string body = jsonAnswer();
  if (mode == TargetMode::SizedStreamsCutInEvent) {
    type = "text/event-stream";
    body = streamBody(1, EventSuffix);
    body.resize(body.size() - streamBody(3, EventSuffix).size() + 4);
  }
  co_await exchange.sendBytes(
      responseHead(received, 200, mode) + "Content-Type: " + type +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

asio::awaitable<void>
TargetStandin::sendUnframedStream(ServerExchange &exchange,
                                  const ReceivedRequest &received,
                                  TargetMode mode) {
  const int firstEvent =
      received.LastEventId.empty() ? 1 : std::stoi(received.LastEventId) + 1;
  std::string body = streamBody(firstEvent, EventSuffix);
  if (mode == TargetMode::UnframedStreamsCutInEvent) {
    body.resize(body.size() - streamBody(3, EventSuffix).size() + 4);
  } else if (mode == TargetMode::UnframedStreamsWithoutEvent) {
    body.clear();
  } else if (mode == TargetMode::UnframedStreamsReset) {
    body.resize(body.size() - streamBody(3, EventSuffix).size());
  }
  co_await exchange.sendBytes(responseHead(received, 200, mode) +
                              "Content-Type: text/event-stream\r\n"
                              "Connection: close\r\n\r\n" +
                              body);
  co_await exchange.sleep(ReadDelay);
  if (mode == TargetMode::UnframedStreamsReset) {
    exchange.resetConnection();
  } else {
    exchange.closeConnection();
  }
}

asio::awaitable<void>
TargetStandin::sendEndlessly(ServerExchange &exchange,
                             const ReceivedRequest &received, TargetMode mode) {
  constexpr std::size_t blockBytes = 16U << 10U;
  const std::string head = responseHead(received, 200, mode);
  std::string first = head;
  std::string block(blockBytes, 'x');
  switch (mode) {
  case TargetMode::EndlessHeader:
    first += "X-Endless: ";
    break;
  case TargetMode::EndlessInterim:
    first.clear();
    block = "HTTP/1.1 100 Continue\r\n\r\n";
    break;
  case TargetMode::EndlessDuplicates: {
    first.clear();
    ReceivedRequest other;
    other.RequestId = "of-another-request";
    block = responseHead(other, 200, mode) + "Content-Length: 4096\r\n\r\n" +
            std::string(4096, 'x');
    break;
  }
  case TargetMode::EndlessDuplicateBody: {
    ReceivedRequest other;
    other.RequestId = "of-another-request";
    first = responseHead(other, 200, mode) + "\r\n";
    break;
  }
  case TargetMode::EndlessBody:
    first += "\r\n";
    break;
  case TargetMode::EndlessTrailer:
    first += "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Endless: ";
    break;
  case TargetMode::EndlessEvents:
    first += "Content-Type: text/event-stream\r\n\r\n";
    block.clear();
    break;
  case TargetMode::EndlessChunkExtension:
    first += "Transfer-Encoding: chunked\r\n\r\n4;";
    break;
  default:
    first += "Transfer-Encoding: chunked\r\n\r\n";
    block = "4000\r\n" + block + "\r\n";
    break;
  }
  ++EndlessConnections;
  bool open = co_await exchange.sendBytes(std::move(first));
  std::uint64_t event = 0;
  while (open) {
    if (mode == TargetMode::EndlessEvents) {
      block = shortEvents(event, blockBytes);
    }
    EndlessBytesSent += block.size();
    open = co_await exchange.sendBytes(block);
  }
  --EndlessConnections;
}

} // namespace nutmegsill::standin
