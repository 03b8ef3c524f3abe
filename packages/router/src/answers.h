/// Answers of calls that may not be repeated, kept for repeats of their key.
#pragma once

#include "nutmegsill/event.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegsill {

/// A whole answer of a target.
struct StoredAnswer {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
};

/// How an attempt ended: an answer, or a refusal for the same reason.
using AttemptOutcome =
    std::variant<std::shared_ptr<const StoredAnswer>, Refusal>;

/// For use from the control thread only.
class Answers {
public:
  using Receiver = std::function<void(AttemptOutcome)>;

  /// Opens an attempt; `fingerprint` identifies the request's content.
  void open(RequestId id, std::uint64_t fingerprint);
  /// Ends an attempt and tells all who wait for it.
  void finish(RequestId id, AttemptOutcome outcome);
  /// Calls `receiver` once the attempt has ended, with "outcome unknown" when
  /// it is not kept. False when the request's content differs.
  bool join(RequestId attempt, std::uint64_t fingerprint, Receiver receiver);

private:
  struct Attempt {
    std::uint64_t Fingerprint = 0;
    std::optional<AttemptOutcome> Outcome;
    std::vector<Receiver> Waiting;
  };
  void evict();

  std::map<RequestId, Attempt> Attempts;
  std::deque<RequestId> Finished;
  std::size_t KeptBytes = 0;
};

} // namespace nutmegsill
