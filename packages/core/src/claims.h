/// At most once: one confirmed claim per idempotency key before a dispatch.
#pragma once

#include "membership.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace nutmegsill::detail {

/// A claim is confirmed; the request may be queued.
struct ClaimConfirmed {
  RequestId Id;
  /// When the claim was sent; a dispatch must follow within the window.
  Time SentAt;
};
/// Another router runs or ran the key.
struct ClaimHeldBy {
  RequestId Id;
  HostId Holder;
  std::string Address;
};
/// An attempt at this router runs or ran the key.
struct ClaimJoins {
  RequestId Id;
  RequestId Attempt;
};
/// Nobody can tell whether the key ran.
struct ClaimUnknown {
  RequestId Id;
};
/// The claim could not be confirmed; nothing ran.
struct ClaimFailed {
  RequestId Id;
};
using ClaimResult = std::variant<ClaimConfirmed, ClaimHeldBy, ClaimJoins,
                                 ClaimUnknown, ClaimFailed>;

class Claims {
public:
  Claims(Context &context, Membership &membership)
      : Ctx(context), Members(membership) {}

  /// Starts to claim the request's key; may answer at once.
  std::optional<ClaimResult> begin(const CallerRequest &request);
  /// Takes the reply when this part made the call.
  bool onReply(const PlatformReply &reply);
  /// Results that came up since the last call.
  std::vector<ClaimResult> takeResults();
  /// Notes how the attempt ended. `ran` is false only when nothing was sent.
  void finish(RequestId id, bool ran);
  void onTick();

private:
  enum class Phase { Claiming, Reading, Held, Finished };
  /// A later request with the same key that waits for the claim's result.
  struct Waiter {
    RequestId Id;
    bool Forwarded = false;
  };
  /// An attempt of this router at one key.
  struct Attempt {
    TeamId Team;
    std::string Key;
    bool Forwarded = false;
    Phase At = Phase::Claiming;
    Time SentAt;
    std::uint64_t ModRevision = 0;
    std::uint32_t Tries = 0;
    Time FinishedAt;
    std::vector<Waiter> Waiters;
  };

  std::string attemptId(RequestId id) const;
  void claim(RequestId id, Attempt &attempt, std::uint64_t expected);
  void read(RequestId id, Attempt &attempt);
  std::optional<ClaimResult> onSwapped(RequestId id, Attempt &attempt,
                                       Time sentAt, const KvSwapped &result);
  std::optional<ClaimResult> onRead(RequestId id, Attempt &attempt,
                                    const KvValue &value);
  std::optional<ClaimResult> onFailed(RequestId id, Attempt &attempt);
  ClaimResult confirm(RequestId id, Attempt &attempt, std::uint64_t mod);
  /// Gives the result to the request and, as fits them, to its waiters.
  void resolve(RequestId id, const ClaimResult &result,
               const std::vector<Waiter> &waiters);
  void abandon(RequestId id);
  void remove(RequestId id, const Attempt &attempt);

  Context &Ctx;
  Membership &Members;
  std::map<RequestId, Attempt> Attempts;
  std::map<std::pair<TeamId, std::string>, RequestId> ByKey;
  /// Attempts that ended without running, by claim text, to reuse their claim.
  std::map<std::string, Time> NotRun;
  std::map<CallId, RequestId> Calls;
  std::deque<RequestId> Finished;
  std::vector<ClaimResult> Results;
};

} // namespace nutmegsill::detail
