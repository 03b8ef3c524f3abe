#include "nutmegsill/routing/load_report.h"

namespace nutmegsill::routing {

void SentPromptLog::add(const SentPrompts &prompts) {
  SentPrompts &sum = Targets[prompts.Target];
  sum.Target = prompts.Target;
  sum.PrefillTokens += prompts.PrefillTokens;
  sum.Parts.insert(sum.Parts.end(), prompts.Parts.begin(), prompts.Parts.end());
}

std::vector<SentPrompts> SentPromptLog::take() {
  std::vector<SentPrompts> out;
  out.reserve(Targets.size());
  for (auto &[target, prompts] : Targets) {
    out.push_back(std::move(prompts));
  }
  Targets.clear();
  return out;
}

} // namespace nutmegsill::routing
