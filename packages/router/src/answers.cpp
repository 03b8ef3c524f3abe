#include "answers.h"

namespace nutmegsill {

namespace {

constexpr std::size_t MaxKeptBytes = 16U << 20U;
constexpr std::size_t MaxKeptAttempts = 20'000;

std::size_t bytesOf(const AttemptOutcome &outcome) {
  const auto *answer =
      std::get_if<std::shared_ptr<const StoredAnswer>>(&outcome);
  return answer == nullptr || !*answer ? 0 : (*answer)->Body.size();
}

} // namespace

void Answers::open(RequestId id, std::uint64_t fingerprint) {
  Attempts[id].Fingerprint = fingerprint;
}

void Answers::finish(RequestId id, AttemptOutcome outcome) {
  const auto it = Attempts.find(id);
  if (it == Attempts.end() || it->second.Outcome) {
    return;
  }
  KeptBytes += bytesOf(outcome);
  it->second.Outcome = outcome;
  Finished.push_back(id);
  for (const Receiver &receiver : it->second.Waiting) {
    receiver(outcome);
  }
  it->second.Waiting.clear();
  evict();
}

void Answers::evict() {
  while (KeptBytes > MaxKeptBytes || Finished.size() > MaxKeptAttempts) {
    const auto it = Attempts.find(Finished.front());
    Finished.pop_front();
    KeptBytes -= bytesOf(*it->second.Outcome);
    Attempts.erase(it);
  }
}

bool Answers::join(RequestId attempt, std::uint64_t fingerprint,
                   Receiver receiver) {
  const auto it = Attempts.find(attempt);
  if (it == Attempts.end()) {
    receiver(Refusal::OutcomeUnknown);
    return true;
  }
  if (it->second.Fingerprint != fingerprint) {
    return false;
  }
  if (it->second.Outcome) {
    receiver(*it->second.Outcome);
  } else {
    it->second.Waiting.push_back(std::move(receiver));
  }
  return true;
}

} // namespace nutmegsill
