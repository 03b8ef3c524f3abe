#include "store_standin.h"

#include "nutmegsill/base64.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds WatchPollInterval{5};
/// Delay of the writes that are executed late, see `delayNextWrites`.
constexpr std::chrono::seconds WriteDelay{2};
constexpr std::chrono::seconds SilentDuration{30};

std::string queryParameter(const std::string &target, const std::string &name) {
  const std::string keyAndEquals = name + "=";
  std::size_t delimiter = target.find('?');
  while (delimiter != std::string::npos) {
    const std::size_t end = target.find('&', delimiter + 1);
    const std::string pair = target.substr(
        delimiter + 1, end == std::string::npos ? end : end - delimiter - 1);
    if (pair.rfind(keyAndEquals, 0) == 0) {
      return pair.substr(keyAndEquals.size());
    }
    delimiter = end;
  }
  return {};
}

std::uint64_t parseNumber(const std::string &text) {
  return text.empty() ? 0 : std::stoull(text);
}

bool hasPrefix(const std::string &text, const std::string &prefix) {
  return text.rfind(prefix, 0) == 0;
}

} // namespace

StoreStandin::StoreStandin(const std::string &address) {
  serveHttp(Io, address, [this](ServerExchange &exchange) {
    return handleRequest(exchange);
  });
  Thread = std::thread([this] { Io.run(); });
}

StoreStandin::~StoreStandin() {
  Io.stop();
  Thread.join();
}

std::uint64_t StoreStandin::put(const std::string &key,
                                const std::string &bytes) {
  const std::lock_guard<std::mutex> lock(Mutex);
  return putLocked(key, bytes, 0);
}

void StoreStandin::erase(const std::string &key) {
  const std::lock_guard<std::mutex> lock(Mutex);
  eraseLocked(key);
}

std::optional<std::string> StoreStandin::get(const std::string &key) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto it = Stored.Items.find(key);
  return it == Stored.Items.end()
             ? std::nullopt
             : std::optional<std::string>(it->second.Value);
}

std::vector<std::string>
StoreStandin::keysWithPrefix(const std::string &prefix) {
  const std::lock_guard<std::mutex> lock(Mutex);
  expireLeases();
  std::vector<std::string> keys;
  for (const auto &[key, item] : Stored.Items) {
    if (hasPrefix(key, prefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

void StoreStandin::dropHistory() {
  const std::lock_guard<std::mutex> lock(Mutex);
  History.clear();
  OldestRevision = ++Stored.Revision;
}

void StoreStandin::setEra(ServerExchange &exchange) const {
  exchange.setResponseField("Store-Era", std::to_string(Era));
}

void StoreStandin::keepCopy() {
  const std::lock_guard<std::mutex> lock(Mutex);
  Copy = Stored;
}

void StoreStandin::restoreCopy() {
  const std::lock_guard<std::mutex> lock(Mutex);
  Stored = Copy;
  History.clear();
  OldestRevision = Stored.Revision;
  ++Era;
}

std::uint64_t StoreStandin::putLocked(const std::string &key,
                                      const std::string &bytes,
                                      std::uint64_t leaseId) {
  const Item item{bytes, ++Stored.Revision, leaseId};
  Stored.Items[key] = item;
  History.push_back({key, item, Stored.Revision});
  return Stored.Revision;
}

void StoreStandin::eraseLocked(const std::string &key) {
  if (Stored.Items.erase(key) != 0) {
    History.push_back({key, std::nullopt, ++Stored.Revision});
  }
}

void StoreStandin::expireLeases() {
  const auto now = std::chrono::steady_clock::now();
  for (auto it = Stored.Leases.begin(); it != Stored.Leases.end();) {
    if (it->second.ExpiresAt > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : Stored.Items) {
      if (item.LeaseId == it->first) {
        keys.push_back(key);
      }
    }
    for (const std::string &key : keys) {
      eraseLocked(key);
    }
    it = Stored.Leases.erase(it);
  }
}

asio::awaitable<void> StoreStandin::handleRequest(ServerExchange &exchange) {
  ++CallCount;
  setEra(exchange);
  if (Mode == StoreMode::Silent) {
    co_await exchange.sleep(SilentDuration);
    exchange.resetConnection();
    co_return;
  }
  if (Mode == StoreMode::Refusing || Mode == StoreMode::RateLimiting) {
    const unsigned status = Mode == StoreMode::RateLimiting ? 429 : 503;
    co_await exchange.respond(status, "application/json", "{}");
    co_return;
  }
  const std::string target(exchange.Request.target());
  if (hasPrefix(target, "/kv-watch")) {
    const std::chrono::milliseconds wait(
        parseNumber(queryParameter(target, "wait-ms")));
    const std::uint64_t afterRevision =
        parseNumber(queryParameter(target, "after"));
    co_await handleWatch(exchange, afterRevision, wait);
    co_return;
  }
  const bool delayed = hasPrefix(target, "/kv-txn") && WritesToDelay > 0;
  if (delayed) {
    --WritesToDelay;
    co_await exchange.sleep(WriteDelay);
  }
  unsigned status = 200;
  std::string body;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    expireLeases();
    setEra(exchange);
    body = handleCall(exchange.Request, status);
  }
  if (delayed) {
    exchange.resetConnection();
    co_return;
  }
  if (exchange.Request.method() == http::verb::post && ResponsesToDrop > 0) {
    --ResponsesToDrop;
    exchange.resetConnection();
    co_return;
  }
  co_await exchange.respond(status, "application/json", std::move(body));
}

asio::awaitable<void>
StoreStandin::handleWatch(ServerExchange &exchange, std::uint64_t afterRevision,
                          std::chrono::milliseconds wait) {
  const auto deadline = std::chrono::steady_clock::now() + wait;
  for (;;) {
    if (Mode != StoreMode::Serving) {
      co_await exchange.sleep(SilentDuration);
      exchange.resetConnection();
      co_return;
    }
    json events = json::array();
    bool historyGone = false;
    std::uint64_t currentRevision = 0;
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      expireLeases();
      setEra(exchange);
      historyGone =
          afterRevision < OldestRevision || afterRevision > Stored.Revision;
      currentRevision = Stored.Revision;
      for (const Change &it : History) {
        if (it.Revision <= afterRevision) {
          continue;
        }
        json event{{"key", it.Key}, {"revision", it.Revision}};
        if (it.NewItem) {
          event["val"] = encodeBase64(it.NewItem->Value);
          event["created"] = it.Revision;
          event["lease-id"] = it.NewItem->LeaseId;
        } else {
          event["deleted"] = true;
        }
        events.push_back(std::move(event));
      }
    }
    if (historyGone) {
      co_await exchange.respond(410, "application/json", "{}");
      co_return;
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= deadline) {
      json body;
      body["events"] = std::move(events);
      body["at"] = currentRevision;
      co_await exchange.respondJson(body.dump());
      co_return;
    }
    co_await exchange.sleep(WatchPollInterval);
  }
}

std::string StoreStandin::handleCall(const ServerRequest &request,
                                     unsigned &status) {
  const std::string target(request.target());
  if (hasPrefix(target, "/kv-range")) {
    return handleList(queryParameter(target, "prefix"),
                      queryParameter(target, "after"));
  }
  if (hasPrefix(target, "/kv-txn")) {
    return handleWrite(request.body(), status);
  }
  if (hasPrefix(target, "/kv-lease") || hasPrefix(target, "/kv-keep")) {
    return handleLease(request, status);
  }
  status = 404;
  return "{}";
}

std::string StoreStandin::handleList(const std::string &prefix,
                                     const std::string &afterKey) {
  json entries = json::array();
  for (const auto &[key, item] : Stored.Items) {
    if (hasPrefix(key, prefix) && key > afterKey) {
      entries.push_back({{"key", key},
                         {"val", encodeBase64(item.Value)},
                         {"revision", item.Revision},
                         {"created", item.Revision},
                         {"lease-id", item.LeaseId}});
    }
  }
  return json{
      {"entries", entries}, {"has-more", false}, {"at", Stored.Revision}}
      .dump();
}

std::string StoreStandin::handleWrite(const std::string &body,
                                      unsigned &status) {
  const json root = json::parse(body);
  json currentRevisions = json::array();
  bool conditionsHold = true;
  for (const json &it : root["expect-rev"]) {
    const auto item = Stored.Items.find(it["key"].get<std::string>());
    const std::uint64_t currentRevision =
        item == Stored.Items.end() ? 0 : item->second.Revision;
    conditionsHold = conditionsHold &&
                     currentRevision == it["revision"].get<std::uint64_t>();
    if (currentRevision != 0) {
      currentRevisions.push_back(
          {{"key", it["key"]}, {"revision", currentRevision}});
    }
  }
  if (!conditionsHold) {
    status = 412;
    return json{{"entries", currentRevisions}}.dump();
  }
  for (const json &it : root["write"]) {
    const std::uint64_t id = it["lease-id"].get<std::uint64_t>();
    if (id != 0 && Stored.Leases.count(id) == 0) {
      status = 404;
      return "{}";
    }
    putLocked(it["key"].get<std::string>(),
              decodeBase64(it["val"].get<std::string>()).value_or(""), id);
  }
  return json{{"revision", Stored.Revision}}.dump();
}

std::string StoreStandin::handleLease(const ServerRequest &request,
                                      unsigned &status) {
  const std::string target(request.target());
  const auto now = std::chrono::steady_clock::now();
  if (target == "/kv-lease") {
    const std::chrono::milliseconds ttl(
        json::parse(request.body())["ttl-ms"].get<std::int64_t>());
    Stored.Leases[++Stored.LastLeaseId] = {now + ttl, ttl};
    return json{{"lease-id", Stored.LastLeaseId}, {"ttl-ms", ttl.count()}}
        .dump();
  }
  const auto it =
      Stored.Leases.find(parseNumber(target.substr(target.rfind('/') + 1)));
  if (it == Stored.Leases.end()) {
    status = 404;
    return "{}";
  }
  const bool isDelete = request.method() == http::verb::delete_;
  it->second.ExpiresAt = isDelete ? now : now + it->second.Ttl;
  expireLeases();
  return isDelete ? "{}" : json{{"ttl-ms", it->second.Ttl.count()}}.dump();
}

} // namespace nutmegsill::standin
