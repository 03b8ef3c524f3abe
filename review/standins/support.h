/// Sockets, HTTP messages, time and the record, for the stand-ins of the
/// review's scripts. Uses nothing but POSIX and the C++ library.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the program.
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/// Writes lines with their time to `record.txt`. Thread-safe.
class Record {
public:
  explicit Record(const std::string &path) : File(path) {}
  void line(const std::string &text);

private:
  std::mutex Mutex;
  std::ofstream File;
};

/// A TCP connection with a read buffer. Not thread-safe, but for `shutdown`.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects to "IP:port"; null if that fails.
  static std::unique_ptr<Connection> open(const std::string &address);
  bool send(const std::string &bytes);
  /// Appends what arrives to `buffer`; false at the end, at an error or at the
  /// time limit.
  bool receive(std::string &buffer, std::int64_t limitMs);
  /// Whether the last `receive` ended as nothing arrived in time.
  bool timedOut() const { return TimedOut; }
  /// Closes with a reset.
  void reset();
  void shutdown();
  int fd() const { return Fd; }
  /// Bytes that were read beyond the last message.
  std::string Unread;

private:
  int Fd;
  bool TimedOut = false;
};

struct Message {
  /// Request line or status line.
  std::string First;
  /// Names in lower case.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::string field(const std::string &name) const;
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const;
  int status() const;
};

/// Reads one request; nothing at the end of the connection.
std::optional<Message> readRequest(Connection &from, std::int64_t limitMs);

/// How a client's connection went.
struct Answer {
  /// 0 if no status line arrived.
  int Status = 0;
  Message Head;
  /// The whole answer arrived, framed as it says.
  bool Complete = false;
  bool TimedOut = false;
  /// What arrived does not begin with a status line of the protocol.
  bool IsNoAnswer = false;
  std::int64_t SentAtMs = 0;
  std::int64_t EndedAtMs = 0;
};

/// Sends `request` and reads its answer; that to HEAD has no body (RFC 9110,
/// 9.3.2).
Answer exchange(Connection &connection, const std::string &request,
                std::int64_t limitMs);

/// Accepts connections on a thread of its own and serves each on another.
class Listener {
public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;
  Listener(const std::string &ip, Handler handler);
  ~Listener();
  std::string address() const { return Address; }

private:
  void run();
  std::string Address;
  int Fd = -1;
  Handler OnConnection;
  std::atomic<bool> Stopped{false};
  std::thread Thread;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::list<std::weak_ptr<Connection>> Open;
  int Serving = 0;
};

/// A free port of `ip`.
int freePort(const std::string &ip);
std::string encodeBase64(const std::string &bytes);
std::string decodeBase64(const std::string &text);
/// The text after `"name":` in flat JSON, without quotes; empty if missing.
std::string jsonValue(const std::string &json, const std::string &name,
                      std::size_t from = 0);
std::string queryValue(const std::string &target, const std::string &name);

} // namespace review
