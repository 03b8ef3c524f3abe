#include "process.h"

#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace nutmegsill::standin {

namespace {

constexpr std::chrono::milliseconds PollInterval{10};
constexpr int ExecFailedExitCode = 127;

std::vector<char *> argumentPointers(std::vector<std::string> &all) {
  std::vector<char *> pointers;
  pointers.reserve(all.size() + 1);
  for (std::string &it : all) {
    pointers.push_back(it.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

int exitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

Process::Process(const std::string &program,
                 const std::vector<std::string> &arguments,
                 const std::string &logPath) {
  std::vector<std::string> all{program};
  all.insert(all.end(), arguments.begin(), arguments.end());
  const std::vector<char *> pointers = argumentPointers(all);
  Pid = fork();
  if (Pid == 0) {
    const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // Close inherited sockets, which would otherwise stay open in the child.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(program.c_str(), pointers.data());
    _exit(ExecFailedExitCode);
  }
}

Process::~Process() { kill(); }

Process::Process(Process &&other) noexcept
    : Pid(std::exchange(other.Pid, -1)) {}

Process &Process::operator=(Process &&other) noexcept {
  if (this != &other) {
    kill();
    Pid = std::exchange(other.Pid, -1);
  }
  return *this;
}

void Process::signal(int number) const {
  if (Pid > 0) {
    ::kill(Pid, number);
  }
}

std::optional<int> Process::wait(std::chrono::milliseconds timeout) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + timeout;
  while (Pid > 0) {
    int status = 0;
    if (waitpid(Pid, &status, WNOHANG) == Pid) {
      Pid = -1;
      return exitCode(status);
    }
    if (std::chrono::steady_clock::now() >= deadline) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return std::nullopt;
}

void Process::kill() {
  if (Pid > 0) {
    ::kill(Pid, SIGKILL);
    ::kill(Pid, SIGCONT);
    int status = 0;
    waitpid(Pid, &status, 0);
    Pid = -1;
  }
}

namespace {

bool canBind(unsigned port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const bool bound =
      bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

} // namespace

unsigned findFreePort() {
  // Ports lie below the system's ephemeral range, so that outgoing connections
  // do not take them. The process id selects one of 100 ranges, so that
  // processes that run at the same time rarely try the same ports.
  constexpr unsigned lowest = 20'000;
  constexpr unsigned perProcess = 120;
  constexpr unsigned ranges = 100;
  static unsigned next = 0;
  const unsigned base =
      lowest + static_cast<unsigned>(getpid()) % ranges * perProcess;
  for (unsigned i = 0; i < perProcess; ++i) {
    const unsigned port = base + next++ % perProcess;
    if (canBind(port)) {
      return port;
    }
  }
  return 0;
}

} // namespace nutmegsill::standin
