/// How much one owned target can bear, and which grants occupy it.
#pragma once

#include "context.h"

#include <deque>
#include <map>
#include <optional>

namespace nutmegsill::detail {

/// A grant and the entry that holds it.
struct SlotKey {
  HostId Entry;
  GrantRef Grant;
  auto operator<=>(const SlotKey &) const = default;
};

/// A slot that is in use.
struct SlotUse {
  Incarnation EntryLife;
  Time IssuedAt;
};

class Slots {
public:
  Slots() = default;
  /// Starts cold; `held` grants of earlier owners are in use.
  Slots(Context &context, const TargetConfig &config, Time now);

  /// Slots that may still be granted now.
  std::uint32_t free(const TargetConfig &config, Time now) const;
  void occupy(const SlotKey &key, Incarnation life, Time now);
  /// Keeps a slot for the entry's next request; false when it was not in use.
  bool renew(const SlotKey &key, Time now);
  /// Frees a slot; false when it was not in use.
  bool release(const SlotKey &key);
  /// Frees the slots of an entry that has long been silent, and counts what the
  /// target reports beyond the rest in their place. Does nothing without a
  /// recent report.
  void dropSilent(const HostId &entry, Time now, Duration reportLife);
  /// Grows the limit after a completed request.
  void noteCompleted(Context &context, const TargetConfig &config, Time now);
  /// Drops the limit to the floor after a failure or a new start.
  void noteRestart(Context &context, const TargetConfig &config, Time now);
  /// Takes a load report; true when the target has started anew.
  bool noteReport(Context &context, const TargetConfig &config,
                  const LoadReport &report, Time now);
  /// Sets the limit to what the target was seen to bear at a take-over.
  void adoptLoad(const TargetConfig &config);
  /// Follows the operators' in and out.
  void noteAccepted(Context &context, const TargetConfig &config, bool accepted,
                    Time now);

  const std::string &state() const { return State; }
  std::uint32_t limit(const TargetConfig &config, Time now) const;
  std::uint32_t inUse() const;
  const std::map<SlotKey, SlotUse> &uses() const { return Uses; }

private:
  std::string State;
  std::string StartId;
  std::uint32_t Limit = 1;
  Time StartedAt;
  /// No grants before this time, after repeated failures without success.
  Time RestUntil;
  std::uint32_t FailuresInRow = 0;
  /// Running requests that no known grant explains.
  std::uint32_t Foreign = 0;
  /// Known grants at the last reports, newest last.
  std::deque<std::uint32_t> KnownBefore;
  std::uint32_t Reported = 0;
  std::optional<Time> ReportedAt;
  std::map<SlotKey, SlotUse> Uses;
};

} // namespace nutmegsill::detail
