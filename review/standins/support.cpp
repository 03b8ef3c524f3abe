#include "support.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

const Clock::time_point Start = Clock::now();

sockaddr_in toSockaddr(const std::string &ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

std::string trim(const std::string &text) {
  const std::size_t first = text.find_first_not_of(" \t");
  return first == std::string::npos
             ? std::string()
             : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Moves the first `n` bytes out of `buffer`.
std::string take(std::string &buffer, std::size_t n) {
  std::string out = buffer.substr(0, n);
  buffer.erase(0, n);
  return out;
}

bool fill(Connection &from, std::size_t n, std::int64_t endMs) {
  while (from.Unread.size() < n) {
    if (!from.receive(from.Unread, endMs - nowMs())) {
      return false;
    }
  }
  return true;
}

/// Reads up to and including `end`; nothing if the connection ends before.
std::optional<std::string> readUntil(Connection &from, const std::string &end,
                                     std::int64_t endMs) {
  std::size_t at = 0;
  while ((at = from.Unread.find(end)) == std::string::npos) {
    if (!from.receive(from.Unread, endMs - nowMs())) {
      return std::nullopt;
    }
  }
  return take(from.Unread, at + end.size());
}

std::optional<Message> readHead(Connection &from, std::int64_t endMs) {
  const std::optional<std::string> text = readUntil(from, "\r\n\r\n", endMs);
  if (!text) {
    return std::nullopt;
  }
  Message out;
  std::size_t at = text->find("\r\n");
  out.First = text->substr(0, at);
  at += 2;
  while (at + 2 < text->size()) {
    const std::size_t end = text->find("\r\n", at);
    const std::string line = text->substr(at, end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      out.Fields.emplace_back(lower(line.substr(0, colon)),
                              trim(line.substr(colon + 1)));
    }
    at = end + 2;
  }
  return out;
}

/// Reads a chunked body; false if it does not arrive whole. What arrived is
/// left in `out` either way.
bool readChunks(Connection &from, std::string &out, std::int64_t endMs) {
  for (;;) {
    const std::optional<std::string> size = readUntil(from, "\r\n", endMs);
    if (!size) {
      return false;
    }
    const std::size_t n = std::strtoul(size->c_str(), nullptr, 16);
    if (!fill(from, n + 2, endMs)) {
      out += from.Unread.substr(0, n);
      return false;
    }
    out += take(from.Unread, n);
    take(from.Unread, 2);
    if (n == 0) {
      return true;
    }
  }
}

} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

void sleepMs(std::int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

void Record::line(const std::string &text) {
  const std::lock_guard<std::mutex> lock(Mutex);
  File << nowMs() << " ms " << text << std::endl;
}

Connection::~Connection() { ::close(Fd); }

std::unique_ptr<Connection> Connection::open(const std::string &address) {
  const std::size_t colon = address.rfind(':');
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = toSockaddr(address.substr(0, colon),
                                    std::stoi(address.substr(colon + 1)));
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
    ::close(fd);
    return nullptr;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return std::make_unique<Connection>(fd);
}

bool Connection::send(const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(Fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool Connection::receive(std::string &buffer, std::int64_t limitMs) {
  TimedOut = false;
  pollfd waiting{Fd, POLLIN, 0};
  const int ready =
      ::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, limitMs)));
  if (ready == 0) {
    TimedOut = true;
    return false;
  }
  char part[16 << 10];
  const ssize_t n = ::recv(Fd, part, sizeof(part), 0);
  if (n <= 0) {
    return false;
  }
  buffer.append(part, static_cast<std::size_t>(n));
  return true;
}

void Connection::reset() {
  const linger now{1, 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  // Closing by way of dup2 keeps the descriptor for the destructor.
  const int other = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ::dup2(other, Fd);
  ::close(other);
}

void Connection::shutdown() { ::shutdown(Fd, SHUT_RDWR); }

std::string Message::field(const std::string &name) const {
  for (const auto &[key, value] : Fields) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string Message::target() const {
  const std::size_t first = First.find(' ');
  return first == std::string::npos
             ? std::string()
             : First.substr(first + 1, First.rfind(' ') - first - 1);
}

int Message::status() const {
  return First.size() > 9 ? std::atoi(First.c_str() + 9) : 0;
}

std::optional<Message> readRequest(Connection &from, std::int64_t limitMs) {
  const std::int64_t endMs = nowMs() + limitMs;
  std::optional<Message> out = readHead(from, endMs);
  if (!out) {
    return std::nullopt;
  }
  if (lower(out->field("transfer-encoding")) == "chunked") {
    if (!readChunks(from, out->Body, endMs)) {
      return std::nullopt;
    }
  } else if (!out->field("content-length").empty()) {
    const std::size_t n = std::stoul(out->field("content-length"));
    if (!fill(from, n, endMs)) {
      return std::nullopt;
    }
    out->Body = take(from.Unread, n);
  }
  return out;
}

Answer exchange(Connection &connection, const std::string &request,
                std::int64_t limitMs) {
  Answer out;
  out.SentAtMs = nowMs();
  const std::int64_t endMs = out.SentAtMs + limitMs;
  if (connection.send(request)) {
    std::optional<Message> head = readHead(connection, endMs);
    while (head && head->status() / 100 == 1) {
      head = readHead(connection, endMs);
    }
    if (head) {
      out.Head = std::move(*head);
      out.IsNoAnswer = out.Head.First.rfind("HTTP/1.1 ", 0) != 0;
      out.Status = out.Head.status();
      if (request.rfind("HEAD ", 0) == 0 || out.IsNoAnswer) {
        out.Complete = !out.IsNoAnswer;
      } else if (lower(out.Head.field("transfer-encoding")) == "chunked") {
        out.Complete = readChunks(connection, out.Head.Body, endMs);
      } else if (!out.Head.field("content-length").empty()) {
        const std::size_t n = std::stoul(out.Head.field("content-length"));
        out.Complete = fill(connection, n, endMs);
        out.Head.Body = take(connection.Unread, n);
      }
    }
    out.TimedOut = !out.Complete && connection.timedOut();
  }
  out.EndedAtMs = nowMs();
  return out;
}

Listener::Listener(const std::string &ip, Handler handler)
    : OnConnection(std::move(handler)) {
  Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = toSockaddr(ip, 0);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 ||
      ::listen(Fd, 512) != 0 ||
      ::getsockname(Fd, reinterpret_cast<sockaddr *>(&bound), &size) != 0) {
    std::fprintf(stderr, "cannot listen at %s\n", ip.c_str());
    std::exit(2);
  }
  Address = ip + ":" + std::to_string(ntohs(bound.sin_port));
  Thread = std::thread([this] { run(); });
}

void Listener::run() {
  while (!Stopped) {
    pollfd waiting{Fd, POLLIN, 0};
    if (::poll(&waiting, 1, 50) <= 0) {
      continue;
    }
    const int fd = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    std::shared_ptr<Connection> connection = std::make_shared<Connection>(fd);
    const std::lock_guard<std::mutex> lock(Mutex);
    Open.remove_if([](const auto &it) { return it.expired(); });
    Open.push_back(connection);
    ++Serving;
    std::thread([this, connection]() mutable {
      OnConnection(std::move(connection));
      const std::lock_guard<std::mutex> lock(Mutex);
      --Serving;
      Ended.notify_all();
    }).detach();
  }
}

Listener::~Listener() {
  Stopped = true;
  Thread.join();
  ::close(Fd);
  std::unique_lock<std::mutex> lock(Mutex);
  for (const auto &it : Open) {
    if (const std::shared_ptr<Connection> connection = it.lock()) {
      connection->shutdown();
    }
  }
  Ended.wait(lock, [this] { return Serving == 0; });
}

int freePort(const std::string &ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = toSockaddr(ip, 0);
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  ::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof(at));
  ::getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &size);
  ::close(fd);
  return ntohs(bound.sin_port);
}

namespace {
constexpr const char *Base64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
}

std::string encodeBase64(const std::string &bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const unsigned char byte = i + j < bytes.size() ? bytes[i + j] : 0;
      group = group << 8U | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= bytes.size() ? Base64Digits[group >> (18 - 6 * j) & 63U]
                                   : '=';
    }
  }
  return out;
}

std::string decodeBase64(const std::string &text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const char *at = std::strchr(Base64Digits, c);
    if (c == '=' || at == nullptr) {
      break;
    }
    bits = bits << 6U | static_cast<std::uint32_t>(at - Base64Digits);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255U);
    }
  }
  return out;
}

std::string jsonValue(const std::string &json, const std::string &name,
                      std::size_t from) {
  const std::string key = "\"" + name + "\":";
  std::size_t at = json.find(key, from);
  if (at == std::string::npos) {
    return {};
  }
  at += key.size();
  if (json[at] == '"') {
    return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  }
  return json.substr(at, json.find_first_of(",}]", at) - at);
}

std::string queryValue(const std::string &target, const std::string &name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.rfind(name + "=", 0) == 0) {
      return pair.substr(name.size() + 1);
    }
    at = end;
  }
  return {};
}

} // namespace review
