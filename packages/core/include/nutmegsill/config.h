/// The operators' configuration: parsed, merged and checked as a whole.
#pragma once

#include "nutmegsill/types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegsill {

/// An availability zone that targets live in.
struct ZoneConfig {
  bool Out = false;
};

/// What a pool serves.
enum class PoolKindOf { Model, Service };

/// A set of interchangeable targets.
struct PoolConfig {
  PoolKindOf Kind = PoolKindOf::Model;
  /// Path prefix of a plain service, such as "/licences".
  std::string Prefix;
  /// Cost charged before the real cost is known, in cost units.
  Cost Estimate{64};
  /// Longest time a request waits in a queue before it is refused.
  milliseconds QueueTimeout{30'000};
};

/// One back end.
struct TargetConfig {
  PoolId Pool;
  ZoneId Zone;
  /// "IP:port" of its HTTP interface.
  std::string Address;
  /// Requests it bears when warm.
  std::uint32_t Slots = 1;
  /// Requests it bears just after a start.
  std::uint32_t ColdSlots = 1;
  /// Shortest time from a start to full load.
  milliseconds WarmUp{10'000};
  /// Whether it refuses requests with an older epoch than it has seen.
  bool Fencing = false;
  bool Out = false;
};

/// A customer that shares capacity.
struct TeamConfig {
  std::uint32_t Weight = 1;
  /// Lower-case hexadecimal SHA-256 of each bearer key.
  std::vector<std::string> KeyHashes;
  /// Requests of this team that may wait at one entry host.
  std::uint32_t QueueLimit = 1000;
};

/// A checked configuration of one revision.
struct Configuration {
  Revision Number;
  std::map<ZoneId, ZoneConfig> Zones;
  std::map<PoolId, PoolConfig> Pools;
  std::map<TargetId, TargetConfig> Targets;
  std::map<TeamId, TeamConfig> Teams;
  std::map<std::string, TeamId> TeamByKeyHash;

  /// True while neither the target nor its zone is taken out.
  bool accepts(const TargetId &id) const;
  /// The pool of a plain service that serves `path`, longest prefix first.
  std::optional<PoolId> poolForPath(const std::string &path) const;
};

/// One file of the configuration folder.
struct ConfigFile {
  std::string Name;
  std::string Text;
  bool operator==(const ConfigFile &) const = default;
};

/// A fault in the configuration: where, and what was expected there.
struct ConfigFault {
  std::string File;
  std::string Path;
  std::string Expected;
};

/// A configuration, or every fault found; never both.
struct ConfigResult {
  std::shared_ptr<const Configuration> Value;
  std::vector<ConfigFault> Faults;
};

/// Merges `files` in the order of their names (RFC 7396) and checks the whole.
ConfigResult parseConfiguration(std::vector<ConfigFile> files, Revision number);

/// Formats a fault as "FILE: PATH: expected EXPECTED".
std::string describe(const ConfigFault &fault);

} // namespace nutmegsill
