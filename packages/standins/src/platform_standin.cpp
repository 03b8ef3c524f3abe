/// Stand-in for the platform: a key-value service in the JSON form of the etcd
/// v3 interface, and the host list. Test-only.
#include "http_server.h"
#include "nutmegsill/base64.h"

#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace {

namespace asio = boost::asio;
using namespace nutmegsill::standin;
using nlohmann::json;

struct StoredValue {
  std::string Text;
  std::int64_t ModRevision = 0;
};

/// Faults that a test can switch on.
enum class Fault { None, Down, Slow, LoseAnswers };

std::optional<Fault> faultNamed(const std::string &mode) {
  const std::map<std::string, Fault> modes{
      {"ok", Fault::None},
      {"down", Fault::Down},
      {"slow", Fault::Slow},
      {"lose_answers", Fault::LoseAnswers}};
  const auto it = modes.find(mode);
  return it == modes.end() ? std::nullopt : std::optional<Fault>(it->second);
}

class PlatformStandin {
public:
  asio::awaitable<void> handle(ServerExchange &exchange);

private:
  asio::awaitable<void> handleControl(ServerExchange &exchange,
                                      const std::string &path);
  json apply(const std::string &path, const json &request);
  json transact(const json &request);
  json range(const json &request) const;
  bool holds(const json &compare) const;
  json run(const json &step);

  std::map<std::string, StoredValue> Values;
  std::map<std::string, std::int64_t> Counts;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
  std::string Hosts = R"({"hosts": []})";
  Fault Mode = Fault::None;
  std::chrono::milliseconds Delay{0};
};

json PlatformStandin::range(const json &request) const {
  const std::string key = request.at("key").get<std::string>();
  const auto it = Values.find(key);
  if (it == Values.end()) {
    return {{"count", "0"}};
  }
  return {{"kvs",
           {{{"key", key},
             {"value", it->second.Text},
             {"mod_revision", std::to_string(it->second.ModRevision)}}}},
          {"count", "1"}};
}

bool PlatformStandin::holds(const json &compare) const {
  const auto it = Values.find(compare.at("key").get<std::string>());
  const std::int64_t now = it == Values.end() ? 0 : it->second.ModRevision;
  return compare.at("target") == "MOD" && compare.at("result") == "EQUAL" &&
         std::stoll(compare.at("mod_revision").get<std::string>()) == now;
}

json PlatformStandin::run(const json &step) {
  if (step.contains("request_range")) {
    return {{"response_range", range(step["request_range"])}};
  }
  if (step.contains("request_put")) {
    const json &put = step["request_put"];
    Values[put.at("key").get<std::string>()] =
        StoredValue{put.at("value").get<std::string>(), ++Revision};
    return {{"response_put", json::object()}};
  }
  Values.erase(step.at("request_delete_range").at("key").get<std::string>());
  ++Revision;
  return {{"response_delete_range", {{"deleted", "1"}}}};
}

json PlatformStandin::transact(const json &request) {
  bool succeeded = true;
  for (const json &compare : request.value("compare", json::array())) {
    succeeded = succeeded && holds(compare);
  }
  json responses = json::array();
  const char *branch = succeeded ? "success" : "failure";
  for (const json &step : request.value(branch, json::array())) {
    responses.push_back(run(step));
  }
  return {{"header", {{"revision", std::to_string(Revision)}}},
          {"succeeded", succeeded},
          {"responses", responses}};
}

json PlatformStandin::apply(const std::string &path, const json &request) {
  if (path == "/v3/kv/txn") {
    return transact(request);
  }
  if (path == "/v3/kv/range") {
    return range(request);
  }
  if (path == "/v3/lease/grant") {
    return {{"ID", std::to_string(++LastLease)},
            {"TTL", request.at("TTL").get<std::string>()}};
  }
  return json();
}

asio::awaitable<void> PlatformStandin::handle(ServerExchange &exchange) {
  const std::string path(exchange.Request.target());
  if (path.rfind("/standin/", 0) == 0) {
    co_await handleControl(exchange, path);
    co_return;
  }
  if (path == "/v1/hosts") {
    co_await exchange.json(Hosts);
    co_return;
  }
  ++Counts[path];
  if (Mode == Fault::Down) {
    exchange.reset();
    co_return;
  }
  if (Mode == Fault::Slow) {
    co_await exchange.sleep(Delay);
  }
  const json request = json::parse(exchange.Request.body(), nullptr, false);
  json reply;
  bool valid = request.is_object();
  try {
    reply = valid ? apply(path, request) : json();
  } catch (const std::exception &) {
    valid = false;
  }
  if (!valid || reply.is_null()) {
    co_await exchange.answer(400, "application/json", "{}");
  } else if (Mode == Fault::LoseAnswers) {
    exchange.reset();
  } else {
    co_await exchange.json(reply.dump());
  }
}

asio::awaitable<void> PlatformStandin::handleControl(ServerExchange &exchange,
                                                     const std::string &path) {
  if (path == "/standin/counts") {
    std::string text = json(Counts).dump();
    co_await exchange.json(std::move(text));
    co_return;
  }
  if (path == "/standin/hosts") {
    Hosts = exchange.Request.body();
    co_await exchange.json("{}");
    co_return;
  }
  const json request = json::parse(exchange.Request.body(), nullptr, false);
  const std::string mode =
      request.is_object() ? request.value("mode", std::string()) : "";
  const std::optional<Fault> fault = faultNamed(mode);
  if (path != "/standin/fault" || !fault) {
    co_await exchange.answer(404, "application/json", "{}");
    co_return;
  }
  Mode = *fault;
  Delay = std::chrono::milliseconds(request.value("delay_ms", 0));
  co_await exchange.json("{}");
}

} // namespace

int main(int argc, char **argv) {
  cxxopts::Options options("standin-platform", "Stand-in for the platform");
  options.add_options()("address", "IP:port", cxxopts::value<std::string>());
  const cxxopts::ParseResult parsed = options.parse(argc, argv);
  asio::io_context context(1);
  PlatformStandin platform;
  serveHttp(context, parsed["address"].as<std::string>(),
            [&platform](ServerExchange &it) { return platform.handle(it); });
  context.run();
}
