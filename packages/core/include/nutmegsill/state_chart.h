/// State charts that are loaded from JSON and evaluated by the routing code.
#pragma once

#include "nutmegsill/types.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegsill {

/// The names of states, events and guards that a chart may use.
struct StateChartSymbols {
  std::set<std::string> States;
  std::set<std::string> Events;
  std::set<std::string> Guards;
};

/// A validated, immutable state chart.
class StateChart {
public:
  struct Transition {
    std::string NextState;
    /// Name of the guard; empty for an unconditional transition.
    std::string Guard;
  };

  /// Parses and validates a chart. Malformed JSON, unknown names and
  /// unreachable states are errors. On failure, appends the errors to `errors`
  /// and returns nothing.
  static std::optional<StateChart> parse(const std::string &name,
                                         const std::string &text,
                                         const StateChartSymbols &symbols,
                                         std::vector<std::string> &errors);

  const std::string &name() const { return Name; }
  const std::string &initial() const { return Initial; }

  /// Returns the state that `event` leads to, or nothing if the chart has no
  /// transition for it or the transition's guard does not hold. Guarded
  /// transitions are not taken if `guard` is empty.
  std::optional<std::string>
  nextState(const std::string &state, const std::string &event,
            const std::function<bool(const std::string &)> &guard = {}) const;

  /// Returns all (state, event) pairs that have a transition; the fault matrix
  /// iterates over them.
  std::vector<std::pair<std::string, std::string>> transitions() const;

private:
  std::string Name;
  std::string Initial;
  std::map<std::string, std::map<std::string, Transition>> States;
};

} // namespace nutmegsill
