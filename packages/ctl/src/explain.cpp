#include "explain.h"

#include "nutmegsill/json_nesting.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace nutmegsill {

using nlohmann::json;

namespace {

/// Records on the fleet, the store or the process may explain a request if they
/// were logged from this long before its start to this long after its end.
constexpr std::int64_t ContextWindowMs = 3'000;
/// A first event later than this multiple of the expected time means that the
/// target was busier than the router knew.
constexpr int LateFactor = 2;

struct LogRecord {
  std::int64_t TimestampMs = 0;
  json Fields;

  std::string readText(const char *name) const {
    return Fields.contains(name) && Fields[name].is_string()
               ? Fields[name].get<std::string>()
               : std::string();
  }
  /// Returns the value of a number logged as text; -1 if there is none.
  std::int64_t readNumber(const char *name) const {
    const std::string value = readText(name);
    return value.empty() ? -1 : std::atoll(value.c_str());
  }
};

std::optional<LogRecord> parseLogLine(const std::string &line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string::npos || isNestedDeeperThan(line)) {
    return std::nullopt;
  }
  LogRecord record;
  record.Fields = json::parse(line.substr(begin), nullptr, false);
  if (!record.Fields.is_object() || !record.Fields.contains("ts_ms") ||
      !record.Fields["ts_ms"].is_number_integer()) {
    return std::nullopt;
  }
  record.TimestampMs = record.Fields["ts_ms"].get<std::int64_t>();
  return record;
}

bool isContextOf(const LogRecord &record, const LogRecord &request) {
  const bool contextKind = record.readText("kind") == "belief" ||
                           record.readText("kind") == "store" ||
                           record.readText("kind") == "process";
  const std::int64_t begin =
      request.TimestampMs - std::max<std::int64_t>(0, request.readNumber("ms"));
  // A quarantine may be decided long before a request.
  const std::string reason = request.readText("reason");
  for (const char *name : {"request", "part"}) {
    const std::string hash = record.readText(name);
    if (contextKind && !hash.empty() &&
        reason.find(hash) != std::string::npos) {
      return true;
    }
  }
  const bool near = record.TimestampMs >= begin - ContextWindowMs &&
                    record.TimestampMs <= request.TimestampMs + ContextWindowMs;
  return contextKind && near &&
         record.readText("host") == request.readText("host");
}

std::string describeCause(const LogRecord &ended,
                          const std::optional<LogRecord> &dispatched) {
  const std::string outcome = ended.readText("outcome");
  const std::string reason = ended.readText("reason");
  const std::string target = dispatched ? dispatched->readText("target") : "";
  if (outcome == "refused" && reason.starts_with("targets_limited")) {
    return "the targets get as many requests as they state they take; see "
           "belief limit_stated: " +
           reason;
  }
  if (reason.starts_with("request_quarantined")) {
    return "targets ended each time that they ran this request, which did not "
           "run now; see belief request_quarantined: " +
           reason;
  }
  if (reason.starts_with("prompt_quarantined")) {
    return "engines ended under different requests with a part of this prompt, "
           "which did not run; see belief prompt_part_quarantined: " +
           reason;
  }
  if (outcome == "refused") {
    return "the router refused the request, which did not run: " + reason;
  }
  if (outcome == "caller_left") {
    return "the caller disconnected before the response was complete";
  }
  if (outcome == "broken") {
    return "target " + target + " ended the response early: " + reason;
  }
  if (outcome == "failed") {
    return target.empty()
               ? "the router itself gave an error response: " + reason
               : "no usable response from target " + target + ": " + reason;
  }
  if (outcome == "target_error") {
    return "target " + target + " responded with an error: " + reason;
  }
  const bool late = dispatched && dispatched->readNumber("expected_ms") > 0 &&
                    ended.readNumber("first_ms") >
                        LateFactor * dispatched->readNumber("expected_ms");
  return late ? "target " + target +
                    " responded later than expected; check the requests sent "
                    "to it before"
              : "the request completed";
}

} // namespace

bool explainRequest(const std::string &id,
                    const std::vector<std::istream *> &logs,
                    std::ostream &out) {
  std::vector<LogRecord> records;
  for (std::istream *log : logs) {
    std::string line;
    while (std::getline(*log, line)) {
      std::optional<LogRecord> record = parseLogLine(line);
      if (record) {
        records.push_back(std::move(*record));
      }
    }
  }
  std::stable_sort(records.begin(), records.end(),
                   [](const LogRecord &a, const LogRecord &b) {
                     return a.TimestampMs < b.TimestampMs;
                   });
  std::optional<LogRecord> ended;
  std::optional<LogRecord> dispatched;
  for (const LogRecord &it : records) {
    if (it.readText("id") != id) {
      continue;
    }
    (it.readText("what") == "ended" ? ended : dispatched) = it;
  }
  if (!ended && !dispatched) {
    return false;
  }
  const LogRecord &last = ended ? *ended : *dispatched;
  for (const LogRecord &it : records) {
    if (it.readText("id") == id || isContextOf(it, last)) {
      out << it.TimestampMs - last.TimestampMs << " ms  " << it.Fields.dump()
          << "\n";
    }
  }
  out << "cause: "
      << (ended ? describeCause(*ended, dispatched)
                : "no record of the request's end; the router may have stopped")
      << "\n";
  return true;
}

} // namespace nutmegsill
