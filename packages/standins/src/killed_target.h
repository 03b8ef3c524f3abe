/// Target in a process of its own that is killed. Test-only.
#pragma once

#include <string>

namespace nutmegsill::standin {

/// Responds to the first request with an event stream that has neither a length
/// nor chunks, and is killed by SIGKILL before its end.
class KilledTarget {
public:
  KilledTarget(const std::string &address, const std::string &events);
  ~KilledTarget();
  KilledTarget(const KilledTarget &) = delete;
  KilledTarget &operator=(const KilledTarget &) = delete;

private:
  int Pid = -1;
};

} // namespace nutmegsill::standin
