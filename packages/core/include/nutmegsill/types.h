/// Strong types for identifiers, numbers and time, shared by all packages.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace nutmegsill {

/// A textual identifier. Identifiers of different kinds cannot be compared with
/// or converted to each other.
template <class Kind> struct Id {
  std::string Text;
  auto operator<=>(const Id &) const = default;
};

using HostId = Id<struct HostKind>;
using ZoneId = Id<struct ZoneKind>;
using TeamId = Id<struct TeamKind>;
using PoolId = Id<struct PoolKind>;
using TargetId = Id<struct TargetKind>;

/// A strongly typed 64-bit number. Numbers of different kinds cannot be
/// compared with or converted to each other.
template <class Kind> struct Number {
  std::uint64_t Value = 0;
  auto operator<=>(const Number &) const = default;
};

/// Distinguishes successive processes of one host; generated once per process
/// start.
using IncarnationId = Number<struct IncarnationKind>;
/// Version number of an accepted configuration; later ones are higher.
using ConfigRevision = Number<struct RevisionKind>;

/// The monotonic clock of one process. It has no `now()`: the current time is
/// always passed as an argument.
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

/// One process: a host and its incarnation.
struct Instance {
  HostId Host;
  IncarnationId Incarnation;
  auto operator<=>(const Instance &) const = default;
};

} // namespace nutmegsill
