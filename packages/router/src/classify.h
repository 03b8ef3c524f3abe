/// Recognises what a caller asks for.
#pragma once

#include "nutmegsill/config.h"
#include "problem.h"

#include <string>
#include <string_view>
#include <variant>

namespace nutmegsill {

/// The parts of a caller's request that decide where it goes.
struct CallerHead {
  std::string Method;
  std::string Path;
  std::string Authorization;
  std::string IdempotencyKey;
};

/// A request that may go to a pool.
struct PoolCall {
  TeamId Team;
  PoolId Pool;
  bool Idempotent = true;
  std::string IdempotencyKey;
};

/// The team of a bearer key, or a 401 problem.
std::variant<TeamId, Problem> teamOf(const Configuration &config,
                                     const std::string &authorization);

/// The pool call of a request with a whole body, or a problem.
std::variant<PoolCall, Problem> classify(const Configuration &config,
                                         const CallerHead &head,
                                         std::string_view body);

} // namespace nutmegsill
