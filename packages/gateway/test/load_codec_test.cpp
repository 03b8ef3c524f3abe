#include "load_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace nutmegsill::gateway {

TEST_CASE("load_codec_any_report_returns_equal") {
  const bool held = rc::check([](const std::vector<std::uint64_t> &numbers) {
    routing::LoadReport report;
    for (const std::uint64_t it : numbers) {
      const std::string name = "x-" + std::to_string(it);
      report.Targets.push_back(
          {TargetId{name}, it, static_cast<std::uint32_t>(it & 0xffffU)});
      report.PromptsSent.push_back({TargetId{name}, it, numbers});
      report.IncludedHosts.push_back(HostId{name});
      report.Teams.push_back({TeamId{name}, {1.5, 0.5}});
    }
    const std::optional<routing::LoadReport> back =
        decodeLoad(encodeLoad(report));
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->Targets.size() == numbers.size());
    for (std::size_t i = 0; i < numbers.size(); ++i) {
      RC_ASSERT(back->Targets[i].Target == report.Targets[i].Target);
      RC_ASSERT(back->Targets[i].PrefillTokens == numbers[i]);
      RC_ASSERT(back->Targets[i].RunningRequests ==
                report.Targets[i].RunningRequests);
      RC_ASSERT(back->PromptsSent[i].PrefillTokens == numbers[i]);
      RC_ASSERT(back->PromptsSent[i].Parts == numbers);
      RC_ASSERT(back->IncludedHosts[i] == report.IncludedHosts[i]);
      RC_ASSERT(back->Teams[i].Rate.Requested == 1.5);
    }
  });
  CHECK(held);
}

TEST_CASE("load_codec_any_bytes_are_decoded_or_refused") {
  const bool held = rc::check([](const std::string &bytes) {
    const std::optional<routing::LoadReport> report = decodeLoad(bytes);
    for (const routing::TeamTraffic &it :
         report.value_or(routing::LoadReport()).Teams) {
      RC_ASSERT(it.Rate.Requested >= 0);
    }
  });
  CHECK(held);
}

TEST_CASE("load_codec_negative_rate_is_refused") {
  routing::LoadReport report;
  report.Teams = {{TeamId{"t"}, {-1, 0}}};
  CHECK_FALSE(decodeLoad(encodeLoad(report)));
}

} // namespace nutmegsill::gateway
