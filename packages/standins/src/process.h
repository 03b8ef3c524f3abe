/// Processes of a local fleet, started and ended by tests. Test-only.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::standin {

/// A child process; killed at the end of its life in the test.
class Process {
public:
  /// Starts `program`; its output goes to `logPath`.
  Process(const std::string &program, const std::vector<std::string> &arguments,
          const std::string &logPath);
  ~Process();
  Process(Process &&other) noexcept;
  Process &operator=(Process &&other) noexcept;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int number) const;
  /// The exit code, or nothing when the process still runs after `timeout`.
  std::optional<int> wait(std::chrono::milliseconds timeout);
  /// Kills the process and waits for its end.
  void kill();
  bool isRunning() const { return Pid > 0; }
  int pid() const { return Pid; }

private:
  int Pid = -1;
};

/// A TCP port of the loopback address that was free a moment ago and that no
/// outgoing connection takes.
unsigned findFreePort();

} // namespace nutmegsill::standin
