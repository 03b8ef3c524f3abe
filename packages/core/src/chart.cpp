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

std::shared_ptr<const Charts> parseCharts(const ChartTexts &texts,
                                          std::vector<std::string> &faults) {
  const ChartWords target{
      {"cold", "warming", "ready", "draining", "gone"},
      {"completed", "restarted", "drain", "readmit", "emptied"},
      {"limit_full"}};
  const ChartWords request{
      {"received", "claiming", "queued", "dispatched", "passed_on", "done",
       "not_run", "unknown"},
      {"claim", "queue", "refuse", "caller_gone", "claim_confirmed",
       "claim_held", "claim_lost", "grant", "complete", "not_sent",
       "broken_before_answer", "lost"},
      {"not_idempotent", "retry_left", "may_repeat", "nothing_sent"}};
  const ChartWords ownership{
      {"none", "swapping", "waiting", "recovering", "granting", "handing_over"},
      {"claim", "swapped", "handed_over", "lost", "waited", "recovered",
       "hand_over"},
      {}};
  const ChartWords instance{
      {"starting", "serving", "cut_off", "leaving", "gone"},
      {"configured", "isolated", "rejoined", "stop", "emptied"},
      {}};
  std::vector<std::string> found;
  const auto parse = [&](const char *name, const std::string &text,
                         const ChartWords &words) {
    std::vector<std::string> own;
    std::optional<Chart> chart = Chart::parse(name, text, words, own);
    for (const std::string &fault : own) {
      found.push_back(std::string(name) + " chart: " + fault);
    }
    return chart;
  };
  std::optional<Chart> t = parse("target", texts.Target, target);
  std::optional<Chart> r = parse("request", texts.Request, request);
  std::optional<Chart> o = parse("ownership", texts.Ownership, ownership);
  std::optional<Chart> i = parse("instance", texts.Instance, instance);
  faults.insert(faults.end(), found.begin(), found.end());
  if (!found.empty()) {
    return nullptr;
  }
  return std::make_shared<const Charts>(Charts{*t, *r, *o, *i});
}

} // namespace nutmegsill
