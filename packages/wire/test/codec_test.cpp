#include "nutmegsill/codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace nutmegsill;

namespace {

const Instance Owner{HostId{"h1"}, Incarnation{7}};
const TargetEpoch Owned{TargetId{"m1"}, Epoch{3}};
const Time Sent{Duration(123'456)};

/// One message of every type, with every member set.
std::vector<Message> samples() {
  const PoolId pool{"captions"};
  const TeamId team{"prints"};
  const PoolFloor floor{pool, VirtualService{-5}};
  return {
      Heartbeat{
          Sent, Revision{4}, Duration(9), true, {Owned}, {Owned}, {floor}},
      HeartbeatReply{
          Sent, Revision{4}, Duration(9), true, {Owned}, {Owned}, {floor}},
      Demand{pool, team, VirtualService{-1}, 2, VirtualService{3}, Sent},
      Grant{GrantId{1}, TargetId{"m1"}, Epoch{2}, pool, team, Sent, 4},
      Settle{GrantId{1}, TargetId{"m1"}, Epoch{2}, SettleOutcome::Reused, team},
      Usage{pool, team, VirtualService{1}, VirtualService{2}, VirtualService{3},
            true, Sent},
      UsageReply{pool, team, VirtualService{8}, Sent},
      OwnerMap{{OwnerRow{TargetId{"m1"}, Epoch{2}, Owner}}},
      OwnerMapRequest{},
      InFlightQuery{TargetId{"m1"}, Epoch{2}, Sent},
      InFlightReply{
          TargetId{"m1"}, Epoch{2}, Sent, {GrantRef{Epoch{1}, GrantId{5}}}},
      ConfigRequest{Revision{6}},
      ConfigReply{"head", {"a", "b"}},
      Offer{pool, 3}};
}

} // namespace

TEST_CASE("codec_every_message_survives_a_round_trip") {
  const std::vector<Message> all = samples();
  CHECK(all.size() == std::variant_size_v<Message>);
  for (const Message &message : all) {
    const std::string bytes = encodeMessage(message);
    const std::optional<Message> back = decodeMessage(bytes);
    REQUIRE(back);
    CHECK(back->index() == message.index());
    CHECK(encodeMessage(*back) == bytes);
  }
}

TEST_CASE("codec_unknown_outcome_refused") {
  std::string bytes = encodeMessage(
      Settle{GrantId{1}, TargetId{"m1"}, Epoch{2}, SettleOutcome::Failed, {}});
  const std::size_t at = bytes.find('\x20');
  REQUIRE(at != std::string::npos);
  bytes[at + 1] = 9;
  CHECK_FALSE(decodeMessage(bytes));
}

TEST_CASE("codec_any_bytes_no_crash") {
  CHECK(rc::check([](const std::string &bytes) {
    const std::optional<Message> message = decodeMessage(bytes);
    const bool sound = !message || !encodeMessage(*message).empty();
    RC_ASSERT(sound);
  }));
}

TEST_CASE("codec_damaged_messages_no_crash") {
  CHECK(rc::check([] {
    const std::vector<Message> all = samples();
    std::string bytes =
        encodeMessage(all[*rc::gen::inRange<std::size_t>(0, all.size())]);
    RC_PRE(!bytes.empty());
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        *rc::gen::arbitrary<char>();
    decodeMessage(bytes);
  }));
}

TEST_CASE("identity_forms_checked") {
  CHECK(decodeIdentity(encodeIdentity(Owner)) == Owner);
  CHECK_FALSE(decodeIdentity("h1"));
  CHECK_FALSE(decodeIdentity("|7"));
  CHECK_FALSE(decodeIdentity("h1|0"));
  CHECK_FALSE(decodeIdentity("h1|7x"));
}
