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
using IncarnationId = Number<struct IncarnationKind>;
/// Counts accepted configurations.
using ConfigRevision = Number<struct RevisionKind>;

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

constexpr std::int64_t toMilliseconds(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

constexpr double toSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// One process: a host and which of its lives.
struct Instance {
  HostId Host;
  IncarnationId Incarnation;
  auto operator<=>(const Instance &) const = default;
};

} // namespace nutmegsill
