/// Strong types for identifiers, units and time used by every package.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace nutmegsill {

/// A textual identifier. Two kinds of identifier never compare or convert.
template <class Kind> struct Id {
  std::string Text;
  auto operator<=>(const Id &) const = default;
};

using HostId = Id<struct HostKind>;
using ZoneId = Id<struct ZoneKind>;
using TeamId = Id<struct TeamKind>;
using PoolId = Id<struct PoolKind>;
using TargetId = Id<struct TargetKind>;

/// A 64-bit number with a meaning. Two kinds of number never mix.
template <class Kind> struct Number {
  std::uint64_t Value = 0;
  auto operator<=>(const Number &) const = default;
};

/// Distinguishes two lives of the same host; drawn once per process start.
using Incarnation = Number<struct IncarnationKind>;
/// Counts the owners of one target; used as fencing number towards targets.
using Epoch = Number<struct EpochKind>;
/// Counts accepted configurations.
using Revision = Number<struct RevisionKind>;
/// Names a request within one router process.
using RequestId = Number<struct RequestKind>;
/// Names a grant within one owner incarnation.
using GrantId = Number<struct GrantKind>;
/// Names a call to the platform's key-value service within one process.
using CallId = Number<struct CallKind>;

/// Work done for a team, in cost units (one generated token, or one call of a
/// plain service times the pool's cost).
struct Cost {
  std::int64_t Units = 0;
  auto operator<=>(const Cost &) const = default;
};

/// Service received per unit of weight, in thousandths of a cost unit.
struct VirtualService {
  std::int64_t Milli = 0;
  auto operator<=>(const VirtualService &) const = default;
  VirtualService operator+(VirtualService o) const { return {Milli + o.Milli}; }
  VirtualService operator-(VirtualService o) const { return {Milli - o.Milli}; }
};

/// Converts work to service per unit of weight. A weight is at least one.
constexpr VirtualService perWeight(Cost cost, std::uint32_t weight) {
  return {cost.Units * 1000 / static_cast<std::int64_t>(weight)};
}

/// The monotonic clock of one process. It has no `now`: time is an input.
struct ProcessClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<ProcessClock, duration>;
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::microseconds;
using Time = ProcessClock::time_point;
using std::chrono::milliseconds;

constexpr std::int64_t wholeMillis(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

/// One process: a host and which of its lives.
struct Instance {
  HostId Host;
  Incarnation Life;
  auto operator<=>(const Instance &) const = default;
};

} // namespace nutmegsill
