/// State charts read from JSON files and interpreted by the decisions.
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

/// The symbols that the code knows for one chart.
struct StateChartSymbols {
  std::set<std::string> States;
  std::set<std::string> Events;
  std::set<std::string> Guards;
};

/// A checked state chart.
class StateChart {
public:
  struct Transition {
    std::string NextState;
    /// Empty when the transition is always allowed.
    std::string Guard;
  };

  /// Parses a chart. Unknown symbols and unreachable states are errors; every
  /// fault is added to `errors` and nothing is returned.
  static std::optional<StateChart> parse(const std::string &name,
                                         const std::string &text,
                                         const StateChartSymbols &symbols,
                                         std::vector<std::string> &errors);

  const std::string &name() const { return Name; }
  const std::string &initial() const { return Initial; }

  /// Returns the state after `event`, or nothing when the chart has no
  /// transition for it or the guard does not hold.
  std::optional<std::string>
  nextState(const std::string &state, const std::string &event,
            const std::function<bool(const std::string &)> &guard = {}) const;

  /// All (state, event) pairs with a transition, for the fault matrix.
  std::vector<std::pair<std::string, std::string>> transitions() const;

private:
  std::string Name;
  std::string Initial;
  std::map<std::string, std::map<std::string, Transition>> States;
};

} // namespace nutmegsill
