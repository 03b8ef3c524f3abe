#include "peer_codec.h"

#include "load.pb.h"

#include <cmath>

namespace nutmegsill::gateway {

namespace {

/// Streams in one message: several times the most that a report holds.
constexpr int MaxStreams = 4'096;

std::uint32_t ageToWire(Duration age) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, toMilliseconds(age)));
}

bool isRequest(const routing::CrashCause &cause) {
  return cause.Type == routing::CrashCause::Kind::Request;
}

void encode(const routing::QuarantineReport &report, wire::LoadReport &out) {
  for (const routing::LostRequest &it : report.Lost) {
    wire::LostRequest *entry =
        it.Parts.empty() ? out.add_lost_plain() : out.add_lost_prompts();
    entry->set_target(it.Process.Target.Text);
    entry->set_started_at_ms(it.Process.StartedAtMs);
    entry->set_age_ms(ageToWire(it.Age));
    entry->mutable_parts()->Add(it.Parts.begin(), it.Parts.end());
    entry->set_request(it.Request);
    entry->set_running_ms(ageToWire(it.Running));
  }
  for (const routing::SurvivedCause &it : report.Survived) {
    wire::SurvivedCause *entry = isRequest(it.Cause)
                                     ? out.add_survived_requests()
                                     : out.add_survived_parts();
    entry->set_hash(it.Cause.Hash);
    entry->set_age_ms(ageToWire(it.Age));
  }
  for (const routing::QuarantinedCause &it : report.Quarantined) {
    wire::QuarantinedCause *entry = isRequest(it.Cause)
                                        ? out.add_quarantined_requests()
                                        : out.add_quarantined_parts();
    entry->set_hash(it.Cause.Hash);
    entry->set_age_ms(ageToWire(it.Age));
    entry->set_trials(it.Trials);
    entry->set_crash_age_ms(ageToWire(it.CrashAge));
  }
}

void encode(const routing::RolloutReport &report, wire::RolloutReport &out) {
  out.set_pool(report.Pool.Text);
  out.set_version(report.To);
  out.set_order_age_ms(ageToWire(report.OrderAge));
  out.set_verdict(static_cast<std::uint32_t>(report.Verdict));
  out.set_gateways(report.Routers);
  out.set_moved(report.MovedRouters);
  for (const auto &[key, count] : report.Counts) {
    wire::RolloutCount *entry = out.add_counts();
    entry->set_stage(static_cast<std::uint32_t>(key.Stage));
    entry->set_route(key.Route);
    entry->set_group(key.Group);
    entry->set_requests(count.Requests);
    entry->set_responses(count.Responses);
    entry->set_bad(count.Bad);
    entry->set_first_seconds(count.FirstSeconds);
    entry->set_total_seconds(count.TotalSeconds);
  }
}

void encode(const routing::StreamOrigin &origin, wire::StreamOrigins &out) {
  out.set_pool(origin.Pool.Text);
  out.set_target(origin.Process.Target.Text);
  out.set_started_at_ms(origin.Process.StartedAtMs);
  out.set_version(origin.Version);
}

void encode(const routing::StreamOriginReport &report,
            wire::StreamOrigins &out) {
  encode(report.Origin, out);
  for (const routing::StreamOriginReport::Stream &it : report.Streams) {
    out.add_streams(it.Key.Hash);
    out.add_left_ms(ageToWire(it.TimeLeft));
  }
}

void encode(const routing::LoadReport &report, wire::PeerMessage &message) {
  wire::LoadReport &out = *message.mutable_load();
  for (const routing::TargetLoad &it : report.Targets) {
    wire::TargetLoad *entry = out.add_targets();
    entry->set_target(it.Target.Text);
    entry->set_prefill_tokens(it.PrefillTokens);
    entry->set_running(it.RunningRequests);
  }
  for (const routing::TeamTraffic &it : report.Teams) {
    wire::TeamTraffic *entry = out.add_teams();
    entry->set_team(it.Team.Text);
    entry->set_asked(static_cast<float>(it.Rate.Requested));
    entry->set_served(static_cast<float>(it.Rate.Served));
  }
  for (const routing::SentPrompts &it : report.PromptsSent) {
    wire::SentPrompts *entry = out.add_sent();
    entry->set_target(it.Target.Text);
    entry->set_tokens(it.PrefillTokens);
    entry->mutable_parts()->Add(it.Parts.begin(), it.Parts.end());
  }
  for (const HostId &it : report.IncludedHosts) {
    out.add_hosts(it.Text);
  }
  for (const HostId &it : report.OverloadedHosts) {
    out.add_overloaded(it.Text);
  }
  encode(report.Quarantine, out);
  for (const routing::StatementReport &it : report.Statements) {
    wire::StatementReport *entry = out.add_statements();
    entry->set_target(it.Process.Target.Text);
    entry->set_started_at_ms(it.Process.StartedAtMs);
    if (it.Rate) {
      entry->set_rate(*it.Rate);
    }
    entry->set_age_ms(ageToWire(it.Age));
    entry->set_demand(static_cast<float>(it.Demand));
    entry->set_sent(it.Sent);
    entry->set_leaving(it.Leaving);
  }
  for (const routing::SpareCapacity &it : report.Spare) {
    wire::SpareCapacity *entry = out.add_spare();
    entry->set_router(it.Router.Text);
    entry->set_requests_per_s(static_cast<float>(it.RequestsPerSecond));
  }
  for (const routing::TargetStateReport &it : report.TargetStates) {
    wire::TargetState *entry = out.add_target_states();
    entry->set_target(it.Process.Target.Text);
    entry->set_started_at_ms(it.Process.StartedAtMs);
    entry->set_running(it.Load.Running);
    entry->set_waiting(it.Load.Waiting);
    entry->set_slots(it.Load.Slots);
    entry->set_pace_percent(
        static_cast<std::uint32_t>(std::lround(it.Load.Pace * 100)));
    entry->set_age_ms(ageToWire(it.Age));
  }
  for (const routing::PoolService &it : report.PoolServices) {
    wire::PoolService *entry = out.add_pool_service();
    entry->set_pool(it.Pool.Text);
    entry->set_tokens(static_cast<float>(it.Prefill.Tokens));
    entry->set_seconds(static_cast<float>(it.Prefill.Seconds));
    entry->set_requests(static_cast<float>(it.Requests));
    entry->set_rated_tokens(static_cast<float>(it.RatedTokens));
    entry->set_engines(it.Engines);
    entry->set_backlog_sum(static_cast<float>(it.BacklogSum));
    entry->set_backlog_count(static_cast<float>(it.BacklogCount));
  }
  for (const routing::RolloutReport &it : report.Rollouts) {
    encode(it, *out.add_rollout_counts());
  }
  for (const routing::StreamOriginReport &it : report.StreamOrigins) {
    encode(it, *out.add_stream_origins());
  }
}

void encode(const routing::RelayedChanges &changes,
            wire::PeerMessage &message) {
  wire::StoreChanges &out = *message.mutable_changes();
  out.set_after_revision(changes.After.Value);
  out.set_revision(changes.Revision.Value);
  out.set_era(changes.Revision.Era.Value);
  out.set_outage_grace_ms(
      static_cast<std::uint32_t>(toMilliseconds(changes.OutageGrace)));
  for (const routing::StoredItem &it : changes.Items) {
    wire::StoreItem *entry = out.add_items();
    entry->set_key(it.Key);
    if (it.Value) {
      entry->set_value(*it.Value);
    }
  }
}

void encode(const routing::StoreProof &proof, wire::PeerMessage &message) {
  wire::StoreProof &out = *message.mutable_proof();
  out.set_revision(proof.Revision.Value);
  out.set_era(proof.Revision.Era.Value);
  out.set_outage_grace_ms(
      static_cast<std::uint32_t>(toMilliseconds(proof.OutageGrace)));
  for (const routing::StampEcho &it : proof.Stamps) {
    wire::StampEcho *entry = out.add_stamps();
    entry->set_host(it.Router.Host.Text);
    entry->set_incarnation(it.Router.Incarnation.Value);
    entry->set_stamp_us(it.Stamp.time_since_epoch().count());
  }
}

void encode(const ClockStamp &stamp, wire::PeerMessage &message) {
  message.mutable_stamp()->set_stamp_us(stamp.Stamp.time_since_epoch().count());
}

void encode(const routing::OriginQuestion &question,
            wire::PeerMessage &message) {
  wire::OriginQuestion &out = *message.mutable_origin_question();
  out.set_number(question.Number);
  out.set_stream(question.Key.Hash);
  out.set_route(question.Route);
  out.set_pool(question.Pool.Text);
}

void encode(const routing::OriginAnswer &answer, wire::PeerMessage &message) {
  wire::OriginAnswer &out = *message.mutable_origin_answer();
  out.set_number(answer.Number);
  if (answer.Origin) {
    encode(*answer.Origin, *out.mutable_origin());
  }
  if (answer.SoleVersion) {
    out.set_sole_version(*answer.SoleVersion);
  }
}

routing::LostRequest decode(const wire::LostRequest &in) {
  return {{TargetId{in.target()}, in.started_at_ms()},
          milliseconds(in.age_ms()),
          in.request(),
          {in.parts().begin(), in.parts().end()},
          milliseconds(in.running_ms())};
}

routing::SurvivedCause decode(const wire::SurvivedCause &in,
                              routing::CrashCause::Kind type) {
  return {{type, in.hash()}, milliseconds(in.age_ms())};
}

routing::QuarantinedCause decode(const wire::QuarantinedCause &in,
                                 routing::CrashCause::Kind type) {
  return {
      {type, in.hash()},
      milliseconds(in.age_ms()),
      in.trials(),
      milliseconds(in.has_crash_age_ms() ? in.crash_age_ms() : in.age_ms())};
}

routing::QuarantineReport decodeQuarantine(const wire::LoadReport &in) {
  using Kind = routing::CrashCause::Kind;
  routing::QuarantineReport out;
  for (const wire::LostRequest &it : in.lost_prompts()) {
    out.Lost.push_back(decode(it));
  }
  for (const wire::LostRequest &it : in.lost_plain()) {
    out.Lost.push_back(decode(it));
  }
  for (const wire::SurvivedCause &it : in.survived_parts()) {
    out.Survived.push_back(decode(it, Kind::PromptPart));
  }
  for (const wire::SurvivedCause &it : in.survived_requests()) {
    out.Survived.push_back(decode(it, Kind::Request));
  }
  for (const wire::QuarantinedCause &it : in.quarantined_parts()) {
    out.Quarantined.push_back(decode(it, Kind::PromptPart));
  }
  for (const wire::QuarantinedCause &it : in.quarantined_requests()) {
    out.Quarantined.push_back(decode(it, Kind::Request));
  }
  return out;
}

bool isRate(double value) { return std::isfinite(value) && value >= 0; }

std::optional<routing::RolloutReport> decode(const wire::RolloutReport &in) {
  routing::RolloutReport report;
  if (in.verdict() >
      static_cast<std::uint32_t>(routing::RolloutState::Reverted)) {
    return std::nullopt;
  }
  report.Pool = PoolId{in.pool()};
  report.To = in.version();
  report.OrderAge = milliseconds(in.order_age_ms());
  report.Verdict = static_cast<routing::RolloutState>(in.verdict());
  report.Routers = in.gateways();
  report.MovedRouters = in.moved();
  for (const wire::RolloutCount &it : in.counts()) {
    const bool valid = it.stage() <= static_cast<std::uint32_t>(
                                         routing::RolloutStage::Moved) &&
                       isRate(it.first_seconds()) && isRate(it.total_seconds());
    if (!valid) {
      return std::nullopt;
    }
    report.Counts[{static_cast<routing::RolloutStage>(it.stage()), it.route(),
                   it.group()}] += {it.requests(), it.responses(), it.bad(),
                                    it.first_seconds(), it.total_seconds()};
  }
  return report;
}

routing::StreamOrigin decode(const wire::StreamOrigins &in) {
  return {PoolId{in.pool()},
          {TargetId{in.target()}, in.started_at_ms()},
          in.version()};
}

/// Nothing if the lists of a report differ in length, or hold more streams than
/// a router reports.
std::optional<std::vector<routing::StreamOriginReport>>
decodeOrigins(const wire::LoadReport &in) {
  std::vector<routing::StreamOriginReport> out;
  int streams = 0;
  for (const wire::StreamOrigins &it : in.stream_origins()) {
    streams += it.streams_size();
    if (it.streams_size() != it.left_ms_size() || streams > MaxStreams) {
      return std::nullopt;
    }
    routing::StreamOriginReport report{decode(it), {}};
    for (int i = 0; i < it.streams_size(); ++i) {
      report.Streams.push_back({{it.streams(i)}, milliseconds(it.left_ms(i))});
    }
    out.push_back(std::move(report));
  }
  return out;
}

routing::OriginQuestion decode(const wire::OriginQuestion &in) {
  return {in.number(), {in.stream()}, in.route(), PoolId{in.pool()}};
}

routing::OriginAnswer decode(const wire::OriginAnswer &in) {
  routing::OriginAnswer out;
  out.Number = in.number();
  if (in.has_origin()) {
    out.Origin = decode(in.origin());
  }
  if (in.has_sole_version()) {
    out.SoleVersion = in.sole_version();
  }
  return out;
}

std::optional<PeerMessage> decode(const wire::LoadReport &in) {
  routing::LoadReport report;
  for (const wire::TargetLoad &it : in.targets()) {
    report.Targets.push_back(
        {TargetId{it.target()}, it.prefill_tokens(), it.running()});
  }
  for (const wire::TeamTraffic &it : in.teams()) {
    const routing::TeamRate rate{it.asked(), it.served()};
    if (!isRate(rate.Requested) || !isRate(rate.Served)) {
      return std::nullopt;
    }
    report.Teams.push_back({TeamId{it.team()}, rate});
  }
  for (const wire::SentPrompts &it : in.sent()) {
    report.PromptsSent.push_back({TargetId{it.target()},
                                  it.tokens(),
                                  {it.parts().begin(), it.parts().end()}});
  }
  for (const std::string &it : in.hosts()) {
    report.IncludedHosts.push_back(HostId{it});
  }
  for (const std::string &it : in.overloaded()) {
    report.OverloadedHosts.push_back(HostId{it});
  }
  report.Quarantine = decodeQuarantine(in);
  for (const wire::StatementReport &it : in.statements()) {
    if (!isRate(it.rate()) || !isRate(it.demand())) {
      return std::nullopt;
    }
    report.Statements.push_back(
        {{TargetId{it.target()}, it.started_at_ms()},
         it.has_rate() ? std::optional(it.rate()) : std::nullopt,
         milliseconds(it.age_ms()),
         it.demand(),
         it.sent(),
         it.leaving()});
  }
  for (const wire::SpareCapacity &it : in.spare()) {
    if (!isRate(it.requests_per_s())) {
      return std::nullopt;
    }
    report.Spare.push_back({HostId{it.router()}, it.requests_per_s()});
  }
  for (const wire::TargetState &it : in.target_states()) {
    const double pace = it.pace_percent() / 100.0;
    const std::optional<routing::StatedLoad> load =
        routing::checkedLoad(it.running(), it.waiting(), it.slots(), pace);
    if (load) {
      report.TargetStates.push_back(
          {{TargetId{it.target()}, it.started_at_ms()},
           *load,
           milliseconds(it.age_ms())});
    }
  }
  for (const wire::PoolService &it : in.pool_service()) {
    if (!isRate(it.tokens()) || !isRate(it.seconds()) ||
        !isRate(it.requests()) || !isRate(it.rated_tokens()) ||
        !isRate(it.backlog_sum()) || !isRate(it.backlog_count())) {
      return std::nullopt;
    }
    report.PoolServices.push_back({PoolId{it.pool()},
                                   {it.tokens(), it.seconds()},
                                   it.requests(),
                                   it.rated_tokens(),
                                   it.backlog_sum(),
                                   it.backlog_count(),
                                   it.engines()});
  }
  for (const wire::RolloutReport &it : in.rollout_counts()) {
    std::optional<routing::RolloutReport> rollout = decode(it);
    if (!rollout) {
      return std::nullopt;
    }
    report.Rollouts.push_back(std::move(*rollout));
  }
  std::optional<std::vector<routing::StreamOriginReport>> origins =
      decodeOrigins(in);
  if (!origins) {
    return std::nullopt;
  }
  report.StreamOrigins = std::move(*origins);
  return report;
}

PeerMessage decode(const wire::StoreChanges &in) {
  routing::RelayedChanges changes;
  const routing::StoreEra era{in.era()};
  changes.After = routing::StoreRevision{in.after_revision(), era};
  changes.Revision = routing::StoreRevision{in.revision(), era};
  changes.OutageGrace = milliseconds(in.outage_grace_ms());
  for (const wire::StoreItem &it : in.items()) {
    changes.Items.push_back(
        {it.key(), it.has_value() ? std::optional(it.value()) : std::nullopt});
  }
  return changes;
}

PeerMessage decode(const wire::StoreProof &in) {
  routing::StoreProof proof;
  proof.Revision =
      routing::StoreRevision{in.revision(), routing::StoreEra{in.era()}};
  proof.OutageGrace = milliseconds(in.outage_grace_ms());
  for (const wire::StampEcho &it : in.stamps()) {
    proof.Stamps.push_back(
        {Instance{HostId{it.host()}, IncarnationId{it.incarnation()}},
         Time(Duration(it.stamp_us()))});
  }
  return proof;
}

} // namespace

const char *peerMessageName(const PeerMessage &message) {
  struct Name {
    const char *operator()(const routing::LoadReport &) const {
      return "load_report";
    }
    const char *operator()(const routing::RelayedChanges &) const {
      return "store_changes";
    }
    const char *operator()(const routing::StoreProof &) const {
      return "store_proof";
    }
    const char *operator()(const ClockStamp &) const { return "clock_stamp"; }
    const char *operator()(const routing::OriginQuestion &) const {
      return "origin_question";
    }
    const char *operator()(const routing::OriginAnswer &) const {
      return "origin_answer";
    }
  };
  return std::visit(Name{}, message);
}

std::string encodePeerMessage(const PeerMessage &message) {
  wire::PeerMessage out;
  std::visit([&out](const auto &it) { encode(it, out); }, message);
  return out.SerializeAsString();
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes) {
  wire::PeerMessage in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  switch (in.content_case()) {
  case wire::PeerMessage::kLoad:
    return decode(in.load());
  case wire::PeerMessage::kChanges:
    return decode(in.changes());
  case wire::PeerMessage::kProof:
    return decode(in.proof());
  case wire::PeerMessage::kStamp:
    return ClockStamp{Time(Duration(in.stamp().stamp_us()))};
  case wire::PeerMessage::kOriginQuestion:
    return decode(in.origin_question());
  case wire::PeerMessage::kOriginAnswer:
    return decode(in.origin_answer());
  case wire::PeerMessage::CONTENT_NOT_SET:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace nutmegsill::gateway
