#include "gateway_fixture.h"

#include "nutmegsill/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

std::string loopback() { return "127.0.0.1:" + std::to_string(freePort()); }

} // namespace

std::string RawAnswer::field(const std::string &name) const {
  const auto it = Fields.find(name);
  return it == Fields.end() ? std::string() : it->second;
}

struct RawCaller::Parts {
  asio::io_context Io;
  beast::tcp_stream Stream{Io};
  beast::flat_buffer Buffer;
};

RawCaller::RawCaller(const std::string &address)
    : Impl(std::make_unique<Parts>()) {
  boost::system::error_code ec;
  Impl->Stream.socket().connect(*parseEndpoint(address), ec);
}

RawCaller::~RawCaller() = default;

RawAnswer RawCaller::exchange(const std::string &bytes) {
  constexpr timeval patience{15, 0};
  ::setsockopt(Impl->Stream.socket().native_handle(), SOL_SOCKET, SO_RCVTIMEO,
               &patience, sizeof(patience));
  boost::system::error_code ec;
  asio::write(Impl->Stream.socket(), asio::buffer(bytes), ec);
  RawAnswer answer;
  http::response_parser<http::string_body> parser;
  if (!ec) {
    http::read(Impl->Stream.socket(), Impl->Buffer, parser, ec);
  }
  if (parser.is_header_done()) {
    answer.Status = parser.get().result_int();
    for (const auto &it : parser.get()) {
      answer.Fields[std::string(it.name_string())] = std::string(it.value());
    }
    answer.Body = parser.get().body();
  }
  answer.Whole = !ec && parser.is_done();
  return answer;
}

void RawCaller::leaveAfter(const std::string &bytes) {
  boost::system::error_code ec;
  asio::write(Impl->Stream.socket(), asio::buffer(bytes), ec);
  Impl->Stream.socket().close(ec);
}

RawAnswer RawCaller::call(const RawCall &call) {
  std::string text =
      call.Method + " " + call.Path +
      " HTTP/1.1\r\nHost: models.example\r\nRequest-Id: " + call.Id +
      "\r\nDeadline-Ms: 4000\r\n";
  if (!call.Key.empty()) {
    text += "Authorization: Bearer " + call.Key + "\r\n";
  }
  if (call.Path.starts_with("/stream/")) {
    text += "Model: m\r\nTokens: 300,40\r\nPrefix-Hash: aa:200,bb:100\r\n";
  }
  const std::string body = call.Method == "GET" ? "" : call.Body;
  text += call.ExtraFields;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return exchange(text);
}

GatewayFixture::GatewayFixture() : StoreAddress(loopback()) {
  Folder = std::filesystem::temp_directory_path() /
           ("nutmegsill-gateway-" + std::to_string(freePort()));
  std::filesystem::create_directories(Folder);
  Store = std::make_unique<StoreStandin>(StoreAddress);
  One = std::make_unique<WorkerStandin>("w-1", "desk", loopback());
  Two = std::make_unique<WorkerStandin>("w-2", "desk", loopback());
  Store->put("op/config", configText(3));
  putWorker(*One);
  putWorker(*Two);
}

std::string GatewayFixture::configText(std::uint64_t version,
                                       const std::string &keys) const {
  const auto route = [](const std::string &name, const std::string &kind,
                        int attempts, const std::string &more) {
    return R"({"name":")" + name + R"(","host":"models.example","prefix":"/)" +
           name + R"(/","kind":")" + kind +
           R"(","timeout-ms":3000,"slo-ms":800,"priority":1,"service":"desk",)" +
           R"("attempts":)" + std::to_string(attempts) + more + "}";
  };
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         route("safe", "safe", 2, R"(,"public":true)") + "," +
         route("buy", "unsafe", 2, R"(,"public":true)") + "," +
         route("keyed", "safe", 2, "") + "," +
         route("stream/whole", "stream", 1, R"(,"sticky":true)") + "," +
         route("stream/resumed", "stream", 2,
               R"(,"sticky":true,"resumable":true)") +
         R"(],"services":[{"name":"desk","health-path":"/healthz",)"
         R"("max-conns":100,"cold-start-s":0.0,"cold-per-s":0.0}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":65536,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"prints","api-keys":[)" +
         keys + "]}]}";
}

void GatewayFixture::putWorker(const WorkerStandin &worker,
                               const std::string &state) {
  Store->put("servers/" + worker.id(), worker.entry(state));
}

RouterPorts &GatewayFixture::startRouter() {
  RouterPorts ports;
  ports.Host = "host-" + std::to_string(Routers.size() + 1);
  ports.Callers = loopback();
  ports.Readiness = loopback();
  ports.Directory = loopback();
  const json settings{
      {"gateway",
       {{"host", ports.Host},
        {"zone", "zone-a"},
        {"callers", ports.Callers},
        {"readiness", ports.Readiness},
        {"directory", ports.Directory},
        {"peer", loopback()},
        {"metrics", loopback()},
        {"descriptors", Descriptors}}},
      {"store", {{"address", StoreAddress}, {"shortest_lease_ms", 1000}}},
      {"bounds",
       {{"revocation_ms", RevocationMs},
        {"stop_grace_s", 6},
        {"retry_ratio", 0.2},
        {"retry_window_s", 10},
        {"retry_extra", 50}}}};
  const std::string path = Folder + "/" + ports.Host + ".json";
  std::ofstream(path) << settings.dump();
  Processes.emplace_back(std::string(NUTMEGSILL_BUILD) +
                             "/packages/router/nutmegsill-router",
                         std::vector<std::string>{"--settings", path},
                         Folder + "/" + ports.Host + ".log");
  Routers.push_back(ports);
  const bool ready =
      eventually([&] { return get(ports.Readiness, "/readyz").Status == 200; });
  REQUIRE(ready);
  return Routers.back();
}

RawAnswer GatewayFixture::get(const std::string &address,
                              const std::string &path) {
  return RawCaller(address).exchange(
      "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

RawAnswer GatewayFixture::call(const std::string &path, const std::string &id,
                               const std::string &method) {
  RawCall call;
  call.Method = method;
  call.Path = path;
  call.Id = id;
  return RawCaller(Routers.front().Callers).call(call);
}

std::vector<std::string> GatewayFixture::addresses(const RouterPorts &router) {
  const RawAnswer answer =
      get(router.Directory, "/resolve?name=models.example&zone=zone-a");
  const json root = json::parse(answer.Body, nullptr, false);
  if (!root.is_object() || !root.contains("addresses")) {
    return {};
  }
  return root["addresses"].get<std::vector<std::string>>();
}

bool GatewayFixture::eventually(const std::function<bool()> &holds,
                                std::chrono::milliseconds patience) {
  const auto end = std::chrono::steady_clock::now() + patience;
  while (std::chrono::steady_clock::now() < end) {
    if (holds()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return holds();
}

} // namespace nutmegsill::standin
