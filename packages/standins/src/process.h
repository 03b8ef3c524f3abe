/// Child processes of tests. Test-only.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::standin {

/// A child process. The destructor kills it if it still runs.
class Process {
public:
  /// Starts `program`; standard output and standard error are appended to
  /// `logPath`. The child exits with code 127 if `program` cannot be executed.
  Process(const std::string &program, const std::vector<std::string> &arguments,
          const std::string &logPath);
  ~Process();
  Process(Process &&other) noexcept;
  Process &operator=(Process &&other) noexcept;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int number) const;
  /// Waits for the process to end. Returns its exit code, 128 plus the signal
  /// number when a signal ended it, or nothing when it still runs after
  /// `timeout` or was reaped by an earlier `wait` or `kill`.
  std::optional<int> wait(std::chrono::milliseconds timeout);
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  /// True until `wait` or `kill` has reaped the process, even when it has ended
  /// before.
  bool isRunning() const { return Pid > 0; }
  int pid() const { return Pid; }

private:
  int Pid = -1;
};

/// A TCP port of the loopback address that was free when checked and that lies
/// below the range of ephemeral ports; 0 when none of the 120 ports that this
/// process tries is free.
unsigned findFreePort();

} // namespace nutmegsill::standin
