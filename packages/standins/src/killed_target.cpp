#include "killed_target.h"

#include "nutmegsill/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <string_view>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace nutmegsill::standin {

namespace {

/// Runs in the child, of which no other thread exists: system calls only.
[[noreturn]] void serve(int listening, const std::string &events) {
  constexpr int firstFreeDescriptor = 3;
  constexpr int maxDescriptors = 1'024;
  constexpr useconds_t readDelayUs = 20'000;
  constexpr std::string_view name = "\r\nRequest-Id: ";
  // The parent's connections must end when the parent closes them.
  for (int i = firstFreeDescriptor; i < maxDescriptors; ++i) {
    if (i != listening) {
      ::close(i);
    }
  }
  const int connection = ::accept(listening, nullptr, nullptr);
  std::string head(4'096, '\0');
  const ssize_t n = ::recv(connection, head.data(), head.size(), 0);
  head.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
  const std::size_t at = head.find(name);
  if (at != std::string::npos) {
    const std::size_t begin = at + name.size();
    const std::string id = head.substr(begin, head.find("\r\n", begin) - begin);
    const std::string text = "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                             "\r\nSignature: s-" + id +
                             "\r\nContent-Type: text/event-stream\r\n"
                             "Connection: close\r\n\r\n" +
                             events;
    (void)::send(connection, text.data(), text.size(), MSG_NOSIGNAL);
    ::usleep(readDelayUs);
  }
  ::raise(SIGKILL);
  ::_exit(1);
}

} // namespace

KilledTarget::KilledTarget(const std::string &address,
                           const std::string &events) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io, *parseEndpoint(address));
  Pid = ::fork();
  if (Pid == 0) {
    serve(acceptor.native_handle(), events);
  }
}

KilledTarget::~KilledTarget() {
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
}

} // namespace nutmegsill::standin
