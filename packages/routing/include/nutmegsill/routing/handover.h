/// Decides which new connections a small host hands over to a larger one.
///
/// Answers the load of callers that send everything through one small host,
/// whatever the directory lists. The host relays the bytes of whole
/// connections, which costs a fraction of serving them, to larger hosts of its
/// zone.
#pragma once

#include "nutmegsill/routing/fleet_change.h"
#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/processor_load.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill::routing {

/// Requests a second that a host could serve beyond those it does.
struct SpareCapacity {
  HostId Router;
  double RequestsPerSecond = 0;
};

struct HandoverPolicy {
  ProcessorLoadPolicy Load;
  /// Hand-over begins when requests would wait this long for processor time: a
  /// third of the shortest objective, 150 ms.
  Duration MaxWait = milliseconds(50);
  /// It begins no earlier than this load of the last second: a few requests at
  /// once do not saturate a host.
  double BeginLoad = 0.15;
  /// It ends when all work of the last second would be less than this fraction
  /// of the quota, and `MinTime` has passed.
  double EndLoad = 0.5;
  Duration MinTime = milliseconds(2'000);
  /// Ratio of processor shares from which a peer is larger: relaying costs 0.3
  /// to 0.45 of serving, so that less is gained with equal hosts.
  double MinPeerRatio = 2;
  /// Work of a relayed connection, and of each forwarded piece, relative to a
  /// request: 16 us of 55, and 142 us for a stream of 12 events.
  double RelayedConnectionWork = 0.2;
  double RelayedPieceWork = 0.1;
  /// Work of a request by its kind: 55 and 225 us. On a connection in use a
  /// request takes 37 us.
  double StreamWork = 4;
  double ConnectionWork = 0.3;
  double RequestWork = 0.7;
  /// Load up to which a host takes connections over.
  double OfferedLoad = 0.7;
  /// Spare figures are 0.2 to 1.5 s old when they arrive; one report may be
  /// lost.
  Duration MaxSpareAge = milliseconds(3'000);
  /// Time in which nothing is handed to a peer that refused, or could not be
  /// reached.
  Duration RefusalPause = milliseconds(300);
  Duration FailurePause = milliseconds(2'000);
};

/// Not thread-safe.
class Handover {
public:
  /// A router that takes connections over.
  struct Peer {
    HostId Host;
    /// "IP:port".
    std::string Address;
  };

  Handover(HostId self, double quota, HandoverPolicy policy);

  /// Finds the peers: larger hosts of this host's zone.
  void setView(const FleetView &view);
  void recordLag(Duration lag, Time now);
  /// Records a connection that this host serves. Its first request counts as
  /// soon as it is accepted: a saturated host reads it late.
  void recordConnection(Time now);
  /// Records a request that this host serves.
  void recordRequest(ExecutionSemantics semantics, bool isFirst, Time now);
  /// Records a connection with its first request, a later request, and a piece
  /// of a response that this host relays.
  void recordRelayedConnection(Time now);
  void recordRelayedRequest(Time now);
  void recordRelayedPiece(Time now);
  void receiveSpare(const std::vector<SpareCapacity> &spare, Time now);

  /// Whether the next connection should be handed over.
  bool isActive(Time now);
  /// The peer for the next connection; the connection counts as sent there.
  /// Nothing if all are saturated or none is larger.
  std::optional<Peer> choosePeer(Time now);
  /// Whether some peer may be chosen now.
  bool hasPeer(Time now) const;
  /// Whether a connection that this host serves is to end with its response:
  /// the caller's next one is handed over. Kept connections alone can saturate
  /// a small host.
  bool movesCallers(Time now) { return isActive(now) && hasPeer(now); }
  void recordRefusal(const HostId &peer, Time now);
  void recordFailure(const HostId &peer, Time now);

  /// Whether this host may take a connection over.
  bool mayTakeOver(Time now);
  /// What the load reports state of this host; nothing if no host of its zone
  /// is smaller.
  std::optional<SpareCapacity> ownSpare(Time now);
  /// Returns and clears the beginnings and ends of hand-over.
  std::vector<FleetChange> takeChanges();

private:
  struct PeerState {
    std::string Address;
    double ProcessorShare = 1;
    std::optional<double> Spare;
    Time SpareAt{};
    Time PausedUntil{};
    /// Connections sent to it; halved each second.
    double Sent = 0;
  };
  /// Requests a second that the peer may be sent; 0 if it is not to be chosen.
  double weightOf(const PeerState &peer, Time now) const;
  bool isSaturated(Time now);
  void ageSent(Time now);
  void recordChange(const char *event, Time now);

  HostId Self;
  double Quota;
  HandoverPolicy Policy;
  ProcessorLoad Load;
  std::map<HostId, PeerState> Peers;
  std::uint64_t ViewVersion = 0;
  bool HasSmallerHosts = false;
  bool Active = false;
  Time ActiveSince{};
  std::size_t HandedOver = 0;
  Time AgedAt{};
  std::vector<FleetChange> Changes;
};

} // namespace nutmegsill::routing
