/// Messages between router processes. Every one may be lost, repeated or
/// reordered.
#pragma once

#include "nutmegsill/record.h"
#include "nutmegsill/types.h"

#include <variant>
#include <vector>

namespace nutmegsill {

/// A target at one epoch of its ownership.
struct TargetEpoch {
  TargetId Target;
  Epoch Number;
  auto operator<=>(const TargetEpoch &) const = default;
};

/// The lowest virtual service at which a pool's slots are granted.
struct PoolFloor {
  PoolId Pool;
  VirtualService Floor;
};

/// Regular sign of life. Asks the receiver, as a successor, for promises.
struct Heartbeat {
  Time SentAt;
  Revision Config;
  /// Time since the sender knew `Config` to be the newest.
  Duration ConfigAge;
  bool Leaving = false;
  std::vector<TargetEpoch> AskPromise;
  std::vector<TargetEpoch> Owned;
  std::vector<PoolFloor> Floors;
};

/// Answer to a heartbeat; `EchoSentAt` is on the asker's clock.
struct HeartbeatReply {
  Time EchoSentAt;
  Revision Config;
  Duration ConfigAge;
  bool Leaving = false;
  std::vector<TargetEpoch> Promises;
  std::vector<TargetEpoch> Owned;
  std::vector<PoolFloor> Floors;
};

/// Tells an owner host that `Count` requests of a team wait at the sender.
struct Demand {
  PoolId Pool;
  TeamId Team;
  VirtualService Tag;
  std::uint32_t Count = 0;
  /// Expected service of one request.
  VirtualService Estimate;
  Time SentAt;
};

/// Allows one request of the team to go to the target.
struct Grant {
  GrantId Number;
  TargetId Target;
  Epoch TargetOwnership;
  PoolId Pool;
  TeamId Team;
  /// `SentAt` of the demand, on the receiver's clock.
  Time EchoSentAt;
  /// Slots of the pool still free at the owner.
  std::uint32_t Free = 0;
};

/// Tells an entry that slots of the pool are free and nothing waits for them.
struct Offer {
  PoolId Pool;
  std::uint32_t Free = 0;
};

/// How the use of a grant ended. `Reused`: the request is complete and the
/// entry has put its next one into the same slot.
enum class SettleOutcome { Unused, Completed, Failed, Reused };

/// Frees the slot of a grant, unless it is reused.
struct Settle {
  GrantId Number;
  TargetId Target;
  Epoch TargetOwnership;
  SettleOutcome Outcome = SettleOutcome::Unused;
  /// Team of the next request when the slot is reused.
  TeamId NextTeam{};
};

/// A team's service through the sender, for the team's home.
struct Usage {
  PoolId Pool;
  TeamId Team;
  /// Service through the sender's present life.
  VirtualService Own;
  /// Part of `Own` that some home has acknowledged.
  VirtualService Acknowledged;
  /// Service through all other entries, as the sender last heard it.
  VirtualService Others;
  bool Backlogged = false;
  Time SentAt;
};

/// The service of a team through all other entries, lifts included.
struct UsageReply {
  PoolId Pool;
  TeamId Team;
  VirtualService Others;
  Time EchoSentAt;
};

/// One row of the owner map.
struct OwnerRow {
  TargetId Target;
  Epoch Number;
  Instance Owner;
};

/// New owners, or the whole map for a host that asked for it.
struct OwnerMap {
  std::vector<OwnerRow> Rows;
};

/// Asks a peer for its whole owner map.
struct OwnerMapRequest {};

/// A new owner asks what an entry runs on the target.
struct InFlightQuery {
  TargetId Target;
  Epoch Number;
  Time SentAt;
};

/// A grant that an entry is using.
struct GrantRef {
  Epoch TargetOwnership;
  GrantId Number;
  auto operator<=>(const GrantRef &) const = default;
};

struct InFlightReply {
  TargetId Target;
  Epoch Number;
  Time EchoSentAt;
  std::vector<GrantRef> Held;
};

/// Asks a peer for a configuration at least as new as `AtLeast`.
struct ConfigRequest {
  Revision AtLeast;
};

/// A whole configuration, for a host that cannot reach the service.
struct ConfigReply {
  std::string Head;
  /// Texts by the order of the head's files, then overrides.
  std::vector<std::string> Texts;
};

using Message =
    std::variant<Heartbeat, HeartbeatReply, Demand, Grant, Settle, Usage,
                 UsageReply, OwnerMap, OwnerMapRequest, InFlightQuery,
                 InFlightReply, ConfigRequest, ConfigReply, Offer>;

/// Name of the message's type, for counters and logs.
const char *messageName(const Message &message);

} // namespace nutmegsill
