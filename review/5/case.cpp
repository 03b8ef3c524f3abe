/// The only tenant of a deployment is taken out of the configuration; clients
/// go on with its key, and one comes with a key that never was.
#include "platform.h"

using namespace review;

namespace {

constexpr int ClientsPerRouter = 5;
constexpr std::int64_t AnswerLimitMs = 1500;
/// `revoke-ms` of the site.
constexpr std::int64_t RevokeMs = 5000;
constexpr const char *TenantKey = "asnmgkcuyj8pjbvk9m68";
constexpr const char *UnknownKey = "zzzzzzzzzzzzzzzzzzzz";

std::string request(const std::string &id, const std::string &key) {
  return "POST /issue/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer " + key +
         "\r\nContent-Length: 3\r\n\r\njob";
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3) {
    return 2;
  }
  Record record(argv[2]);
  Deployment fleet(argv[1], 3);
  fleet.Records.put("op/config",
                    configText(7, "\"" + std::string(TenantKey) + "\""));
  std::mutex mutex;
  std::set<std::string> ran;
  fleet.addWorkers("ledger", 3, [&](Connection &to, const Message &it) {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      ran.insert(it.field("request-id"));
    }
    const std::string tenant = it.field("tenant");
    record.line("ran " + it.field("request-id") + " " + it.First + ", " +
                (tenant.empty() ? "NO TENANT" : "Tenant: " + tenant));
    return to.send(answerHead(200, it, "Content-Length: 2\r\n") + "ok");
  });
  fleet.addWorkers("pool", 3, [](Connection &, const Message &) {
    return false;
  });
  if (!fleet.start()) {
    return finish(record, false, 0, "the routers did not start");
  }
  std::vector<std::unique_ptr<Connection>> clients;
  const auto ask = [&](const std::string &phase, const std::string &key,
                       const std::string &what) {
    int served = 0;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const std::string id = phase + "-" + std::to_string(i);
      record.line("sent " + id + " POST /issue/1 with " + what);
      const Answer answer =
          exchange(*clients[i], request(id, key), AnswerLimitMs);
      record.line("answered " + id + ": " + std::to_string(answer.Status));
      const std::lock_guard<std::mutex> lock(mutex);
      served += ran.count(id) != 0 ? 1 : 0;
    }
    return served;
  };
  for (const std::unique_ptr<Router> &router : fleet.Routers) {
    for (int i = 0; i < ClientsPerRouter; ++i) {
      clients.push_back(Connection::open(router->machine().Callers));
    }
  }
  const int all = static_cast<int>(clients.size());
  if (ask("before", TenantKey, "the tenant's key") != all) {
    return finish(record, false, 0, "a first request was not served");
  }
  const int unknownBefore = ask("never", UnknownKey, "a key that never was");
  fleet.Records.put("op/config",
                    hasTrouble()
                        ? configText(9, "")
                        : configText(9, "\"" + std::string(TenantKey) + "\""));
  record.line(hasTrouble()
                  ? "the operator took the tenant out: version 9 is acknowledged"
                  : "version 9 is acknowledged, with the same tenant");
  sleepMs(RevokeMs + 1000);
  const int revoked = ask("after", TenantKey, "the tenant's key");
  const int unknown = ask("never-after", UnknownKey, "a key that never was");
  const int broken =
      unknownBefore + unknown + (hasTrouble() ? revoked : 0);
  return finish(record, true, broken,
                std::to_string(revoked) + " of " + std::to_string(all) +
                    " requests ran with the tenant's key " +
                    std::to_string(RevokeMs + 1000) +
                    " ms after version 9; with a key that never was " +
                    std::to_string(unknownBefore) + " before and " +
                    std::to_string(unknown) + " after");
}
