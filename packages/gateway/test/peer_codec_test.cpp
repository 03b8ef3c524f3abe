#include "peer_codec.h"

#include "load.pb.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace nutmegsill::gateway {

class PeerCodecFixture {
protected:
  /// Encodes and decodes a message; nothing if the result is of another kind.
  template <class Message>
  static std::optional<Message> roundTrip(const Message &message) {
    const std::optional<PeerMessage> decoded =
        decodePeerMessage(encodePeerMessage(message));
    const Message *it = decoded ? std::get_if<Message>(&*decoded) : nullptr;
    return it == nullptr ? std::nullopt : std::optional<Message>(*it);
  }
};

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_any_report_round_trips") {
  const bool passed = rc::check([](const std::vector<std::uint64_t> &numbers) {
    routing::LoadReport report;
    for (const std::uint64_t it : numbers) {
      const std::string name = "x-" + std::to_string(it);
      report.Targets.push_back(
          {TargetId{name}, it, static_cast<std::uint32_t>(it & 0xffffU)});
      report.PromptsSent.push_back({TargetId{name}, it, numbers});
      report.IncludedHosts.push_back(HostId{name});
      report.Teams.push_back({TeamId{name}, {1.5, 0.5}});
      report.Spare.push_back({HostId{name}, 12.5});
    }
    const std::optional<routing::LoadReport> decoded = roundTrip(report);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->Targets.size() == numbers.size());
    for (std::size_t i = 0; i < numbers.size(); ++i) {
      RC_ASSERT(decoded->Targets[i].Target == report.Targets[i].Target);
      RC_ASSERT(decoded->Targets[i].PrefillTokens == numbers[i]);
      RC_ASSERT(decoded->Targets[i].RunningRequests ==
                report.Targets[i].RunningRequests);
      RC_ASSERT(decoded->PromptsSent[i].PrefillTokens == numbers[i]);
      RC_ASSERT(decoded->PromptsSent[i].Parts == numbers);
      RC_ASSERT(decoded->IncludedHosts[i] == report.IncludedHosts[i]);
      RC_ASSERT(decoded->Teams[i].Rate.Requested == 1.5);
      RC_ASSERT(decoded->Spare[i].Router == report.Spare[i].Router);
      RC_ASSERT(decoded->Spare[i].RequestsPerSecond == 12.5);
    }
  });
  CHECK(passed);
}

// Guards against a report that is dropped whole for one unusable load.
TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_target_states_round_trip") {
  routing::LoadReport report;
  const routing::TargetProcess process{TargetId{"d-1"}, 1'791'368'900'847};
  report.TargetStates = {{process, {5, 3, 6, 2.5}, milliseconds(120)},
                         {process, {1, 1, 0, 1}, milliseconds(1)}};
  CHECK_FALSE(report.isEmpty());
  const std::optional<routing::LoadReport> decoded = roundTrip(report);
  REQUIRE(decoded);
  REQUIRE(decoded->TargetStates.size() == 1);
  CHECK(decoded->TargetStates[0].Process == process);
  CHECK(decoded->TargetStates[0].Load == report.TargetStates[0].Load);
  CHECK(decoded->TargetStates[0].Age == milliseconds(120));
}

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_rollout_round_trips") {
  routing::RolloutReport rollout;
  rollout.Pool = PoolId{"desk"};
  rollout.To = "v2";
  rollout.OrderAge = milliseconds(1'234);
  rollout.Verdict = routing::RolloutState::Reverted;
  rollout.Routers = 9;
  rollout.MovedRouters = 4;
  rollout.Counts[{routing::RolloutStage::Load, "safe", 3}] = {5, 4, 2, 0.5, 1};
  routing::LoadReport report;
  report.Rollouts = {rollout};
  CHECK_FALSE(report.isEmpty());
  const std::optional<routing::LoadReport> decoded = roundTrip(report);
  REQUIRE(decoded);
  REQUIRE(decoded->Rollouts.size() == 1);
  const routing::RolloutReport &out = decoded->Rollouts[0];
  CHECK(out.Pool == rollout.Pool);
  CHECK(out.To == rollout.To);
  CHECK(out.OrderAge == rollout.OrderAge);
  CHECK(out.Verdict == rollout.Verdict);
  CHECK(out.Routers == 9);
  CHECK(out.MovedRouters == 4);
  CHECK(out.Counts == rollout.Counts);
  report.Rollouts[0].Counts.begin()->second.TotalSeconds = -1;
  CHECK_FALSE(roundTrip(report));
}

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_stream_origins_round_trip") {
  const routing::StreamOrigin origin{
      PoolId{"desk"}, {TargetId{"d-1"}, 1'791'368'900'847}, "v1"};
  routing::LoadReport report;
  report.StreamOrigins = {
      {origin, {{{7}, milliseconds(1'500)}, {{8}, milliseconds(0)}}}};
  CHECK_FALSE(report.isEmpty());
  const std::optional<routing::LoadReport> decoded = roundTrip(report);
  REQUIRE(decoded);
  REQUIRE(decoded->StreamOrigins.size() == 1);
  CHECK(decoded->StreamOrigins[0].Origin == origin);
  REQUIRE(decoded->StreamOrigins[0].Streams.size() == 2);
  CHECK(decoded->StreamOrigins[0].Streams[0].Key == routing::StreamKey{7});
  CHECK(decoded->StreamOrigins[0].Streams[0].TimeLeft == milliseconds(1'500));
  report.StreamOrigins[0].Streams.resize(5'000);
  CHECK_FALSE(roundTrip(report));
}

TEST_CASE_METHOD(PeerCodecFixture,
                 "peer_codec_stream_without_its_time_is_malformed") {
  wire::PeerMessage message;
  message.mutable_load()->add_stream_origins()->add_streams(7);
  CHECK_FALSE(decodePeerMessage(message.SerializeAsString()));
  message.mutable_load()->mutable_stream_origins(0)->add_left_ms(5);
  CHECK(decodePeerMessage(message.SerializeAsString()));
}

TEST_CASE_METHOD(PeerCodecFixture,
                 "peer_codec_question_and_answers_round_trip") {
  const std::optional<routing::OriginQuestion> question =
      roundTrip(routing::OriginQuestion{5, {7}, "safe", PoolId{"desk"}});
  REQUIRE(question);
  CHECK(question->Number == 5);
  CHECK(question->Key == routing::StreamKey{7});
  CHECK(question->Route == "safe");
  CHECK(question->Pool == PoolId{"desk"});
  routing::OriginAnswer answer;
  answer.Number = 5;
  std::optional<routing::OriginAnswer> decoded = roundTrip(answer);
  REQUIRE(decoded);
  CHECK((!decoded->Origin && !decoded->SoleVersion));
  answer.Origin = {PoolId{"desk"}, {TargetId{"d-1"}, 1}, ""};
  answer.SoleVersion = "";
  decoded = roundTrip(answer);
  REQUIRE(decoded);
  CHECK(decoded->Number == 5);
  CHECK(decoded->Origin == answer.Origin);
  CHECK(decoded->SoleVersion == answer.SoleVersion);
}

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_quarantine_round_trips") {
  routing::LoadReport report;
  using routing::CrashCause;
  const CrashCause request{CrashCause::Kind::Request, 5};
  const CrashCause part{CrashCause::Kind::PromptPart, 7};
  const routing::TargetProcess process{TargetId{"e-1"}, 1'791'368'900'847};
  report.Quarantine.Lost = {
      {process, milliseconds(1'234), 5, {1, 7}, milliseconds(56)},
      {process, milliseconds(1'235), 6, {}, milliseconds(57)}};
  report.Quarantine.Survived = {{part, milliseconds(20)},
                                {request, milliseconds(21)}};
  report.Quarantine.Quarantined = {
      {part, milliseconds(3'000'000), 2, milliseconds(3'000'900)},
      {request, milliseconds(30), 0, milliseconds(1'030)}};
  CHECK_FALSE(report.isEmpty());
  const std::optional<routing::LoadReport> decoded = roundTrip(report);
  REQUIRE(decoded);
  const routing::QuarantineReport &out = decoded->Quarantine;
  REQUIRE(out.Lost.size() == 2);
  REQUIRE(out.Survived.size() == 2);
  REQUIRE(out.Quarantined.size() == 2);
  for (std::size_t i = 0; i < 2; ++i) {
    const routing::LostRequest &lost = report.Quarantine.Lost[i];
    CHECK(out.Lost[i].Process == lost.Process);
    CHECK(out.Lost[i].Age == lost.Age);
    CHECK(out.Lost[i].Request == lost.Request);
    CHECK(out.Lost[i].Parts == lost.Parts);
    CHECK(out.Lost[i].Running == lost.Running);
    const routing::SurvivedCause &survived = report.Quarantine.Survived[i];
    CHECK(out.Survived[i].Cause == survived.Cause);
    CHECK(out.Survived[i].Age == survived.Age);
    const routing::QuarantinedCause &kept = report.Quarantine.Quarantined[i];
    CHECK(out.Quarantined[i].Cause == kept.Cause);
    CHECK(out.Quarantined[i].Age == kept.Age);
    CHECK(out.Quarantined[i].Trials == kept.Trials);
    CHECK(out.Quarantined[i].CrashAge == kept.CrashAge);
  }
}

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_limits_round_trip") {
  routing::LoadReport report;
  report.Statements = {
      {{TargetId{"e-1"}, 1'791'368'900'847},
       5.2,
       milliseconds(40),
       2.5,
       17,
       false},
      {{TargetId{"e-2"}, 1}, std::nullopt, milliseconds(0), 0, 0, true}};
  CHECK_FALSE(report.isEmpty());
  const std::optional<routing::LoadReport> decoded = roundTrip(report);
  REQUIRE(decoded);
  REQUIRE(decoded->Statements.size() == 2);
  for (std::size_t i = 0; i < 2; ++i) {
    CHECK(decoded->Statements[i].Process == report.Statements[i].Process);
    CHECK(decoded->Statements[i].Rate == report.Statements[i].Rate);
    CHECK(decoded->Statements[i].Age == report.Statements[i].Age);
    CHECK(decoded->Statements[i].Demand == report.Statements[i].Demand);
    CHECK(decoded->Statements[i].Sent == report.Statements[i].Sent);
    CHECK(decoded->Statements[i].Leaving == report.Statements[i].Leaving);
  }
  report.Statements[0].Rate = -1;
  CHECK_FALSE(roundTrip(report));
}

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_pool_services_round_trip") {
  routing::LoadReport report;
  report.PoolServices = {{PoolId{"p"}, {1'500, 2.5}, 3, 4'000, 0.5, 8, 140}};
  CHECK_FALSE(report.isEmpty());
  const std::optional<routing::LoadReport> decoded = roundTrip(report);
  REQUIRE(decoded);
  REQUIRE(decoded->PoolServices.size() == 1);
  const routing::PoolService &it = decoded->PoolServices[0];
  CHECK(it.Pool.Text == "p");
  CHECK(it.Prefill.Tokens == 1'500);
  CHECK(it.Prefill.Seconds == 2.5);
  CHECK(it.Requests == 3);
  CHECK(it.RatedTokens == 4'000);
  CHECK(it.BacklogSum == 0.5);
  CHECK(it.BacklogCount == 8);
  CHECK(it.Engines == 140);
  report.PoolServices[0].Prefill.Seconds = -1;
  CHECK_FALSE(roundTrip(report));
}

TEST_CASE_METHOD(PeerCodecFixture,
                 "peer_codec_any_bytes_are_decoded_or_rejected") {
  const bool passed = rc::check([](const std::string &bytes) {
    const std::optional<PeerMessage> message = decodePeerMessage(bytes);
    const routing::LoadReport *report =
        message ? std::get_if<routing::LoadReport>(&*message) : nullptr;
    if (report == nullptr) {
      return;
    }
    for (const routing::TeamTraffic &it : report->Teams) {
      RC_ASSERT(it.Rate.Requested >= 0);
    }
  });
  CHECK(passed);
}

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_negative_rate_is_rejected") {
  routing::LoadReport report;
  report.Teams = {{TeamId{"t"}, {-1, 0}}};
  CHECK_FALSE(roundTrip(report));
}

TEST_CASE_METHOD(PeerCodecFixture, "peer_codec_store_messages_round_trip") {
  routing::RelayedChanges changes;
  changes.After = routing::StoreRevision{7, routing::StoreEra{2}};
  changes.Revision = routing::StoreRevision{9, routing::StoreEra{2}};
  changes.OutageGrace = milliseconds(1'200);
  changes.Items = {{"written", std::string("a\0b", 3)},
                   {"empty", std::string()},
                   {"deleted", std::nullopt}};
  const std::optional<routing::RelayedChanges> relayed = roundTrip(changes);
  REQUIRE(relayed);
  CHECK(relayed->After == changes.After);
  CHECK(relayed->Revision == changes.Revision);
  CHECK(relayed->OutageGrace == changes.OutageGrace);
  REQUIRE(relayed->Items.size() == 3);
  CHECK(relayed->Items[0].Value == changes.Items[0].Value);
  CHECK(relayed->Items[1].Value == changes.Items[1].Value);
  CHECK_FALSE(relayed->Items[2].Value);

  routing::StoreProof proof;
  proof.Revision = routing::StoreRevision{9, routing::StoreEra{2}};
  proof.OutageGrace = milliseconds(700);
  proof.Stamps = {{Instance{HostId{"host-1"}, IncarnationId{5}},
                   Time(milliseconds(12'345))}};
  const std::optional<routing::StoreProof> proved = roundTrip(proof);
  REQUIRE(proved);
  CHECK(proved->Revision == proof.Revision);
  CHECK(proved->OutageGrace == proof.OutageGrace);
  REQUIRE(proved->Stamps.size() == 1);
  CHECK(proved->Stamps[0].Router == proof.Stamps[0].Router);
  CHECK(proved->Stamps[0].Stamp == proof.Stamps[0].Stamp);

  const std::optional<ClockStamp> stamp =
      roundTrip(ClockStamp{Time(milliseconds(77))});
  REQUIRE(stamp);
  CHECK(stamp->Stamp == Time(milliseconds(77)));
}

} // namespace nutmegsill::gateway
