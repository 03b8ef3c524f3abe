/// Many connections of one test's thread that send bytes and read nothing.
#pragma once

#include "nutmegsill/http_client.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace nutmegsill::standin {

/// The connections stay open until the crowd ends.
class CallerCrowd {
public:
  explicit CallerCrowd(const std::string &address)
      : Server(*parseEndpoint(address)) {}
  ~CallerCrowd() {
    for (const Member &it : Members) {
      ::close(it.Descriptor);
    }
  }
  CallerCrowd(const CallerCrowd &) = delete;
  CallerCrowd &operator=(const CallerCrowd &) = delete;

  /// Opens `count` connections that each send `text`.
  void add(int count, const std::string &text) {
    const auto shared = std::make_shared<const std::string>(text);
    for (int i = 0; i < count; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)::connect(fd, Server.data(), static_cast<socklen_t>(Server.size()));
      Members.push_back({fd, shared, 0});
    }
  }

  /// Sends in turn, `pieceBytes` at a time, until everything is sent or nothing
  /// was taken for a while.
  void send(std::size_t pieceBytes) {
    constexpr std::chrono::milliseconds maxPause{1'000};
    auto lastProgress = std::chrono::steady_clock::now();
    bool unfinished = true;
    while (unfinished &&
           std::chrono::steady_clock::now() - lastProgress < maxPause) {
      unfinished = false;
      bool progress = false;
      for (Member &it : Members) {
        progress = sendSome(it, pieceBytes) || progress;
        unfinished = unfinished || it.Sent < it.Text->size();
      }
      if (progress) {
        lastProgress = std::chrono::steady_clock::now();
      }
      // The server reads small pieces one by one.
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

private:
  struct Member {
    int Descriptor = -1;
    std::shared_ptr<const std::string> Text;
    std::size_t Sent = 0;
  };

  static bool sendSome(Member &member, std::size_t pieceBytes) {
    const std::size_t left = member.Text->size() - member.Sent;
    if (left == 0) {
      return false;
    }
    const ssize_t n =
        ::send(member.Descriptor, member.Text->data() + member.Sent,
               std::min(left, pieceBytes), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      member.Sent += static_cast<std::size_t>(n);
    } else if (errno != EAGAIN && errno != ENOTCONN) {
      // Closed by the server.
      member.Sent = member.Text->size();
    }
    return n > 0;
  }

  Endpoint Server;
  std::vector<Member> Members;
};

} // namespace nutmegsill::standin
