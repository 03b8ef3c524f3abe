/// Log lines as JSON objects, one a line, on standard output.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegsill {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Prepares glog and starts the thread that writes; `host` is a member of
/// every line.
void startLog(const std::string &program, const std::string &host);

/// Writes what is queued and ends the thread.
void stopLog();

/// Queues {"ts_ms", "host", "kind", "what", fields...}. Never waits for the
/// output. Lines of kind "request" are dropped and counted while the queue is
/// half full, all others while it is full.
void logLine(const std::string &kind, const std::string &what,
             const LogFields &fields);

} // namespace nutmegsill
