/// The hosts of the fleet: the platform's list joined with heartbeats.
#pragma once

#include "context.h"

#include <map>
#include <optional>
#include <set>

namespace nutmegsill::detail {

/// What heartbeats told about a host.
struct Peer {
  Incarnation Life;
  Time HeardAt;
  /// Own send time of the last heartbeat that the peer answered.
  std::optional<Time> AnsweredSentAt;
  Revision Config;
  bool Leaving = false;
  Time LifeSeenAt;
};

class Membership {
public:
  explicit Membership(Context &context) : Ctx(context) {}

  void onHostList(const HostList &list);
  /// Notes a sign of life; a lower life than the known one is refused.
  bool onMessage(const Instance &from);
  void noteAnswer(const HostId &host, Time sentAt, bool leaving,
                  Revision config);
  void noteLeaving(const HostId &host, bool leaving);

  const std::map<HostId, Member> &members() const { return Members; }
  const Peer *peer(const HostId &host) const;
  const Member *member(const HostId &host) const;
  /// True when the host is not leaving by the list or by its own word.
  bool stays(const HostId &host) const;
  /// True when this life of the host has certainly ended.
  bool isDead(const Instance &it) const;
  /// True when more than half of the listed hosts, this one included, answered
  /// heartbeats sent within `IsolatedAfter`.
  bool reachesMajority() const;
  /// Hosts for `key` in rendezvous order: staying ones only.
  std::vector<HostId> ranking(const std::string &key) const;
  /// The two best hosts after `owner` in other zones than its own, if possible.
  std::vector<HostId> successorsOf(const HostId &owner,
                                   const std::string &key) const;
  /// The host that keeps a team's totals.
  HostId homeOf(const PoolId &pool, const TeamId &team) const;
  /// Peers that get a heartbeat whatever they own.
  std::vector<HostId> heartbeatPeers(bool serviceReachable) const;
  /// Grows whenever rankings may have changed.
  std::uint64_t version() const { return Version; }

private:
  Context &Ctx;
  std::map<HostId, Member> Members;
  std::map<HostId, Peer> Peers;
  std::uint64_t Version = 1;
  mutable std::uint64_t HomesVersion = 0;
  mutable std::map<std::pair<PoolId, TeamId>, HostId> Homes;
};

} // namespace nutmegsill::detail
