#include "caller_refusals.h"

#include "log.h"

namespace nutmegsill {

namespace {

constexpr std::chrono::seconds LogInterval{1};

} // namespace

void CallerRefusals::count(const std::string &reason, Time now) {
  Counters.countCallerRefusal(Port, reason);
  ++Pending[reason];
  if (now < NextLogAt) {
    return;
  }
  NextLogAt = now + LogInterval;
  LogFields fields{{"port", Port}};
  for (const auto &[name, number] : Pending) {
    fields.emplace_back(name, std::to_string(number));
  }
  logLine("callers", "limited", fields);
  Pending.clear();
}

} // namespace nutmegsill
