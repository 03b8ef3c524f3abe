#include "nutmegsill/routing/unreadable_reports.h"

#include <utility>

namespace nutmegsill::routing {

UnreadableReports::Decision
UnreadableReports::record(const UnreadableItem &item, Time now) {
  Decision out;
  if (now >= IntervalEnd) {
    out.LeftOut = std::exchange(LeftOut, 0);
    Reports = 0;
    IntervalEnd = now + Policy.Interval;
  }
  if (LastReasons.size() >= Policy.MaxRemembered &&
      LastReasons.count(item.Key) == 0) {
    LastReasons.clear();
  }
  std::string &last = LastReasons[item.Key];
  if (last == item.Reason) {
    return out;
  }
  last = item.Reason;
  if (Reports >= Policy.MaxReports) {
    ++LeftOut;
    return out;
  }
  ++Reports;
  out.Reports = true;
  return out;
}

} // namespace nutmegsill::routing
