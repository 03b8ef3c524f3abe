/// The operators' commands. Each returns the process's exit code.
#pragma once

#include "admin_client.h"

#include <chrono>
#include <optional>
#include <string>

namespace nutmegsill {

enum ExitCode {
  ExitOk = 0,
  ExitRefused = 1,
  ExitUsage = 2,
  ExitConflict = 3,
  ExitUnavailable = 4,
  ExitNotInForce = 5,
};

struct CommandOptions {
  bool Json = false;
  std::string Author;
  std::optional<std::uint64_t> Base;
  /// How long to wait until every router has the change in force.
  std::chrono::seconds Wait{10};
};

int checkFolder(const std::string &folder, const CommandOptions &options);
int diffFolder(AdminClient &client, const std::string &folder,
               const CommandOptions &options);
int applyFolder(AdminClient &client, const std::string &folder,
                const CommandOptions &options);
int showStatus(AdminClient &client, const CommandOptions &options);
/// `section` is "zones" or "targets", `direction` "out" or "in".
int switchOut(AdminClient &client, const std::string &section,
              const std::string &direction, const std::string &name,
              const CommandOptions &options);

} // namespace nutmegsill
