#include "nutmegsill/routing/handover.h"

#include <algorithm>
#include <xxhash.h>

namespace nutmegsill::routing {

namespace {

constexpr Duration AgingInterval = milliseconds(1'000);

/// A fraction of one connection by which a host's order of the peers differs
/// from another host's.
double offsetOf(const HostId &self, const HostId &peer) {
  const std::string text = self.Text + " " + peer.Text;
  return static_cast<double>(XXH64(text.data(), text.size(), 0) % 1000) / 1e3;
}

std::string percent(double value) {
  return std::to_string(static_cast<int>(value * 100));
}

} // namespace

Handover::Handover(HostId self, double quota, HandoverPolicy policy)
    : Self(std::move(self)), Quota(quota), Policy(policy),
      Load(quota, policy.Load) {}

void Handover::setView(const FleetView &view) {
  if (view.Version == ViewVersion) {
    return;
  }
  ViewVersion = view.Version;
  const auto own =
      std::find_if(view.Routers.begin(), view.Routers.end(),
                   [this](const RouterEntry &it) { return it.Host == Self; });
  HasSmallerHosts = false;
  std::map<HostId, PeerState> peers;
  if (own != view.Routers.end()) {
    for (const RouterEntry &it : view.Routers) {
      if (it.Zone != own->Zone || it.Host == Self) {
        continue;
      }
      HasSmallerHosts =
          HasSmallerHosts || it.ProcessorShare * Policy.MinPeerRatio <= Quota;
      if (it.HandoverAddress.empty() ||
          it.ProcessorShare < Quota * Policy.MinPeerRatio) {
        continue;
      }
      PeerState state;
      const auto old = Peers.find(it.Host);
      if (old != Peers.end()) {
        state = old->second;
      } else {
        state.Sent = offsetOf(Self, it.Host);
      }
      if (state.Address != it.HandoverAddress) {
        state.PausedUntil = Time{};
      }
      state.Address = it.HandoverAddress;
      state.ProcessorShare = it.ProcessorShare;
      peers.emplace(it.Host, std::move(state));
    }
  }
  Peers = std::move(peers);
}

void Handover::recordLag(Duration lag, Time now) {
  Load.recordLag(lag, now);
  isActive(now);
}

void Handover::recordConnection(Time now) {
  Load.addOwn(Policy.ConnectionWork + Policy.RequestWork, now);
}

void Handover::recordRequest(ExecutionSemantics semantics, bool isFirst,
                             Time now) {
  const bool isStream = semantics == ExecutionSemantics::Stream;
  const double work = isStream ? Policy.StreamWork : Policy.RequestWork;
  Load.addOwn(isFirst ? work - Policy.RequestWork : work, now);
}

void Handover::recordRelayedConnection(Time now) {
  Load.addRelayed(Policy.ConnectionWork + Policy.RequestWork,
                  Policy.RelayedConnectionWork + Policy.RelayedPieceWork, now);
}

void Handover::recordRelayedRequest(Time now) {
  Load.addRelayed(Policy.RequestWork, Policy.RelayedPieceWork, now);
}

void Handover::recordRelayedPiece(Time now) {
  Load.addRelayed(2 * Policy.RelayedPieceWork, Policy.RelayedPieceWork, now);
}

void Handover::receiveSpare(const std::vector<SpareCapacity> &spare, Time now) {
  for (const SpareCapacity &it : spare) {
    const auto peer = Peers.find(it.Router);
    if (peer != Peers.end()) {
      peer->second.Spare = it.RequestsPerSecond;
      peer->second.SpareAt = now;
    }
  }
}

bool Handover::isSaturated(Time now) {
  return (Load.expectedWait(now) > Policy.MaxWait || Load.isLagging()) &&
         Load.demandedLoad(now) > Policy.BeginLoad;
}

bool Handover::isActive(Time now) {
  if (!Active) {
    if (!Peers.empty() && isSaturated(now)) {
      Active = true;
      ActiveSince = now;
      recordChange("handover_began", now);
    }
    return Active;
  }
  const bool calm =
      Load.demandedLoad(now) < Policy.EndLoad && !Load.isLagging();
  if (Peers.empty() || (calm && now - ActiveSince >= Policy.MinTime)) {
    recordChange("handover_ended", now);
    Active = false;
    HandedOver = 0;
    Load.resetWait();
  }
  return Active;
}

double Handover::weightOf(const PeerState &peer, Time now) const {
  if (now < peer.PausedUntil) {
    return 0;
  }
  if (peer.Spare && now - peer.SpareAt <= Policy.MaxSpareAge) {
    return *peer.Spare >= 1 ? *peer.Spare : 0;
  }
  // Half of what the peer can serve at this host's cost of a request.
  return Load.capacity() * peer.ProcessorShare / std::max(Quota, 1e-3) / 2;
}

bool Handover::hasPeer(Time now) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &it) {
    return weightOf(it.second, now) > 0;
  });
}

void Handover::ageSent(Time now) {
  while (now - AgedAt >= AgingInterval) {
    const bool isLong = now - AgedAt > 10 * AgingInterval;
    AgedAt = isLong ? now : AgedAt + AgingInterval;
    for (auto &[host, peer] : Peers) {
      peer.Sent = isLong ? offsetOf(Self, host) : peer.Sent / 2;
    }
  }
}

std::optional<Handover::Peer> Handover::choosePeer(Time now) {
  ageSent(now);
  std::pair<const HostId, PeerState> *best = nullptr;
  double lowest = 0;
  for (auto &it : Peers) {
    const double weight = weightOf(it.second, now);
    if (weight <= 0) {
      continue;
    }
    const double relative = (it.second.Sent + 1) / weight;
    if (best == nullptr || relative < lowest) {
      best = &it;
      lowest = relative;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  best->second.Sent += 1;
  ++HandedOver;
  return Peer{best->first, best->second.Address};
}

void Handover::recordRefusal(const HostId &peer, Time now) {
  const auto it = Peers.find(peer);
  if (it != Peers.end()) {
    it->second.PausedUntil = now + Policy.RefusalPause;
  }
}

void Handover::recordFailure(const HostId &peer, Time now) {
  const auto it = Peers.find(peer);
  if (it != Peers.end()) {
    it->second.PausedUntil = now + Policy.FailurePause;
  }
}

bool Handover::mayTakeOver(Time now) { return !isSaturated(now); }

std::optional<SpareCapacity> Handover::ownSpare(Time now) {
  if (!HasSmallerHosts) {
    return std::nullopt;
  }
  const double spare = Policy.OfferedLoad - Load.ownLoad(now);
  return SpareCapacity{
      Self, isSaturated(now) ? 0.0 : std::max(0.0, spare * Load.capacity())};
}

void Handover::recordChange(const char *event, Time now) {
  Changes.push_back(
      {event,
       {{"demand_percent", percent(Load.demandedLoad(now))},
        {"capacity", std::to_string(static_cast<int>(Load.capacity()))},
        {"peers", std::to_string(Peers.size())},
        {"handed_over", std::to_string(HandedOver)}}});
}

std::vector<FleetChange> Handover::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace nutmegsill::routing
