#include "store_standin.h"

#include "nutmegsill/base64.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds PollTime{5};
/// After which a write takes effect that is not answered.
constexpr std::chrono::seconds LateTime{2};
constexpr std::chrono::seconds SilentTime{30};

std::string query(const std::string &target, const std::string &name) {
  const std::string mark = name + "=";
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.rfind(mark, 0) == 0) {
      return pair.substr(mark.size());
    }
    at = end;
  }
  return {};
}

std::uint64_t number(const std::string &text) {
  return text.empty() ? 0 : std::stoull(text);
}

bool under(const std::string &text, const std::string &prefix) {
  return text.rfind(prefix, 0) == 0;
}

} // namespace

StoreStandin::StoreStandin(const std::string &address) {
  serveHttp(Io, address,
            [this](ServerExchange &exchange) { return handle(exchange); });
  Thread = std::thread([this] { Io.run(); });
}

StoreStandin::~StoreStandin() {
  Io.stop();
  Thread.join();
}

std::uint64_t StoreStandin::put(const std::string &key,
                                const std::string &bytes) {
  const std::lock_guard<std::mutex> lock(Guard);
  return putLocked(key, bytes, 0);
}

void StoreStandin::erase(const std::string &key) {
  const std::lock_guard<std::mutex> lock(Guard);
  eraseLocked(key);
}

std::optional<std::string> StoreStandin::get(const std::string &key) {
  const std::lock_guard<std::mutex> lock(Guard);
  const auto it = Items.find(key);
  return it == Items.end() ? std::nullopt
                           : std::optional<std::string>(it->second.Bytes);
}

std::vector<std::string> StoreStandin::keysUnder(const std::string &prefix) {
  const std::lock_guard<std::mutex> lock(Guard);
  expireLeases();
  std::vector<std::string> keys;
  for (const auto &[key, item] : Items) {
    if (under(key, prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void StoreStandin::dropHistory() {
  const std::lock_guard<std::mutex> lock(Guard);
  History.clear();
  Oldest = ++Revision;
}

std::uint64_t StoreStandin::putLocked(const std::string &key,
                                      const std::string &bytes,
                                      std::uint64_t lease) {
  const Item item{bytes, ++Revision, lease};
  Items[key] = item;
  History.push_back({key, item, Revision});
  return Revision;
}

void StoreStandin::eraseLocked(const std::string &key) {
  if (Items.erase(key) != 0) {
    History.push_back({key, std::nullopt, ++Revision});
  }
}

void StoreStandin::expireLeases() {
  const auto now = std::chrono::steady_clock::now();
  for (auto it = Leases.begin(); it != Leases.end();) {
    if (it->second.Ends > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items) {
      if (item.Lease == it->first) {
        keys.push_back(key);
      }
    }
    for (const std::string &key : keys) {
      eraseLocked(key);
    }
    it = Leases.erase(it);
  }
}

asio::awaitable<void> StoreStandin::handle(ServerExchange &exchange) {
  ++Calls;
  if (Mode == StoreMode::Silent) {
    co_await exchange.sleep(SilentTime);
    exchange.reset();
    co_return;
  }
  if (Mode == StoreMode::Refusing || Mode == StoreMode::Busy) {
    const unsigned status = Mode == StoreMode::Busy ? 429 : 503;
    co_await exchange.answer(status, "application/json", "{}");
    co_return;
  }
  const std::string target(exchange.Request.target());
  if (under(target, "/kv-watch")) {
    const std::chrono::milliseconds wait(number(query(target, "wait-ms")));
    const std::uint64_t after = number(query(target, "after"));
    co_await watch(exchange, after, wait);
    co_return;
  }
  const bool late = under(target, "/kv-txn") && LateWrites > 0;
  if (late) {
    --LateWrites;
    co_await exchange.sleep(LateTime);
  }
  unsigned status = 200;
  std::string body;
  {
    const std::lock_guard<std::mutex> lock(Guard);
    expireLeases();
    body = reply(exchange.Request, status);
  }
  if (late) {
    exchange.reset();
    co_return;
  }
  if (exchange.Request.method() == http::verb::post && LostAnswers > 0) {
    --LostAnswers;
    exchange.reset();
    co_return;
  }
  co_await exchange.answer(status, "application/json", std::move(body));
}

asio::awaitable<void> StoreStandin::watch(ServerExchange &exchange,
                                          std::uint64_t after,
                                          std::chrono::milliseconds wait) {
  const auto end = std::chrono::steady_clock::now() + wait;
  for (;;) {
    if (Mode != StoreMode::Serving) {
      co_await exchange.sleep(SilentTime);
      exchange.reset();
      co_return;
    }
    json events = json::array();
    bool gone = false;
    std::uint64_t at = 0;
    {
      const std::lock_guard<std::mutex> lock(Guard);
      expireLeases();
      gone = after < Oldest;
      at = Revision;
      for (const Change &it : History) {
        if (it.Revision <= after) {
          continue;
        }
        json event{{"key", it.Key}, {"revision", it.Revision}};
        if (it.After) {
          event["val"] = encodeBase64(it.After->Bytes);
          event["created"] = it.Revision;
          event["lease-id"] = it.After->Lease;
        } else {
          event["deleted"] = true;
        }
        events.push_back(std::move(event));
      }
    }
    if (gone) {
      co_await exchange.answer(410, "application/json", "{}");
      co_return;
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      json body;
      body["events"] = std::move(events);
      body["at"] = at;
      co_await exchange.json(body.dump());
      co_return;
    }
    co_await exchange.sleep(PollTime);
  }
}

std::string StoreStandin::reply(const ServerRequest &request,
                                unsigned &status) {
  const std::string target(request.target());
  if (under(target, "/kv-range")) {
    return list(query(target, "prefix"), query(target, "after"));
  }
  if (under(target, "/kv-txn")) {
    return write(request.body(), status);
  }
  if (under(target, "/kv-lease") || under(target, "/kv-keep")) {
    return lease(request, status);
  }
  status = 404;
  return "{}";
}

std::string StoreStandin::list(const std::string &prefix,
                               const std::string &after) {
  json entries = json::array();
  for (const auto &[key, item] : Items) {
    if (under(key, prefix) && key > after) {
      entries.push_back({{"key", key},
                         {"val", encodeBase64(item.Bytes)},
                         {"revision", item.Revision},
                         {"created", item.Revision},
                         {"lease-id", item.Lease}});
    }
  }
  return json{{"entries", entries}, {"has-more", false}, {"at", Revision}}
      .dump();
}

std::string StoreStandin::write(const std::string &body, unsigned &status) {
  const json root = json::parse(body);
  json present = json::array();
  bool holds = true;
  for (const json &it : root["expect-rev"]) {
    const auto item = Items.find(it["key"].get<std::string>());
    const std::uint64_t now = item == Items.end() ? 0 : item->second.Revision;
    holds = holds && now == it["revision"].get<std::uint64_t>();
    if (now != 0) {
      present.push_back({{"key", it["key"]}, {"revision", now}});
    }
  }
  if (!holds) {
    status = 412;
    return json{{"entries", present}}.dump();
  }
  for (const json &it : root["write"]) {
    const std::uint64_t id = it["lease-id"].get<std::uint64_t>();
    if (id != 0 && Leases.count(id) == 0) {
      status = 404;
      return "{}";
    }
    putLocked(it["key"].get<std::string>(),
              decodeBase64(it["val"].get<std::string>()).value_or(""), id);
  }
  return json{{"revision", Revision}}.dump();
}

std::string StoreStandin::lease(const ServerRequest &request,
                                unsigned &status) {
  const std::string target(request.target());
  const auto now = std::chrono::steady_clock::now();
  if (target == "/kv-lease") {
    const std::chrono::milliseconds life(
        json::parse(request.body())["ttl-ms"].get<std::int64_t>());
    Leases[++LastLease] = {now + life, life};
    return json{{"lease-id", LastLease}, {"ttl-ms", life.count()}}.dump();
  }
  const auto it = Leases.find(number(target.substr(target.rfind('/') + 1)));
  if (it == Leases.end()) {
    status = 404;
    return "{}";
  }
  const bool ends = request.method() == http::verb::delete_;
  it->second.Ends = ends ? now : now + it->second.Life;
  expireLeases();
  return ends ? "{}" : json{{"ttl-ms", it->second.Life.count()}}.dump();
}

} // namespace nutmegsill::standin
