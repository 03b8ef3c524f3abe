/// What goes into the decisions and what comes out of them.
#pragma once

#include "nutmegsill/config.h"
#include "nutmegsill/message.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace nutmegsill {

/// Time passed. Sent every few milliseconds.
struct Tick {};

/// A caller's request, after its key and pool were recognised.
struct CallerRequest {
  RequestId Id;
  TeamId Team;
  PoolId Pool;
  /// Whether the call may be repeated without harm.
  bool Idempotent = true;
  /// Names a call that may not be repeated; never empty for those.
  std::string IdempotencyKey;
  /// True when another router passed the request on.
  bool Forwarded = false;
};

/// The caller closed its connection.
struct CallerGone {
  RequestId Id;
};

/// Cost that the answer has reached so far.
struct AnswerProgress {
  RequestId Id;
  Cost SoFar;
};

/// How an exchange with a target ended.
enum class ExchangeEnd {
  /// The whole answer went to the caller.
  Complete,
  /// No byte of the request left for the target.
  NotSent,
  /// The target said that it did not run the request.
  RefusedByTarget,
  /// The target failed before a byte of the answer reached the caller.
  BrokenBeforeAnswer,
  /// The target failed after a part of the answer reached the caller.
  BrokenMidAnswer,
  /// The caller left before the answer's end.
  CallerLeft,
  /// The caller left and no byte of the request left for the target.
  CallerLeftUnsent,
};

/// The exchange ended with the stated cost.
struct ExchangeEnded {
  RequestId Id;
  ExchangeEnd End = ExchangeEnd::Complete;
  Cost Total;
};

/// A message of a peer, after it was authenticated and parsed.
struct PeerMessage {
  Instance From;
  Message Body;
};

/// A value of the key-value service; `ModRevision` is 0 for an absent key.
struct KvValue {
  std::string Text;
  std::uint64_t ModRevision = 0;
};

struct KvRead {
  std::vector<std::string> Keys;
};
struct KvSwap {
  std::string Key;
  /// The key must have this modification revision; 0 means absent.
  std::uint64_t Expected = 0;
  std::string Text;
  /// Time to live; zero means forever.
  std::chrono::seconds Lifetime{0};
};
struct KvRemove {
  std::string Key;
  std::uint64_t Expected = 0;
};
using PlatformRequest = std::variant<KvRead, KvSwap, KvRemove>;

struct KvValues {
  std::vector<KvValue> Values;
};
/// `Done` is true when the swap took effect, with the new revision.
struct KvSwapped {
  bool Done = false;
  std::uint64_t ModRevision = 0;
};
/// Nothing is known: the call may still take effect.
struct KvFailed {
  std::string Reason;
};
using PlatformResult = std::variant<KvValues, KvSwapped, KvFailed>;

struct PlatformReply {
  CallId Id;
  /// When the call was sent, on this process's clock.
  Time SentAt;
  PlatformResult Result;
};

/// A load report of a target; reports lag behind the truth.
struct LoadReport {
  TargetId Target;
  /// Changes whenever the target starts anew.
  std::string StartId;
  std::uint32_t Running = 0;
};

/// A host of the fleet as the platform's host list gives it.
struct Member {
  HostId Host;
  ZoneId Zone;
  /// "IP:port" for peers.
  std::string PeerAddress;
  /// "IP:port" for callers.
  std::string EntryAddress;
  bool Leaving = false;
  bool operator==(const Member &) const = default;
};

struct HostList {
  std::vector<Member> Members;
};

/// This router has had a configuration accepted by the service.
struct ConfigAccepted {
  /// Text of the head record.
  std::string Head;
  /// Texts by the order of the head's files, then overrides.
  std::vector<std::string> Texts;
};

/// A planned stop begins.
struct StopRequested {};

using EventBody =
    std::variant<Tick, CallerRequest, CallerGone, AnswerProgress, ExchangeEnded,
                 PeerMessage, PlatformReply, LoadReport, HostList,
                 ConfigAccepted, StopRequested>;

struct Event {
  Time Now;
  EventBody Body;
};

/// Sends the request to the target; no byte may have left before.
struct Dispatch {
  RequestId Id;
  TargetId Target;
  std::string Address;
  Epoch Fence;
};

/// Why a request ends without a target's answer.
enum class Refusal {
  QueueFull,
  QueueTimeout,
  NoPool,
  Stopping,
  CutOff,
  NoConfiguration,
  ClaimUnconfirmed,
  RetriesSpent,
  /// The first request with the same key was given up before it ran.
  AttemptAbandoned,
  OutcomeUnknown,
};

struct Refuse {
  RequestId Id;
  Refusal Why = Refusal::QueueFull;
  std::chrono::seconds RetryAfter{1};
};

/// Passes the request to the router that holds the claim of its key.
struct ForwardToHolder {
  RequestId Id;
  HostId Holder;
  std::string Address;
};

/// Gives the request the answer of an earlier attempt at this router, when it
/// is complete.
struct JoinAttempt {
  RequestId Id;
  RequestId Attempt;
};

struct SendPeer {
  HostId To;
  Message Body;
};

struct PlatformCall {
  CallId Id;
  PlatformRequest Request;
};

struct PollLoad {
  TargetId Target;
  std::string Address;
};

/// A new configuration is in force at this router.
struct ConfigInForce {
  std::shared_ptr<const Configuration> Value;
};

/// Peers and entry addresses changed.
struct MembersChanged {
  std::vector<Member> Members;
};

/// All work is done; the process may exit.
struct Stopped {};

/// A decision, with the figures that decided it.
struct Decision {
  std::string What;
  std::vector<std::pair<std::string, std::string>> Facts;
};

/// A step of a state chart was taken.
struct Step {
  std::string Chart;
  std::string From;
  std::string Event;
  std::string To;
};

using Effect = std::variant<Step, Dispatch, Refuse, ForwardToHolder,
                            JoinAttempt, SendPeer, PlatformCall, PollLoad,
                            ConfigInForce, MembersChanged, Stopped, Decision>;

} // namespace nutmegsill
