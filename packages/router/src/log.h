/// Log lines as JSON objects, one a line, on standard output.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegsill {

using LogFacts = std::vector<std::pair<std::string, std::string>>;

/// Prepares glog; `host` is a member of every line.
void startLog(const std::string &program, const std::string &host);

/// Writes {"ts", "host", "kind", "what", facts...}.
void logLine(const std::string &kind, const std::string &what,
             const LogFacts &facts);

} // namespace nutmegsill
