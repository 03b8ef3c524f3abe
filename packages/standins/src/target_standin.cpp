/// Stand-in for a model engine or a plain service. Test-only.
#include "answer_text.h"
#include "http_server.h"

#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace {

namespace asio = boost::asio;
using namespace nutmegsill::standin;
using nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

struct TargetOptions {
  std::uint32_t Slots = 8;
  std::uint32_t ColdSlots = 2;
  std::chrono::milliseconds WarmUp{2000};
  std::chrono::milliseconds TokenTime{2};
  bool Fencing = false;
};

enum class Fault { None, Refuse, ResetBefore, ResetMid, Hang };

std::optional<Fault> faultNamed(const std::string &mode) {
  const std::map<std::string, Fault> modes{{"ok", Fault::None},
                                           {"refuse", Fault::Refuse},
                                           {"reset_before", Fault::ResetBefore},
                                           {"reset_mid", Fault::ResetMid},
                                           {"hang", Fault::Hang}};
  const auto it = modes.find(mode);
  return it == modes.end() ? std::nullopt : std::optional<Fault>(it->second);
}

std::string completionText(const std::string &prompt, int tokens) {
  const nlohmann::ordered_json answer{
      {"object", "chat.completion"},
      {"choices",
       {{{"index", 0},
         {"message",
          {{"role", "assistant"}, {"content", answerText(prompt, tokens)}}}}}},
      {"usage", {{"completion_tokens", tokens}}}};
  return answer.dump();
}

std::string serviceText(const std::string &key, const std::string &body,
                        int run) {
  const nlohmann::ordered_json answer{
      {"key", key}, {"body", body}, {"run", run}};
  return answer.dump();
}

class TargetStandin {
public:
  explicit TargetStandin(TargetOptions options) : Options(options) {
    restart();
  }
  asio::awaitable<void> handle(ServerExchange &exchange);

private:
  asio::awaitable<void> handleControl(ServerExchange &exchange,
                                      const std::string &path);
  asio::awaitable<void> work(ServerExchange &exchange);
  asio::awaitable<void> complete(ServerExchange &exchange);
  asio::awaitable<void> stream(ServerExchange &exchange,
                               const std::string &prompt, int tokens);
  asio::awaitable<void> serve(ServerExchange &exchange);
  void restart();
  std::string loadText() const;
  std::string countsText() const;
  std::uint32_t bearable() const;
  bool outdated(const ServerRequest &request);

  TargetOptions Options;
  std::string StartId;
  SteadyTime StartedAt;
  std::uint32_t Starts = 0;
  std::uint32_t Running = 0;
  std::uint32_t Peak = 0;
  std::uint64_t Overloads = 0;
  std::uint64_t Served = 0;
  std::uint64_t HighestEpoch = 0;
  std::uint64_t Outdated = 0;
  std::map<std::string, int> Runs;
  Fault Mode = Fault::None;
};

void TargetStandin::restart() {
  StartId = std::to_string(getpid()) + "-" + std::to_string(++Starts);
  StartedAt = std::chrono::steady_clock::now();
}

std::string TargetStandin::loadText() const {
  return json{{"start_id", StartId}, {"running", Running}}.dump();
}

std::string TargetStandin::countsText() const {
  return json{{"served", Served},       {"peak", Peak},
              {"overloads", Overloads}, {"outdated", Outdated},
              {"running", Running},     {"runs", Runs}}
      .dump();
}

/// Load that the target survives: little when cold, all when warm.
std::uint32_t TargetStandin::bearable() const {
  const bool warm =
      std::chrono::steady_clock::now() - StartedAt >= Options.WarmUp;
  return warm ? Options.Slots : Options.ColdSlots;
}

bool TargetStandin::outdated(const ServerRequest &request) {
  const std::string text(request["nutmegsill-epoch"]);
  if (!Options.Fencing || text.empty()) {
    return false;
  }
  const std::uint64_t epoch = std::stoull(text);
  if (epoch < HighestEpoch) {
    ++Outdated;
    return true;
  }
  HighestEpoch = epoch;
  return false;
}

asio::awaitable<void> TargetStandin::handle(ServerExchange &exchange) {
  const std::string path(exchange.Request.target());
  if (path == "/load") {
    std::string text = loadText();
    co_await exchange.json(std::move(text));
    co_return;
  }
  if (path.rfind("/standin/", 0) == 0) {
    co_await handleControl(exchange, path);
    co_return;
  }
  if (outdated(exchange.Request)) {
    co_await exchange.answer(412, "application/json", "{}");
    co_return;
  }
  if (Mode == Fault::Refuse || Mode == Fault::ResetBefore) {
    exchange.reset();
    co_return;
  }
  const std::string started = StartId;
  ++Running;
  Peak = std::max(Peak, Running);
  if (Running > bearable()) {
    ++Overloads;
    restart();
  }
  co_await work(exchange);
  --Running;
  if (started == StartId && !exchange.closed()) {
    ++Served;
  }
}

asio::awaitable<void> TargetStandin::work(ServerExchange &exchange) {
  const std::string path(exchange.Request.target());
  if (path == "/v1/chat/completions") {
    co_await complete(exchange);
  } else {
    co_await serve(exchange);
  }
}

asio::awaitable<void> TargetStandin::complete(ServerExchange &exchange) {
  const json request = json::parse(exchange.Request.body(), nullptr, false);
  const bool shaped = request.is_object() && request.contains("messages") &&
                      request["messages"].is_array() &&
                      !request["messages"].empty();
  if (!shaped) {
    co_await exchange.answer(400, "application/json", "{}");
    co_return;
  }
  const std::string prompt =
      request["messages"].back().value("content", std::string());
  const int tokens = request.value("max_tokens", 16);
  if (request.value("stream", false)) {
    co_await stream(exchange, prompt, tokens);
    co_return;
  }
  co_await exchange.sleep(Options.TokenTime * tokens);
  std::string text = completionText(prompt, tokens);
  co_await exchange.json(std::move(text));
}

asio::awaitable<void> TargetStandin::stream(ServerExchange &exchange,
                                            const std::string &prompt,
                                            int tokens) {
  const std::string started = StartId;
  bool open = co_await exchange.begin(200, "text/event-stream");
  for (int i = 0; i < tokens && open; ++i) {
    co_await exchange.sleep(Options.TokenTime);
    const bool broken =
        started != StartId || (Mode == Fault::ResetMid && i >= tokens / 2);
    if (broken) {
      exchange.reset();
      co_return;
    }
    open = co_await exchange.chunk(tokenEvent(prompt, i));
  }
  if (open) {
    co_await exchange.chunk(DoneEvent);
    co_await exchange.finish();
  }
}

asio::awaitable<void> TargetStandin::serve(ServerExchange &exchange) {
  const std::string key(exchange.Request["idempotency-key"]);
  if (exchange.Request.method() == boost::beast::http::verb::post) {
    ++Runs[key];
  }
  co_await exchange.sleep(Options.TokenTime);
  if (Mode == Fault::ResetMid) {
    exchange.reset();
    co_return;
  }
  if (Mode == Fault::Hang) {
    co_await exchange.sleep(std::chrono::seconds(3));
  }
  std::string text = serviceText(key, exchange.Request.body(), Runs[key]);
  co_await exchange.json(std::move(text));
}

asio::awaitable<void> TargetStandin::handleControl(ServerExchange &exchange,
                                                   const std::string &path) {
  if (path == "/standin/counts") {
    std::string text = countsText();
    co_await exchange.json(std::move(text));
    co_return;
  }
  const json request = json::parse(exchange.Request.body(), nullptr, false);
  const std::string mode =
      request.is_object() ? request.value("mode", std::string()) : "";
  const std::optional<Fault> fault = faultNamed(mode);
  if (mode == "cold") {
    restart();
  } else if (fault) {
    Mode = *fault;
  } else {
    co_await exchange.answer(404, "application/json", "{}");
    co_return;
  }
  co_await exchange.json("{}");
}

} // namespace

int main(int argc, char **argv) {
  cxxopts::Options options("standin-target", "Stand-in for a target");
  options.add_options()("address", "IP:port", cxxopts::value<std::string>())(
      "slots", "requests borne when warm",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "cold-slots", "requests borne when cold",
      cxxopts::value<std::uint32_t>()->default_value("2"))(
      "warm-up-ms", "time from a start to full load",
      cxxopts::value<int>()->default_value("2000"))(
      "token-ms", "time of one token",
      cxxopts::value<int>()->default_value("2"))("fencing",
                                                 "refuse outdated epochs");
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  TargetOptions target;
  target.Slots = parsed["slots"].as<std::uint32_t>();
  target.ColdSlots = parsed["cold-slots"].as<std::uint32_t>();
  target.WarmUp = std::chrono::milliseconds(parsed["warm-up-ms"].as<int>());
  target.TokenTime = std::chrono::milliseconds(parsed["token-ms"].as<int>());
  target.Fencing = parsed.count("fencing") != 0;
  asio::io_context context(1);
  TargetStandin standin(target);
  serveHttp(context, parsed["address"].as<std::string>(),
            [&standin](ServerExchange &it) { return standin.handle(it); });
  context.run();
}
