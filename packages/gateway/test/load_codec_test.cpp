#include "load_codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace nutmegsill::gateway {

TEST_CASE("load_codec_any_report_round_trips") {
  const bool passed = rc::check([](const std::vector<std::uint64_t> &numbers) {
    routing::LoadReport report;
    for (const std::uint64_t it : numbers) {
      const std::string name = "x-" + std::to_string(it);
      report.Targets.push_back(
          {TargetId{name}, it, static_cast<std::uint32_t>(it & 0xffffU)});
      report.PromptsSent.push_back({TargetId{name}, it, numbers});
      report.IncludedHosts.push_back(HostId{name});
      report.Teams.push_back({TeamId{name}, {1.5, 0.5}});
    }
    const std::optional<routing::LoadReport> decoded =
        decodeLoad(encodeLoad(report));
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
    }
  });
  CHECK(passed);
}

TEST_CASE("load_codec_any_bytes_are_decoded_or_rejected") {
  const bool passed = rc::check([](const std::string &bytes) {
    const std::optional<routing::LoadReport> report = decodeLoad(bytes);
    for (const routing::TeamTraffic &it :
         report.value_or(routing::LoadReport()).Teams) {
      RC_ASSERT(it.Rate.Requested >= 0);
    }
  });
  CHECK(passed);
}

TEST_CASE("load_codec_negative_rate_is_rejected") {
  routing::LoadReport report;
  report.Teams = {{TeamId{"t"}, {-1, 0}}};
  CHECK_FALSE(decodeLoad(encodeLoad(report)));
}

} // namespace nutmegsill::gateway
