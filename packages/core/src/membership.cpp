#include "membership.h"

#include <algorithm>

namespace nutmegsill::detail {

void Membership::onHostList(const HostList &list) {
  std::map<HostId, Member> fresh;
  for (const Member &it : list.Members) {
    fresh[it.Host] = it;
  }
  if (fresh == Members) {
    return;
  }
  Members = std::move(fresh);
  ++Version;
  Ctx.emit(MembersChanged{list.Members});
  Ctx.decide("members_changed", {{"hosts", std::to_string(Members.size())}});
}

bool Membership::onMessage(const Instance &from) {
  const auto it = Peers.find(from.Host);
  if (it != Peers.end() && from.Life < it->second.Life) {
    return false;
  }
  const bool newLife = it == Peers.end() || it->second.Life < from.Life;
  Peer &peer = Peers[from.Host];
  if (newLife) {
    peer = Peer{};
    peer.Life = from.Life;
    peer.LifeSeenAt = Ctx.Now;
    ++Version;
  }
  peer.HeardAt = Ctx.Now;
  return true;
}

void Membership::noteAnswer(const HostId &host, Time sentAt, bool leaving,
                            Revision config) {
  Peer &peer = Peers[host];
  if (!peer.AnsweredSentAt || *peer.AnsweredSentAt < sentAt) {
    peer.AnsweredSentAt = sentAt;
  }
  peer.Config = std::max(peer.Config, config);
  noteLeaving(host, leaving);
}

void Membership::noteLeaving(const HostId &host, bool leaving) {
  Peer &peer = Peers[host];
  if (peer.Leaving != leaving) {
    peer.Leaving = leaving;
    ++Version;
  }
}

const Peer *Membership::peer(const HostId &host) const {
  const auto it = Peers.find(host);
  return it == Peers.end() ? nullptr : &it->second;
}

const Member *Membership::member(const HostId &host) const {
  const auto it = Members.find(host);
  return it == Members.end() ? nullptr : &it->second;
}

bool Membership::stays(const HostId &host) const {
  const Member *it = member(host);
  if (it == nullptr || it->Leaving) {
    return false;
  }
  const Peer *known = peer(host);
  return host == Ctx.Me.Host ? !Ctx.Self.Leaving
                             : known == nullptr || !known->Leaving;
}

bool Membership::isDead(const Instance &it) const {
  if (it.Host == Ctx.Me.Host) {
    return it.Life != Ctx.Me.Life;
  }
  if (!Members.empty() && member(it.Host) == nullptr) {
    return true;
  }
  const Peer *known = peer(it.Host);
  return known != nullptr && it.Life < known->Life;
}

bool Membership::reachesMajority() const {
  std::size_t reached = 1;
  for (const auto &[host, member] : Members) {
    const Peer *it = peer(host);
    const bool answered =
        host != Ctx.Me.Host && it != nullptr &&
        !olderThan(it->AnsweredSentAt, Ctx.Now, Ctx.Limits.IsolatedAfter);
    reached += answered ? 1 : 0;
  }
  return 2 * reached > Members.size();
}

std::vector<HostId> Membership::ranking(const std::string &key) const {
  std::vector<std::pair<std::uint64_t, HostId>> weighed;
  for (const auto &[host, member] : Members) {
    if (stays(host)) {
      weighed.emplace_back(rendezvousWeight(host, key), host);
    }
  }
  std::sort(weighed.rbegin(), weighed.rend());
  std::vector<HostId> hosts;
  hosts.reserve(weighed.size());
  for (const auto &[weight, host] : weighed) {
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<HostId> Membership::successorsOf(const HostId &owner,
                                             const std::string &key) const {
  constexpr std::size_t wanted = 2;
  const Member *own = member(owner);
  std::vector<HostId> otherZones;
  std::vector<HostId> sameZone;
  for (const HostId &host : ranking(key)) {
    if (host == owner) {
      continue;
    }
    const bool other = own == nullptr || member(host)->Zone != own->Zone;
    (other ? otherZones : sameZone).push_back(host);
  }
  otherZones.insert(otherZones.end(), sameZone.begin(), sameZone.end());
  otherZones.resize(std::min(wanted, otherZones.size()));
  return otherZones;
}

HostId Membership::homeOf(const PoolId &pool, const TeamId &team) const {
  if (HomesVersion != Version) {
    Homes.clear();
    HomesVersion = Version;
  }
  const auto [it, fresh] = Homes.try_emplace({pool, team}, Ctx.Me.Host);
  if (!fresh) {
    return it->second;
  }
  const std::string key = "home/" + pool.Text + "/" + team.Text;
  std::uint64_t best = 0;
  for (const auto &[host, member] : Members) {
    const std::uint64_t weight = stays(host) ? rendezvousWeight(host, key) : 0;
    if (weight > best) {
      best = weight;
      it->second = host;
    }
  }
  return it->second;
}

std::vector<HostId> Membership::heartbeatPeers(bool serviceReachable) const {
  std::vector<HostId> others;
  for (const auto &[host, member] : Members) {
    if (host != Ctx.Me.Host) {
      others.push_back(host);
    }
  }
  if (!serviceReachable || others.size() <= Ctx.Limits.HeartbeatPeers) {
    return others;
  }
  const std::string key = "heartbeat/" + Ctx.Me.Host.Text;
  std::sort(others.begin(), others.end(),
            [&key](const HostId &a, const HostId &b) {
              return rendezvousWeight(a, key) > rendezvousWeight(b, key);
            });
  others.resize(Ctx.Limits.HeartbeatPeers);
  return others;
}

} // namespace nutmegsill::detail
