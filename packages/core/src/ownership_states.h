/// Names and intervals that the parts of the ownership share.
#pragma once

#include "nutmegsill/types.h"

#include <string>

namespace nutmegsill::detail {

inline constexpr const char *None = "none";
inline constexpr const char *Swapping = "swapping";
inline constexpr const char *Waiting = "waiting";
inline constexpr const char *Recovering = "recovering";
inline constexpr const char *Granting = "granting";
/// Intervals of `RecordRetry` between reads of a record that others own.
inline constexpr int IdleReadIntervals = 8;

/// Key by which hosts are ranked for a target.
inline std::string ownerKeyOf(const TargetId &id) { return "owner/" + id.Text; }

} // namespace nutmegsill::detail
