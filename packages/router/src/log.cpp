#include "log.h"

#include <chrono>
#include <cstdio>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace nutmegsill {

namespace {

/// Writes messages to standard output without glog's prefix.
class StdoutSink : public google::LogSink {
public:
  void send(google::LogSeverity, const char *, const char *, int,
            const google::LogMessageTime &, const char *message,
            size_t size) override {
    std::string line(message, size);
    line.push_back('\n');
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
  }
};

StdoutSink Sink;
std::string HostName;

} // namespace

void startLog(const std::string &program, const std::string &host) {
  HostName = host;
  google::InitGoogleLogging(program.c_str());
}

void logLine(const std::string &kind, const std::string &what,
             const LogFacts &facts) {
  const std::chrono::system_clock::duration now =
      std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line;
  line["ts_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  line["host"] = HostName;
  line["kind"] = kind;
  line["what"] = what;
  for (const auto &[name, value] : facts) {
    line[name] = value;
  }
  const std::string text = line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&Sink, INFO) << text;
}

} // namespace nutmegsill
