#include "nutmegsill/state_chart.h"

#include <nlohmann/json.hpp>

namespace nutmegsill {

using nlohmann::json;

namespace {

void checkSymbol(const std::set<std::string> &known, const std::string &symbol,
                 const std::string &kind, std::vector<std::string> &errors) {
  if (known.count(symbol) == 0) {
    errors.push_back("unknown " + kind + " \"" + symbol + "\"");
  }
}

std::optional<StateChart::Transition> parseTransition(const json &value) {
  if (!value.is_object() || !value.contains("to") || !value["to"].is_string()) {
    return std::nullopt;
  }
  StateChart::Transition transition;
  transition.NextState = value["to"].get<std::string>();
  const bool hasGuard = value.contains("guard");
  if (hasGuard && !value["guard"].is_string()) {
    return std::nullopt;
  }
  transition.Guard =
      hasGuard ? value["guard"].get<std::string>() : std::string();
  if (value.size() != (hasGuard ? 2U : 1U)) {
    return std::nullopt;
  }
  return transition;
}

} // namespace

std::optional<StateChart> StateChart::parse(const std::string &name,
                                            const std::string &text,
                                            const StateChartSymbols &symbols,
                                            std::vector<std::string> &errors) {
  const std::size_t before = errors.size();
  const json root = json::parse(text, nullptr, false);
  const bool hasExpectedShape = root.is_object() && root.contains("initial") &&
                                root["initial"].is_string() &&
                                root.contains("states") &&
                                root["states"].is_object() && root.size() == 2;
  if (!hasExpectedShape) {
    errors.emplace_back("expected an object with \"initial\" and \"states\"");
    return std::nullopt;
  }
  StateChart chart;
  chart.Name = name;
  chart.Initial = root["initial"].get<std::string>();
  checkSymbol(symbols.States, chart.Initial, "state", errors);
  for (const auto &[state, transitionsByEvent] : root["states"].items()) {
    checkSymbol(symbols.States, state, "state", errors);
    chart.States[state];
    if (!transitionsByEvent.is_object()) {
      errors.push_back("expected an object of events at state " + state);
      continue;
    }
    for (const auto &[event, value] : transitionsByEvent.items()) {
      checkSymbol(symbols.Events, event, "event", errors);
      const std::optional<Transition> transition = parseTransition(value);
      if (!transition) {
        std::string path = state;
        path.append(".").append(event);
        errors.push_back(
            "expected an object with \"to\" and an optional \"guard\" at " +
            path);
        continue;
      }
      checkSymbol(symbols.States, transition->NextState, "state", errors);
      if (!transition->Guard.empty()) {
        checkSymbol(symbols.Guards, transition->Guard, "guard", errors);
      }
      chart.States[state][event] = *transition;
    }
  }
  std::set<std::string> reachable{chart.Initial};
  std::vector<std::string> unvisited{chart.Initial};
  while (!unvisited.empty()) {
    const std::string state = unvisited.back();
    unvisited.pop_back();
    for (const auto &[event, transition] : chart.States[state]) {
      if (reachable.insert(transition.NextState).second) {
        unvisited.push_back(transition.NextState);
      }
    }
  }
  for (const std::string &state : symbols.States) {
    if (reachable.count(state) == 0) {
      errors.push_back("state \"" + state + "\" is unreachable");
    }
  }
  if (errors.size() != before) {
    return std::nullopt;
  }
  return chart;
}

std::optional<std::string> StateChart::nextState(
    const std::string &state, const std::string &event,
    const std::function<bool(const std::string &)> &guard) const {
  const auto it = States.find(state);
  if (it == States.end()) {
    return std::nullopt;
  }
  const auto transition = it->second.find(event);
  if (transition == it->second.end()) {
    return std::nullopt;
  }
  const bool guarded = !transition->second.Guard.empty();
  if (guarded && (!guard || !guard(transition->second.Guard))) {
    return std::nullopt;
  }
  return transition->second.NextState;
}

std::vector<std::pair<std::string, std::string>>
StateChart::transitions() const {
  std::vector<std::pair<std::string, std::string>> all;
  for (const auto &[state, events] : States) {
    for (const auto &[event, transition] : events) {
      all.emplace_back(state, event);
    }
  }
  return all;
}

} // namespace nutmegsill
