#include "nutmegsill/codec.h"

#include "peer.pb.h"

#include <charconv>

namespace nutmegsill {

namespace {

std::int64_t micros(Time time) { return time.time_since_epoch().count(); }
Time timeFrom(std::int64_t value) { return Time(Duration(value)); }

template <class List>
void putTargets(const std::vector<TargetEpoch> &from, List *out) {
  for (const TargetEpoch &it : from) {
    wire::TargetEpoch *row = out->Add();
    row->set_target(it.Target.Text);
    row->set_epoch(it.Number.Value);
  }
}

template <class List> std::vector<TargetEpoch> getTargets(const List &list) {
  std::vector<TargetEpoch> all;
  for (const wire::TargetEpoch &it : list) {
    all.push_back({TargetId{it.target()}, Epoch{it.epoch()}});
  }
  return all;
}

template <class List>
void putFloors(const std::vector<PoolFloor> &from, List *out) {
  for (const PoolFloor &it : from) {
    wire::PoolFloor *row = out->Add();
    row->set_pool(it.Pool.Text);
    row->set_floor_milli(it.Floor.Milli);
  }
}

template <class List> std::vector<PoolFloor> getFloors(const List &list) {
  std::vector<PoolFloor> all;
  for (const wire::PoolFloor &it : list) {
    all.push_back({PoolId{it.pool()}, VirtualService{it.floor_milli()}});
  }
  return all;
}

void put(const Heartbeat &from, wire::Peer &peer) {
  wire::Heartbeat &out = *peer.mutable_heartbeat();
  out.set_sent_at_us(micros(from.SentAt));
  out.set_config(from.Config.Value);
  out.set_config_age_us(from.ConfigAge.count());
  out.set_leaving(from.Leaving);
  putTargets(from.AskPromise, out.mutable_ask_promise());
  putTargets(from.Owned, out.mutable_owned());
  putFloors(from.Floors, out.mutable_floors());
}

Heartbeat get(const wire::Heartbeat &in) {
  return {timeFrom(in.sent_at_us()),    Revision{in.config()},
          Duration(in.config_age_us()), in.leaving(),
          getTargets(in.ask_promise()), getTargets(in.owned()),
          getFloors(in.floors())};
}

void put(const HeartbeatReply &from, wire::Peer &peer) {
  wire::HeartbeatReply &out = *peer.mutable_heartbeat_reply();
  out.set_echo_sent_at_us(micros(from.EchoSentAt));
  out.set_config(from.Config.Value);
  out.set_config_age_us(from.ConfigAge.count());
  out.set_leaving(from.Leaving);
  putTargets(from.Promises, out.mutable_promises());
  putTargets(from.Owned, out.mutable_owned());
  putFloors(from.Floors, out.mutable_floors());
}

HeartbeatReply get(const wire::HeartbeatReply &in) {
  return {timeFrom(in.echo_sent_at_us()), Revision{in.config()},
          Duration(in.config_age_us()),   in.leaving(),
          getTargets(in.promises()),      getTargets(in.owned()),
          getFloors(in.floors())};
}

void put(const Demand &from, wire::Peer &peer) {
  wire::Demand &out = *peer.mutable_demand();
  out.set_pool(from.Pool.Text);
  out.set_team(from.Team.Text);
  out.set_tag_milli(from.Tag.Milli);
  out.set_count(from.Count);
  out.set_estimate_milli(from.Estimate.Milli);
  out.set_sent_at_us(micros(from.SentAt));
}

Demand get(const wire::Demand &in) {
  return {PoolId{in.pool()},
          TeamId{in.team()},
          VirtualService{in.tag_milli()},
          in.count(),
          VirtualService{in.estimate_milli()},
          timeFrom(in.sent_at_us())};
}

void put(const Grant &from, wire::Peer &peer) {
  wire::Grant &out = *peer.mutable_grant();
  out.set_number(from.Number.Value);
  out.set_target(from.Target.Text);
  out.set_epoch(from.TargetOwnership.Value);
  out.set_pool(from.Pool.Text);
  out.set_team(from.Team.Text);
  out.set_echo_sent_at_us(micros(from.EchoSentAt));
  out.set_free(from.Free);
}

Grant get(const wire::Grant &in) {
  return {GrantId{in.number()},
          TargetId{in.target()},
          Epoch{in.epoch()},
          PoolId{in.pool()},
          TeamId{in.team()},
          timeFrom(in.echo_sent_at_us()),
          in.free()};
}

void put(const Offer &from, wire::Peer &peer) {
  peer.mutable_offer()->set_pool(from.Pool.Text);
  peer.mutable_offer()->set_free(from.Free);
}

Offer get(const wire::Offer &in) { return {PoolId{in.pool()}, in.free()}; }

void put(const Settle &from, wire::Peer &peer) {
  wire::Settle &out = *peer.mutable_settle();
  out.set_number(from.Number.Value);
  out.set_target(from.Target.Text);
  out.set_epoch(from.TargetOwnership.Value);
  out.set_outcome(static_cast<std::uint32_t>(from.Outcome));
  out.set_next_team(from.NextTeam.Text);
}

std::optional<Message> get(const wire::Settle &in) {
  if (in.outcome() > static_cast<std::uint32_t>(SettleOutcome::Reused)) {
    return std::nullopt;
  }
  return Settle{GrantId{in.number()}, TargetId{in.target()}, Epoch{in.epoch()},
                static_cast<SettleOutcome>(in.outcome()),
                TeamId{in.next_team()}};
}

void put(const Usage &from, wire::Peer &peer) {
  wire::Usage &out = *peer.mutable_usage();
  out.set_pool(from.Pool.Text);
  out.set_team(from.Team.Text);
  out.set_own_milli(from.Own.Milli);
  out.set_acknowledged_milli(from.Acknowledged.Milli);
  out.set_others_milli(from.Others.Milli);
  out.set_backlogged(from.Backlogged);
  out.set_sent_at_us(micros(from.SentAt));
}

Usage get(const wire::Usage &in) {
  return {PoolId{in.pool()},
          TeamId{in.team()},
          VirtualService{in.own_milli()},
          VirtualService{in.acknowledged_milli()},
          VirtualService{in.others_milli()},
          in.backlogged(),
          timeFrom(in.sent_at_us())};
}

void put(const UsageReply &from, wire::Peer &peer) {
  wire::UsageReply &out = *peer.mutable_usage_reply();
  out.set_pool(from.Pool.Text);
  out.set_team(from.Team.Text);
  out.set_others_milli(from.Others.Milli);
  out.set_echo_sent_at_us(micros(from.EchoSentAt));
}

UsageReply get(const wire::UsageReply &in) {
  return {PoolId{in.pool()}, TeamId{in.team()},
          VirtualService{in.others_milli()}, timeFrom(in.echo_sent_at_us())};
}

void put(const OwnerMap &from, wire::Peer &peer) {
  wire::OwnerMap &out = *peer.mutable_owner_map();
  for (const OwnerRow &it : from.Rows) {
    wire::OwnerRow *row = out.add_rows();
    row->set_target(it.Target.Text);
    row->set_epoch(it.Number.Value);
    row->set_host(it.Owner.Host.Text);
    row->set_life(it.Owner.Life.Value);
  }
}

OwnerMap get(const wire::OwnerMap &in) {
  OwnerMap map;
  for (const wire::OwnerRow &it : in.rows()) {
    map.Rows.push_back({TargetId{it.target()}, Epoch{it.epoch()},
                        Instance{HostId{it.host()}, Incarnation{it.life()}}});
  }
  return map;
}

void put(const OwnerMapRequest &, wire::Peer &peer) {
  peer.mutable_owner_map_request();
}

OwnerMapRequest get(const wire::OwnerMapRequest &) { return {}; }

void put(const InFlightQuery &from, wire::Peer &peer) {
  wire::InFlightQuery &out = *peer.mutable_in_flight_query();
  out.set_target(from.Target.Text);
  out.set_epoch(from.Number.Value);
  out.set_sent_at_us(micros(from.SentAt));
}

InFlightQuery get(const wire::InFlightQuery &in) {
  return {TargetId{in.target()}, Epoch{in.epoch()}, timeFrom(in.sent_at_us())};
}

void put(const InFlightReply &from, wire::Peer &peer) {
  wire::InFlightReply &out = *peer.mutable_in_flight_reply();
  out.set_target(from.Target.Text);
  out.set_epoch(from.Number.Value);
  out.set_echo_sent_at_us(micros(from.EchoSentAt));
  for (const GrantRef &it : from.Held) {
    wire::GrantRef *row = out.add_held();
    row->set_epoch(it.TargetOwnership.Value);
    row->set_number(it.Number.Value);
  }
}

InFlightReply get(const wire::InFlightReply &in) {
  InFlightReply reply{TargetId{in.target()},
                      Epoch{in.epoch()},
                      timeFrom(in.echo_sent_at_us()),
                      {}};
  for (const wire::GrantRef &it : in.held()) {
    reply.Held.push_back({Epoch{it.epoch()}, GrantId{it.number()}});
  }
  return reply;
}

void put(const ConfigRequest &from, wire::Peer &peer) {
  peer.mutable_config_request()->set_at_least(from.AtLeast.Value);
}

ConfigRequest get(const wire::ConfigRequest &in) {
  return {Revision{in.at_least()}};
}

void put(const ConfigReply &from, wire::Peer &peer) {
  peer.mutable_config_reply()->set_head(from.Head);
  for (const std::string &text : from.Texts) {
    peer.mutable_config_reply()->add_texts(text);
  }
}

ConfigReply get(const wire::ConfigReply &in) {
  return {in.head(), {in.texts().begin(), in.texts().end()}};
}

} // namespace

std::string encodeMessage(const Message &message) {
  wire::Peer peer;
  std::visit([&peer](const auto &body) { put(body, peer); }, message);
  return peer.SerializeAsString();
}

std::optional<Message> decodeMessage(std::string_view bytes) {
  wire::Peer peer;
  if (!peer.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  switch (peer.body_case()) {
  case wire::Peer::kHeartbeat:
    return get(peer.heartbeat());
  case wire::Peer::kHeartbeatReply:
    return get(peer.heartbeat_reply());
  case wire::Peer::kDemand:
    return get(peer.demand());
  case wire::Peer::kGrant:
    return get(peer.grant());
  case wire::Peer::kSettle:
    return get(peer.settle());
  case wire::Peer::kUsage:
    return get(peer.usage());
  case wire::Peer::kUsageReply:
    return get(peer.usage_reply());
  case wire::Peer::kOwnerMap:
    return get(peer.owner_map());
  case wire::Peer::kOwnerMapRequest:
    return get(peer.owner_map_request());
  case wire::Peer::kInFlightQuery:
    return get(peer.in_flight_query());
  case wire::Peer::kInFlightReply:
    return get(peer.in_flight_reply());
  case wire::Peer::kConfigRequest:
    return get(peer.config_request());
  case wire::Peer::kConfigReply:
    return get(peer.config_reply());
  case wire::Peer::kOffer:
    return get(peer.offer());
  case wire::Peer::BODY_NOT_SET:
    return std::nullopt;
  }
  return std::nullopt;
}

std::string encodeIdentity(const Instance &instance) {
  return instance.Host.Text + "|" + std::to_string(instance.Life.Value);
}

std::optional<Instance> decodeIdentity(std::string_view text) {
  const std::size_t bar = text.rfind('|');
  if (bar == std::string_view::npos || bar == 0) {
    return std::nullopt;
  }
  std::uint64_t life = 0;
  const char *end = text.data() + text.size();
  const std::from_chars_result it =
      std::from_chars(text.data() + bar + 1, end, life);
  if (it.ec != std::errc() || it.ptr != end || life == 0) {
    return std::nullopt;
  }
  return Instance{HostId{std::string(text.substr(0, bar))}, Incarnation{life}};
}

} // namespace nutmegsill
