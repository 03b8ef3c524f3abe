/// Names one process of a target.
#pragma once

#include "nutmegsill/types.h"

#include <cstdint>

namespace nutmegsill::routing {

/// A process of a target; a restarted target may keep its id.
struct TargetProcess {
  TargetId Target;
  /// As in `TargetEntry`.
  std::int64_t StartedAtMs = 0;
  auto operator<=>(const TargetProcess &) const = default;
};

} // namespace nutmegsill::routing
