#include "nutmegsill/routing/store_sharing.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>

namespace nutmegsill::routing {

std::vector<HostId> storeSharingGroup(const std::vector<RouterEntry> &routers,
                                      const HostId &self,
                                      std::size_t groupSize) {
  std::vector<HostId> out;
  const auto own =
      std::find_if(routers.begin(), routers.end(),
                   [&self](const RouterEntry &it) { return it.Host == self; });
  if (own == routers.end()) {
    return out;
  }
  const std::size_t total = routers.size();
  const std::size_t groups = (total + groupSize - 1) / groupSize;
  const std::size_t index = static_cast<std::size_t>(own - routers.begin());
  for (std::size_t i = 0; i < total; ++i) {
    if (i != index && i * groups / total == index * groups / total) {
      out.push_back(routers[i].Host);
    }
  }
  return out;
}

std::uint64_t StoreSharing::rankOf(const HostId &host) const {
  return rendezvousWeight(host, "store_reader");
}

void StoreSharing::setGroup(const std::vector<HostId> &peers) {
  std::map<HostId, Peer> group;
  for (const HostId &it : peers) {
    const auto old = Peers.find(it);
    Peer peer = old == Peers.end() ? Peer() : std::move(old->second);
    peer.Rank = rankOf(it);
    group.emplace(it, std::move(peer));
  }
  Peers = std::move(group);
}

bool StoreSharing::isPrimaryReader() const {
  const std::uint64_t own = rankOf(Self.Host);
  std::size_t ahead = 0;
  for (const auto &[host, peer] : Peers) {
    ahead += peer.Rank > own ? 1 : 0;
  }
  return ahead < Policy.ReaderCount;
}

bool StoreSharing::isOutdated(std::optional<Time> currentAsOf, Time now) const {
  return !currentAsOf || now - *currentAsOf > Policy.MaxProofAge;
}

std::size_t StoreSharing::readersAhead(Time now) const {
  const std::uint64_t own = rankOf(Self.Host);
  std::size_t ahead = 0;
  for (const auto &[host, peer] : Peers) {
    const bool reads =
        peer.LastProofAt && now - *peer.LastProofAt < Policy.ProofTimeout;
    ahead += reads && peer.Rank > own ? 1 : 0;
  }
  return ahead;
}

bool StoreSharing::readsStore(std::optional<Time> currentAsOf, Time now) const {
  return isOutdated(currentAsOf, now) || readersAhead(now) < Policy.ReaderCount;
}

bool StoreSharing::watchesStore(std::optional<Time> currentAsOf,
                                Time now) const {
  return isOutdated(currentAsOf, now) || readersAhead(now) == 0;
}

void StoreSharing::recordStamp(const Instance &from, Time stamp) {
  const auto it = Peers.find(from.Host);
  if (it == Peers.end()) {
    return;
  }
  std::optional<StampEcho> &known = it->second.Stamp;
  // A late message of an earlier process must not replace a stamp of the
  // present one.
  if (!known || known->Router.Incarnation < from.Incarnation ||
      (known->Router == from && known->Stamp < stamp)) {
    known = StampEcho{from, stamp};
  }
}

std::vector<StampEcho> StoreSharing::stamps() const {
  std::vector<StampEcho> out;
  for (const auto &[host, peer] : Peers) {
    if (peer.Stamp) {
      out.push_back(*peer.Stamp);
    }
  }
  return out;
}

std::optional<Time> StoreSharing::recordProof(const HostId &from,
                                              const StoreProof &proof,
                                              Time now) {
  const auto it = Peers.find(from);
  if (it == Peers.end()) {
    return std::nullopt;
  }
  it->second.LastProofAt = now;
  for (const StampEcho &echo : proof.Stamps) {
    if (echo.Router == Self && echo.Stamp <= now) {
      return echo.Stamp;
    }
  }
  return std::nullopt;
}

} // namespace nutmegsill::routing
