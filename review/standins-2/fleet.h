/// Small pieces shared by the scripts of the second review: router processes
/// with the settings of a small deployment, the operators' configuration,
/// servers, and a client that reads answers as a client on our pages does.
#pragma once

#include "http_server.h"
#include "process.h"
#include "store_standin.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using namespace nutmegsill::standin;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

inline bool hasTrouble() {
  const char *it = std::getenv("TROUBLE");
  return it == nullptr || std::string(it) != "0";
}

/// Writes lines with the time since the start to a file, and to the output.
class Record {
public:
  explicit Record(const std::string &path) : File(path) {}
  void line(const std::string &text) {
    const std::lock_guard<std::mutex> lock(Mutex);
    const double s =
        std::chrono::duration<double>(Clock::now() - Begin).count();
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f ", s);
    File << at << text << "\n" << std::flush;
    std::cout << at << text << "\n" << std::flush;
  }
  /// Only to the file.
  void note(const std::string &text) {
    const std::lock_guard<std::mutex> lock(Mutex);
    const double s =
        std::chrono::duration<double>(Clock::now() - Begin).count();
    char at[32];
    std::snprintf(at, sizeof(at), "%8.3f ", s);
    File << at << text << "\n";
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  const Clock::time_point Begin = Clock::now();
};

inline std::string freeAddress() {
  return "127.0.0.1:" + std::to_string(findFreePort());
}

inline tcp::endpoint endpointOf(const std::string &address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

/// An answer as a client reads it. `Status` is 0 if no head came.
struct Answer {
  unsigned Status = 0;
  std::string Head;
  std::string Body;
  /// The body came up to the end that its framing states.
  bool Complete = false;
  std::string field(const std::string &name) const {
    const std::string key = "\r\n" + name + ": ";
    const std::size_t at = Head.find(key);
    if (at == std::string::npos) {
      return {};
    }
    const std::size_t from = at + key.size();
    return Head.substr(from, Head.find("\r\n", from) - from);
  }
};

/// One connection of a client; blocking, with a limit of time for each read.
class Client {
public:
  explicit Client(const std::string &address,
                  milliseconds limit = milliseconds(8000))
      : Socket(Io) {
    boost::system::error_code ec;
    Socket.connect(endpointOf(address), ec);
    Connected = !ec;
    if (Connected) {
      timeval tv{limit.count() / 1000, (limit.count() % 1000) * 1000};
      ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &tv,
                   sizeof(tv));
      ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &tv,
                   sizeof(tv));
      Socket.set_option(tcp::no_delay(true), ec);
    }
  }
  bool isConnected() const { return Connected; }
  bool send(const std::string &bytes) {
    std::size_t sent = 0;
    while (Connected && sent < bytes.size()) {
      const ssize_t n = ::send(Socket.native_handle(), bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return Connected;
  }
  Answer read() {
    Answer out;
    std::size_t end = std::string::npos;
    while ((end = Unread.find("\r\n\r\n")) == std::string::npos) {
      if (!more()) {
        return out;
      }
    }
    out.Head = Unread.substr(0, end + 4);
    Unread.erase(0, end + 4);
    out.Status = out.Head.size() > 12
                     ? static_cast<unsigned>(std::atoi(out.Head.c_str() + 9))
                     : 0;
    const std::string length = out.field("Content-Length");
    if (!length.empty()) {
      const std::size_t n = std::stoul(length);
      while (Unread.size() < n && more()) {
      }
      out.Complete = Unread.size() >= n;
      out.Body = Unread.substr(0, n);
      Unread.erase(0, n);
    } else if (out.field("Transfer-Encoding") == "chunked") {
      for (;;) {
        std::size_t lineEnd = std::string::npos;
        while ((lineEnd = Unread.find("\r\n")) == std::string::npos) {
          if (!more()) {
            return out;
          }
        }
        const std::size_t n =
            std::stoul(Unread.substr(0, lineEnd), nullptr, 16);
        while (Unread.size() < lineEnd + 2 + n + 2) {
          if (!more()) {
            out.Body += Unread.substr(std::min(Unread.size(), lineEnd + 2));
            return out;
          }
        }
        out.Body += Unread.substr(lineEnd + 2, n);
        Unread.erase(0, lineEnd + 2 + n + 2);
        if (n == 0) {
          out.Complete = true;
          return out;
        }
      }
    } else {
      out.Complete = true;
    }
    return out;
  }
  int fd() { return Socket.native_handle(); }

private:
  bool more() {
    char bytes[16384];
    const ssize_t n = ::recv(Socket.native_handle(), bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    Unread.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  asio::io_context Io;
  tcp::socket Socket;
  bool Connected = false;
  std::string Unread;
};

inline Answer get(const std::string &address, const std::string &path) {
  Client client(address, milliseconds(1000));
  client.send("GET " + path +
              " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  return client.read();
}

/// One router: its addresses, its settings as `deploy/router.json` fills them
/// in, and its process.
class Router {
public:
  Router(std::string program, std::string folder, std::string host,
         const std::string &store, int memoryMb, double quota = 0.25,
         const std::string &zone = "suva-a")
      : Host(std::move(host)), Callers(freeAddress()), Ready(freeAddress()),
        Directory(freeAddress()), Peer(freeAddress()), Handover(freeAddress()),
        MetricsAddress(freeAddress()), Program(std::move(program)),
        Folder(std::move(folder)) {
    const json settings{
        {"gateway",
         {{"host", Host},
          {"zone", zone},
          {"callers", Callers},
          {"readiness", Ready},
          {"directory", Directory},
          {"peer", Peer},
          {"handover", Handover},
          {"metrics", MetricsAddress},
          {"descriptors", 4100},
          {"memory_mb", memoryMb},
          {"processor_quota", quota},
          {"processor_speed", 1}}},
        {"store", {{"address", store}, {"shortest_lease_ms", 1000}}},
        {"placement", {{"zone_home_engines", 32}}},
        {"bounds",
         {{"revocation_ms", 5000},
          {"stop_grace_s", 8},
          {"address_life_s", 5},
          {"retry_ratio", 0.2},
          {"retry_window_s", 10},
          {"retry_extra", 58}}}};
    std::ofstream(Folder + "/" + Host + ".json") << settings.dump(2);
  }
  void start() {
    const std::string path = Folder + "/" + Host + ".json";
    ::setenv("NUTMEGSILL_SETTINGS", path.c_str(), 1);
    Running.emplace(Program, std::vector<std::string>{},
                    Folder + "/" + Host + ".log");
  }
  bool isReady() const { return get(Ready, "/readyz").Status == 200; }
  Process &process() { return *Running; }
  bool hasProcess() const { return Running.has_value(); }
  /// Resident memory of the process in KB; 0 if it has ended.
  std::size_t residentKb() const {
    std::ifstream status("/proc/" + std::to_string(Running->pid()) + "/status");
    std::string text;
    while (std::getline(status, text)) {
      if (text.rfind("VmRSS:", 0) == 0) {
        return std::stoul(text.substr(6));
      }
    }
    return 0;
  }

  const std::string Host, Callers, Ready, Directory, Peer, Handover,
      MetricsAddress;

private:
  std::string Program;
  std::string Folder;
  std::optional<Process> Running;
};

inline bool waitUntil(const std::function<bool()> &condition,
                      milliseconds limit) {
  const auto end = Clock::now() + limit;
  while (Clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return condition();
}

/// A route as `fleetbench wire` shows one.
inline json route(const std::string &name, const std::string &kind,
                  const std::string &service, int timeoutMs, int sloMs,
                  bool isPublic, int attempts = 1) {
  json out{{"name", "r-" + name},
           {"host", "ficu95.example"},
           {"prefix", "/" + name + "/"},
           {"kind", kind},
           {"timeout-ms", timeoutMs},
           {"slo-ms", sloMs},
           {"priority", 1},
           {"service", service},
           {"attempts", attempts},
           {"public", isPublic},
           {"sticky", kind == "stream"},
           {"resumable", false}};
  if (kind == "stream") {
    out["itl-target-ms"] = 400;
  }
  return out;
}

/// A configuration with a service of engines, a plain one, and two tenants.
inline std::string configText(int version, const json &routes) {
  return json{
      {"version", version},
      {"routes", routes},
      {"services",
       {{{"name", "nutmeg-pool"},
         {"health-path", "/healthz"},
         {"max-conns", 370},
         {"protocol", "h1"},
         {"tls", false},
         {"cold-start-s", 3.0},
         {"cold-per-s", 8.9},
         {"backend", {{"slots", 64}, {"kv-capacity", 215866}}}},
        {{"name", "licence-desk"},
         {"health-path", "/healthz"},
         {"max-conns", 510},
         {"protocol", "h1"},
         {"tls", false},
         {"cold-start-s", 0.0},
         {"cold-per-s", 0.0}}}},
      {"limits",
       {{"max-header-bytes", 16384},
        {"max-body-bytes", 4194304},
        {"header-timeout-ms", 3000},
        {"idle-timeout-ms", 15000},
        {"tokens-per-s", 230000}}},
      {"tenants",
       {{{"name", "hule930"}, {"api-keys", {"key-hule"}}, {"priority", 1}},
        {{"name", "other71"}, {"api-keys", {"key-other"}}, {"priority", 1}}}}}
      .dump();
}

/// A folder for settings and logs, removed at the end.
class TempFolder {
public:
  TempFolder() {
    Path = (std::filesystem::temp_directory_path() /
            "nutmegsill-review-XXXXXX")
               .string();
    ::mkdtemp(Path.data());
  }
  ~TempFolder() {
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(Path, ec);
    }
  }
  std::string Path;
};

} // namespace review
