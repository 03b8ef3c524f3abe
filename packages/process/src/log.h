/// Structured log: one JSON object per line on standard output.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace nutmegsill {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Initialises glog and starts the writer thread; `host` is a member of every
/// line that `logLine` queues.
void startLog(const std::string &program, const std::string &host);

/// Writes the queued lines and ends the writer thread.
void stopLog();

/// Queues {"ts_ms", "host", "kind", "what", fields...} and never blocks on the
/// output. Lines of kind "request" are dropped and counted while the queue is
/// half full, all others while it is full.
void logLine(const std::string &kind, const std::string &what,
             const LogFields &fields);

} // namespace nutmegsill
