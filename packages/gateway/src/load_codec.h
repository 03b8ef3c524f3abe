/// Protobuf encoding of load reports.
#pragma once

#include "nutmegsill/routing/load_report.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill::gateway {

std::string encodeLoad(const routing::LoadReport &report);
/// Returns nothing when `bytes` is not a report or a rate in it is negative or
/// not finite.
std::optional<routing::LoadReport> decodeLoad(std::string_view bytes);

} // namespace nutmegsill::gateway
