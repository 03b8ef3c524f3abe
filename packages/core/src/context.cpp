#include "context.h"

namespace nutmegsill::detail {

void Context::send(const HostId &to, Message message) {
  if (to == Me.Host) {
    Loopback.push_back(std::move(message));
    return;
  }
  emit(SendPeer{to, std::move(message)});
}

CallId Context::call(PlatformRequest request) {
  const CallId id{++LastCall};
  emit(PlatformCall{id, std::move(request)});
  return id;
}

void Context::decide(std::string what,
                     std::vector<std::pair<std::string, std::string>> facts) {
  emit(Decision{std::move(what), std::move(facts)});
}

bool Context::advance(const Chart &chart, std::string &state,
                      const std::string &event,
                      const std::function<bool(const std::string &)> &guard) {
  const std::optional<std::string> to = chart.next(state, event, guard);
  if (!to) {
    return false;
  }
  emit(Step{chart.name(), state, event, *to});
  state = *to;
  return true;
}

} // namespace nutmegsill::detail
