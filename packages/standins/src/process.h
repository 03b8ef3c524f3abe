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
  /// The exit code, or nothing when the process still runs after `patience`.
  std::optional<int> wait(std::chrono::milliseconds patience);
  /// Kills the process and waits for its end.
  void kill();
  bool running() const { return Id > 0; }
  int id() const { return Id; }

private:
  int Id = -1;
};

/// A TCP port of the loopback address that was free a moment ago and that no
/// outgoing connection takes.
unsigned freePort();

} // namespace nutmegsill::standin
