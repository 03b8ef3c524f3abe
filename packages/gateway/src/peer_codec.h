/// Protobuf encoding of the messages between routers.
#pragma once

#include "nutmegsill/routing/load_report.h"
#include "nutmegsill/routing/store_sharing.h"
#include "nutmegsill/routing/stream_origins.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace nutmegsill::gateway {

/// The sender's clock, which the receiver puts into its next proof.
struct ClockStamp {
  Time Stamp{};
};

using PeerMessage =
    std::variant<routing::LoadReport, routing::RelayedChanges,
                 routing::StoreProof, ClockStamp, routing::OriginQuestion,
                 routing::OriginAnswer>;

/// Name of the message's kind, for metrics.
const char *peerMessageName(const PeerMessage &message);

std::string encodePeerMessage(const PeerMessage &message);
/// Returns nothing when `bytes` is not a message, a rate in it is negative or
/// not finite, or lists in it differ in length or are too long.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace nutmegsill::gateway
