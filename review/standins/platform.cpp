#include "platform.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iterator>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::int64_t IdleMs = 60'000;

std::string readFile(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void replaceAll(std::string &text, const std::string &from,
                const std::string &to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;
       at += to.size()) {
    text.replace(at, from.size(), to);
  }
}

/// A loopback address at which the metrics port of the template is free.
std::string freeMachineIp() {
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> part(2, 250);
  for (;;) {
    const std::string ip = "127." + std::to_string(part(random)) + "." +
                           std::to_string(part(random)) + "." +
                           std::to_string(part(random));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(7401);
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    const bool isFree =
        ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0;
    ::close(fd);
    if (isFree) {
      return ip;
    }
  }
}

} // namespace

Store::Store(const std::string &ip) {
  Door = std::make_unique<Listener>(
      ip, [this](const std::shared_ptr<Connection> &it) { serve(*it); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Door.reset();
}

std::string Store::itemJson(const std::string &key, const Item &item) {
  return R"({"key":")" + key + R"(","val":")" + encodeBase64(item.Value) +
         R"(","revision":)" + std::to_string(item.Revision) + R"(,"created":)" +
         std::to_string(item.Created) + R"(,"lease-id":)" +
         std::to_string(item.Lease) + "}";
}

void Store::putLocked(const std::string &key, const std::string &value,
                      std::uint64_t lease) {
  const auto old = Items.find(key);
  Item item{value, ++Revision, Revision, lease};
  item.Created = old == Items.end() ? Revision : old->second.Created;
  Items[key] = item;
  History.push_back({key, item, Revision});
  Changed.notify_all();
}

void Store::eraseLocked(const std::string &key) {
  if (Items.erase(key) != 0) {
    History.push_back({key, std::nullopt, ++Revision});
    Changed.notify_all();
  }
}

std::uint64_t Store::put(const std::string &key, const std::string &value) {
  const std::lock_guard<std::mutex> lock(Mutex);
  putLocked(key, value, 0);
  return Revision;
}

std::size_t Store::countWithPrefix(const std::string &prefix) {
  const std::lock_guard<std::mutex> lock(Mutex);
  expireLeases();
  std::size_t out = 0;
  for (const auto &[key, item] : Items) {
    out += key.rfind(prefix, 0) == 0 ? 1 : 0;
  }
  return out;
}

void Store::expireLeases() {
  for (auto it = Leases.begin(); it != Leases.end();) {
    if (it->second.EndsAtMs > nowMs()) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items) {
      if (item.Lease == it->first) {
        keys.push_back(key);
      }
    }
    it = Leases.erase(it);
    for (const std::string &key : keys) {
      eraseLocked(key);
    }
  }
}

std::string Store::list(const std::string &target) {
  const std::string prefix = queryValue(target, "prefix");
  const std::string after = queryValue(target, "after");
  std::string rows;
  for (const auto &[key, item] : Items) {
    if (key.rfind(prefix, 0) == 0 && key > after) {
      rows += (rows.empty() ? "" : ",") + itemJson(key, item);
    }
  }
  return R"({"entries":[)" + rows + R"(],"has-more":false,"at":)" +
         std::to_string(Revision) + "}";
}

std::string Store::watch(const std::string &target, int &status) {
  const std::uint64_t after = std::stoull(queryValue(target, "after"));
  const std::int64_t endMs =
      nowMs() + std::stoll(queryValue(target, "wait-ms"));
  std::unique_lock<std::mutex> lock(Mutex);
  for (;;) {
    expireLeases();
    if (after > Revision || Stopping) {
      status = 410;
      return "{}";
    }
    std::string rows;
    for (const Change &it : History) {
      if (it.Revision > after) {
        rows += (rows.empty() ? "" : ",") +
                (it.Written
                     ? itemJson(it.Key, *it.Written)
                     : R"({"key":")" + it.Key + R"(","revision":)" +
                           std::to_string(it.Revision) + R"(,"deleted":true})");
      }
    }
    if (!rows.empty() || nowMs() >= endMs) {
      return R"({"events":[)" + rows + R"(],"at":)" + std::to_string(Revision) +
             "}";
    }
    // Leases end without a notification.
    Changed.wait_for(lock, std::chrono::milliseconds(
                               std::min<std::int64_t>(50, endMs - nowMs())));
  }
}

std::string Store::write(const std::string &body, int &status) {
  // The routers write one key under one condition.
  const std::string key = jsonValue(body, "key");
  const auto item = Items.find(key);
  const std::uint64_t current = item == Items.end() ? 0 : item->second.Revision;
  if (std::to_string(current) != jsonValue(body, "revision")) {
    status = 412;
    return R"({"entries":[)" +
           (item == Items.end() ? "" : itemJson(key, item->second)) + "]}";
  }
  const std::uint64_t lease = std::stoull(jsonValue(body, "lease-id"));
  if (lease != 0 && Leases.count(lease) == 0) {
    status = 404;
    return "{}";
  }
  putLocked(key, decodeBase64(jsonValue(body, "val")), lease);
  return R"({"revision":)" + std::to_string(Revision) + "}";
}

std::string Store::lease(const Message &request, int &status) {
  const std::string target = request.target();
  if (target == "/kv-lease") {
    const std::int64_t ttl = std::stoll(jsonValue(request.Body, "ttl-ms"));
    Leases[++LastLease] = {nowMs() + ttl, ttl};
    return R"({"lease-id":)" + std::to_string(LastLease) + R"(,"ttl-ms":)" +
           std::to_string(ttl) + "}";
  }
  const auto it =
      Leases.find(std::stoull(target.substr(target.rfind('/') + 1)));
  if (it == Leases.end()) {
    status = 404;
    return "{}";
  }
  if (request.method() == "DELETE") {
    it->second.EndsAtMs = nowMs();
    expireLeases();
    return "{}";
  }
  it->second.EndsAtMs = nowMs() + it->second.TtlMs;
  return R"({"ttl-ms":)" + std::to_string(it->second.TtlMs) + "}";
}

std::string Store::answer(const Message &request, int &status) {
  const std::string target = request.target();
  if (target.rfind("/kv-watch", 0) == 0) {
    return watch(target, status);
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  expireLeases();
  if (target.rfind("/kv-range", 0) == 0) {
    return list(target);
  }
  if (target == "/kv-txn") {
    return write(request.Body, status);
  }
  if (target.rfind("/kv-lease", 0) == 0 || target.rfind("/kv-keep", 0) == 0) {
    return lease(request, status);
  }
  status = 404;
  return "{}";
}

void Store::serve(Connection &connection) {
  while (const std::optional<Message> request =
             readRequest(connection, IdleMs)) {
    int status = 200;
    const std::string body = answer(*request, status);
    if (!connection.send("HTTP/1.1 " + std::to_string(status) +
                         " Status\r\nContent-Type: application/json\r\n"
                         "Store-Era: 1\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

std::string configText(int version, const std::string &keys) {
  const auto route = [](const std::string &prefix, const std::string &members) {
    return R"({"name":"r-)" + prefix +
           R"(","host":"ficu95.example","prefix":"/)" + prefix +
           R"(/","priority":1,"public":false,)" + members + "}";
  };
  const std::string stream =
      R"("kind":"stream","sticky":true,"itl-target-ms":400,"service":"pool",)";
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("dossier", stream + R"("timeout-ms":6000,"slo-ms":600,)"
                                   R"("attempts":1,"resumable":false)") +
         "," +
         route("summary", stream + R"("timeout-ms":4000,"slo-ms":500,)"
                                   R"("attempts":2,"resumable":true)") +
         "," +
         route("issue", R"("kind":"unsafe","timeout-ms":800,"slo-ms":120,)"
                        R"("attempts":1,"service":"ledger")") +
         "," +
         route("lookup", R"("kind":"safe","timeout-ms":800,"slo-ms":120,)"
                         R"("attempts":2,"service":"ledger")") +
         R"(],"services":[{"name":"pool","health-path":"/healthz",)"
         R"("max-conns":370,"protocol":"h1","tls":false,"cold-start-s":3.0,)"
         R"("cold-per-s":9.6,"backend":{"slots":64,"kv-capacity":314141}},)"
         R"({"name":"ledger","health-path":"/healthz","max-conns":110,)"
         R"("protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000,)"
         R"("tokens-per-s":190000},"tenants":[)" +
         (keys.empty() ? ""
                       : R"({"name":"workshop","priority":1,"api-keys":[)" +
                             keys + "]}") +
         "]}";
}

Worker::Worker(const std::string &ip, std::string id, std::string service,
               std::string zone, Handler handler)
    : Id(std::move(id)), Service(std::move(service)), Zone(std::move(zone)),
      Born(std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()),
      OnRequest(std::move(handler)) {
  Door = std::make_unique<Listener>(
      ip, [this](const std::shared_ptr<Connection> &it) { serve(*it); });
}

void Worker::beat(Store &store, const std::string &state) {
  store.put(
      "servers/" + Id,
      R"({"service":")" + Service + R"(","address":")" + address() +
          R"(","zone":")" + Zone + R"(","version":"v1","slots":64,"state":")" +
          state +
          R"(","cold-left-ms":0,"phase":"both","model-list":[{"name":"m",)"
          R"("version":1,"adapter-list":[]}],"born":)" +
          std::to_string(Born) + R"(,"seq":)" + std::to_string(++Seq) + "}");
}

void Worker::serve(Connection &connection) {
  while (const std::optional<Message> request =
             readRequest(connection, IdleMs)) {
    const std::string target = request->target();
    if (target.rfind("/kv-", 0) == 0 && target != "/kv-move") {
      const std::string body = R"({"epoch":1,"next":1,"held":[]})";
      if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json"
                           "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
      continue;
    }
    const std::string expected = request->field("expect-instance");
    if (!expected.empty() && expected != Id) {
      if (!connection.send(answerHead(421, *request,
                                      "Not-Run: 1\r\nContent-Length: 0\r\n"))) {
        return;
      }
      continue;
    }
    if (!OnRequest(connection, *request)) {
      return;
    }
  }
}

std::string answerHead(int status, const Message &request,
                       const std::string &fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nRequest-Id: " + request.field("request-id") +
         "\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + fields + "\r\n";
}

Router::Router(const std::string &root, const std::string &folder,
               const std::string &name, const std::string &zone,
               const std::string &store)
    : Root(root), Folder(folder) {
  At.Name = name;
  At.Zone = zone;
  At.Ip = freeMachineIp();
  const auto address = [this] {
    return At.Ip + ":" + std::to_string(freePort(At.Ip));
  };
  At.Callers = address();
  At.Ready = address();
  At.Directory = address();
  const int peerPort = freePort(At.Ip);
  At.Peer = At.Ip + ":" + std::to_string(peerPort);
  // The template of the deploy file, filled as DEPLOY.md says, with the figures
  // of the site jrra-ledger.
  std::string text = readFile(Root + "/deploy/router.json");
  const std::map<std::string, std::string> values{
      {"{{node-name|json}}", "\"" + name + "\""},
      {"{{zone|json}}", "\"" + zone + "\""},
      {"{{listen.frontend}}", At.Callers},
      {"{{listen.ready}}", At.Ready},
      {"{{listen.registry}}", At.Directory},
      {"{{ip}}", At.Ip},
      {"{{port-range.0}}", std::to_string(peerPort)},
      {"{{limits.max-fds|json}}", "4100"},
      {"{{limits.cpu-quota|json}}", "0.25"},
      {"{{limits.cores|json}}", "1"},
      {"{{platform.address}}", store},
      {"{{platform.ttl-min-ms|json}}", "1000"},
      {"{{bounds.revoke-ms|json}}", "5000"},
      {"{{bounds.grace-s|json}}", "8"},
      {"{{bounds.ttl_max_s|json}}", "5"},
      {"{{bounds.retry-ratio|json}}", "0.2"},
      {"{{bounds.retry-window-s|json}}", "10"},
      {"{{bounds.retry-extra|json}}", "58"}};
  for (const auto &[from, to] : values) {
    replaceAll(text, from, to);
  }
  std::ofstream(Folder + "/" + name + ".json") << text;
}

Router::~Router() {
  if (Pid > 0 && !hasEnded()) {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }
}

void Router::start() {
  // The command of the deploy file's role.
  const std::string deploy = readFile(Root + "/deploy/system.toml");
  const std::size_t at = deploy.find("run = \"") + 7;
  const std::string program = deploy.substr(at, deploy.find('"', at) - at);
  std::istringstream words(program);
  std::vector<std::string> texts{std::istream_iterator<std::string>(words), {}};
  std::vector<char *> arguments;
  for (std::string &it : texts) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  std::string settings =
      "NUTMEGSILL_SETTINGS=" + Folder + "/" + At.Name + ".json";
  char *environment[] = {settings.data(), nullptr};
  const std::string path = Folder + "/" + At.Name + ".log";
  const int log =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  Pid = ::fork();
  if (Pid == 0) {
    // The router ends with the script, whatever ends that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, 1);
    ::dup2(log, 2);
    if (::chdir(Root.c_str()) == 0) {
      ::execve(arguments[0], arguments.data(), environment);
    }
    ::_exit(127);
  }
  ::close(log);
}

bool Router::waitReady(std::int64_t limitMs) {
  const std::int64_t endMs = nowMs() + limitMs;
  while (nowMs() < endMs && !hasEnded()) {
    if (const std::unique_ptr<Connection> it = Connection::open(At.Ready)) {
      const Answer answer = exchange(
          *it, "GET /readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
          1000);
      if (answer.Status == 200) {
        return true;
      }
    }
    sleepMs(50);
  }
  return false;
}

bool Router::hasEnded() {
  if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid) {
    Pid = -1;
  }
  return Pid <= 0;
}

Deployment::Deployment(const std::string &root, int routers) : Root(root) {
  for (int i = 0; i < routers; ++i) {
    Routers.push_back(std::make_unique<Router>(
        root, Files.path(), "edge-" + std::to_string(i + 1),
        Zones[static_cast<std::size_t>(i) % Zones.size()], Records.address()));
  }
}

void Deployment::addWorkers(const std::string &service, int count,
                            const Worker::Handler &handler) {
  for (int i = 0; i < count; ++i) {
    Workers.push_back(std::make_unique<Worker>(
        "127.0.0.1", "i-" + service + "-" + std::to_string(i + 1), service,
        Zones[static_cast<std::size_t>(i) % Zones.size()], handler));
    Workers.back()->beat(Records);
  }
}

bool Deployment::start() {
  for (const std::unique_ptr<Router> &it : Routers) {
    it->start();
  }
  for (const std::unique_ptr<Router> &it : Routers) {
    if (!it->waitReady(10'000)) {
      return false;
    }
  }
  const std::int64_t endMs = nowMs() + 10'000;
  while (Records.countWithPrefix("nutmegsill/routers/") < Routers.size()) {
    if (nowMs() > endMs) {
      return false;
    }
    sleepMs(50);
  }
  return true;
}

void Deployment::stop() {
  Routers.clear();
  Workers.clear();
}

int finish(Record &record, Deployment &fleet, bool ran, int broken,
           const std::string &what) {
  // Before the state that the workers' handlers use.
  fleet.stop();
  record.line(!ran ? "could not run: " + what
              : broken > 0
                  ? "rule broken " + std::to_string(broken) + " times: " + what
                  : "rule held: " + what);
  return !ran ? 2 : broken > 0 ? 1 : 0;
}

bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Folder::Folder() {
  std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
  Path = ::mkdtemp(name.data());
}

Folder::~Folder() { std::filesystem::remove_all(Path); }

} // namespace review
