#include "nutmegsill/chart.h"

#include <nlohmann/json.hpp>

namespace nutmegsill {

using nlohmann::json;

namespace {

void checkWord(const std::set<std::string> &known, const std::string &word,
               const std::string &kind, std::vector<std::string> &faults) {
  if (known.count(word) == 0) {
    faults.push_back("unknown " + kind + " \"" + word + "\"");
  }
}

std::optional<Chart::Transition> parseTransition(const json &value) {
  if (!value.is_object() || !value.contains("to") || !value["to"].is_string()) {
    return std::nullopt;
  }
  Chart::Transition step;
  step.To = value["to"].get<std::string>();
  const bool hasGuard = value.contains("guard");
  if (hasGuard && !value["guard"].is_string()) {
    return std::nullopt;
  }
  step.Guard = hasGuard ? value["guard"].get<std::string>() : std::string();
  if (value.size() != (hasGuard ? 2U : 1U)) {
    return std::nullopt;
  }
  return step;
}

} // namespace

std::optional<Chart> Chart::parse(const std::string &name,
                                  const std::string &text,
                                  const ChartWords &words,
                                  std::vector<std::string> &faults) {
  const std::size_t before = faults.size();
  const json root = json::parse(text, nullptr, false);
  const bool shaped = root.is_object() && root.contains("initial") &&
                      root["initial"].is_string() && root.contains("states") &&
                      root["states"].is_object() && root.size() == 2;
  if (!shaped) {
    faults.emplace_back("expected an object with \"initial\" and \"states\"");
    return std::nullopt;
  }
  Chart chart;
  chart.Name = name;
  chart.Initial = root["initial"].get<std::string>();
  checkWord(words.States, chart.Initial, "state", faults);
  for (const auto &[state, steps] : root["states"].items()) {
    checkWord(words.States, state, "state", faults);
    chart.States[state];
    if (!steps.is_object()) {
      faults.push_back("expected an object of events at state " + state);
      continue;
    }
    for (const auto &[event, value] : steps.items()) {
      checkWord(words.Events, event, "event", faults);
      const std::optional<Transition> step = parseTransition(value);
      if (!step) {
        std::string place = state;
        place.append(".").append(event);
        faults.push_back("expected {\"to\", \"guard\"?} at " + place);
        continue;
      }
      checkWord(words.States, step->To, "state", faults);
      if (!step->Guard.empty()) {
        checkWord(words.Guards, step->Guard, "guard", faults);
      }
      chart.States[state][event] = *step;
    }
  }
  std::set<std::string> reached{chart.Initial};
  std::vector<std::string> open{chart.Initial};
  while (!open.empty()) {
    const std::string state = open.back();
    open.pop_back();
    for (const auto &[event, step] : chart.States[state]) {
      if (reached.insert(step.To).second) {
        open.push_back(step.To);
      }
    }
  }
  for (const std::string &state : words.States) {
    if (reached.count(state) == 0) {
      faults.push_back("state \"" + state + "\" is unreachable");
    }
  }
  if (faults.size() != before) {
    return std::nullopt;
  }
  return chart;
}

std::optional<std::string>
Chart::next(const std::string &state, const std::string &event,
            const std::function<bool(const std::string &)> &guard) const {
  const auto it = States.find(state);
  if (it == States.end()) {
    return std::nullopt;
  }
  const auto step = it->second.find(event);
  if (step == it->second.end()) {
    return std::nullopt;
  }
  const bool guarded = !step->second.Guard.empty();
  if (guarded && (!guard || !guard(step->second.Guard))) {
    return std::nullopt;
  }
  return step->second.To;
}

std::vector<std::pair<std::string, std::string>> Chart::steps() const {
  std::vector<std::pair<std::string, std::string>> all;
  for (const auto &[state, events] : States) {
    for (const auto &[event, step] : events) {
      all.emplace_back(state, event);
    }
  }
  return all;
}

} // namespace nutmegsill
