/// State and helpers shared by the parts of the decisions.
#pragma once

#include "nutmegsill/event.h"
#include "nutmegsill/rendezvous.h"
#include "nutmegsill/router.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace nutmegsill::detail {

/// Helper to visit a variant with lambdas.
template <class... Fs> struct Overloaded : Fs... { using Fs::operator()...; };
template <class... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

/// What every part of the decisions may use.
class Context {
public:
  Member Self;
  Instance Me;
  Timing Limits;
  std::shared_ptr<const Charts> ChartSet;
  Time Now;
  std::shared_ptr<const Configuration> Config;
  std::vector<Effect> Out;
  /// Messages of this router to itself, handled within the same event.
  std::deque<Message> Loopback;

  void emit(Effect effect) { Out.push_back(std::move(effect)); }
  void send(const HostId &to, Message message);
  CallId call(PlatformRequest request);
  void decide(std::string what,
              std::vector<std::pair<std::string, std::string>> facts);
  /// Advances `state` by the chart; false when the chart has no such step.
  bool advance(const Chart &chart, std::string &state, const std::string &event,
               const std::function<bool(const std::string &)> &guard = {});

private:
  std::uint64_t LastCall = 0;
};

/// Time since `then`, which may be unset.
inline bool olderThan(const std::optional<Time> &then, Time now, Duration age) {
  return !then || now - *then >= age;
}

} // namespace nutmegsill::detail
