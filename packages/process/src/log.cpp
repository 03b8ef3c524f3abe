#include "log.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <glog/logging.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <thread>

namespace nutmegsill {

namespace {

/// Lines beyond this queue size are dropped: some seconds of a busy router's
/// output.
constexpr std::size_t MaxQueueBytes = 1U << 20U;
/// Lines are collected for this long and written together.
constexpr std::chrono::milliseconds BatchDelay{50};

/// Queues lines of any thread for one writer thread.
class LineWriter {
public:
  void start() {
    Running = true;
    Thread = std::thread([this] { run(); });
  }

  void stop() {
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      if (!Running) {
        return;
      }
      Running = false;
    }
    QueueChanged.notify_one();
    Thread.join();
  }

  void enqueue(std::string_view line, bool droppable) {
    const std::lock_guard<std::mutex> lock(Mutex);
    const std::size_t limit = droppable ? MaxQueueBytes / 2 : MaxQueueBytes;
    if (Queue.size() + line.size() > limit) {
      ++DroppedLines;
      return;
    }
    const bool wasEmpty = Queue.empty();
    Queue.append(line);
    Queue.push_back('\n');
    if (wasEmpty) {
      QueueChanged.notify_one();
    }
  }

private:
  void run() {
    std::unique_lock<std::mutex> lock(Mutex);
    while (Running || !Queue.empty()) {
      QueueChanged.wait(lock, [this] { return !Running || !Queue.empty(); });
      if (Running) {
        lock.unlock();
        std::this_thread::sleep_for(BatchDelay);
        lock.lock();
      }
      std::string batch;
      batch.swap(Queue);
      if (DroppedLines > 0) {
        batch += R"({"kind":"log","what":"lines_dropped","lines":)" +
                 std::to_string(DroppedLines) + "}\n";
        DroppedLines = 0;
      }
      lock.unlock();
      std::fwrite(batch.data(), 1, batch.size(), stdout);
      std::fflush(stdout);
      lock.lock();
    }
  }

  std::mutex Mutex;
  std::condition_variable QueueChanged;
  std::thread Thread;
  std::string Queue;
  std::uint64_t DroppedLines = 0;
  bool Running = false;
};

LineWriter Writer;
std::string HostName;

/// Queues glog's messages without their prefix.
class QueueSink : public google::LogSink {
public:
  explicit QueueSink(bool droppable) : Droppable(droppable) {}
  void send(google::LogSeverity, const char *, const char *, int,
            const google::LogMessageTime &, const char *message,
            size_t size) override {
    Writer.enqueue(std::string_view(message, size), Droppable);
  }

private:
  bool Droppable;
};

QueueSink EventSink(false);
QueueSink RequestSink(true);

} // namespace

void startLog(const std::string &program, const std::string &host) {
  HostName = host;
  google::InitGoogleLogging(program.c_str());
  Writer.start();
}

void stopLog() { Writer.stop(); }

void logLine(const std::string &kind, const std::string &what,
             const LogFields &fields) {
  const std::chrono::system_clock::duration now =
      std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json line;
  line["ts_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  line["host"] = HostName;
  line["kind"] = kind;
  line["what"] = what;
  for (const auto &[name, value] : fields) {
    line[name] = value;
  }
  const std::string text = line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  QueueSink *sink = kind == "request" ? &RequestSink : &EventSink;
  LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink, INFO) << text;
}

} // namespace nutmegsill
