/// Selects the calls by which a router follows the changes of the store.
#pragma once

#include "nutmegsill/state_chart.h"
#include "nutmegsill/types.h"

#include <optional>
#include <string>
#include <variant>

namespace nutmegsill::routing {

/// Numbers the histories of the store: a store that was restored from a copy
/// continues from the copy with another history.
using StoreEra = Number<struct StoreEraKind>;

/// A revision of one of the store's histories. Every revision of a later
/// history is newer than all of an earlier one.
struct StoreRevision {
  std::uint64_t Value = 0;
  StoreEra Era{};

  bool operator==(const StoreRevision &) const = default;
  std::strong_ordering operator<=>(const StoreRevision &other) const {
    if (Era != other.Era) {
      return Era <=> other.Era;
    }
    return Value <=> other.Value;
  }
};

struct StoreLinkPolicy {
  /// Maximum time that a watch waits for a change. A hanging watch is detected
  /// by the revision checks.
  Duration MaxWatchWait = milliseconds(10'000);
  /// Used instead of `MaxWatchWait` after a failed call, so that a connection
  /// that still hangs after the store has recovered is closed soon.
  Duration MaxProbeWait = milliseconds(200);
  /// Time in addition to the wait of a watch after which the call is treated as
  /// failed.
  Duration ResponseMargin = milliseconds(600);
  /// Interval of the checks for missed changes: a quarter of the maximum age of
  /// a configuration (`AdmissionPolicy::MaxConfigAgeFraction`), as the proofs
  /// for other routers are up to two intervals old.
  Duration RevisionCheckInterval = milliseconds(800);
  /// Time that a change may take to arrive by the watch before it is treated as
  /// missed.
  Duration WatchLagTolerance = milliseconds(150);
  Duration InitialBackoff = milliseconds(100);
  Duration MaxBackoff = milliseconds(400);
  /// Delay after a failed call of a router that only stands in for the readers
  /// of its group, up to twice as long: the readers find the store's return,
  /// and hundreds of routers must not call a store that is away.
  Duration StandInBackoff = milliseconds(1'000);
};

struct ListCall {};
struct WatchCall {
  StoreRevision AfterRevision;
  Duration MaxWait{0};
};
struct BackoffCall {
  Duration Delay{0};
};
using StoreCall = std::variant<ListCall, WatchCall, BackoffCall>;

/// State of the connection to the store. Its transitions are defined in
/// `charts/store_link.json`.
class StoreLink {
public:
  StoreLink(StateChart chart, StoreLinkPolicy policy);
  /// Parses the built-in chart; returns nothing and sets `reason` if it is
  /// malformed.
  static std::optional<StoreLink> create(StoreLinkPolicy policy,
                                         std::string &reason);

  /// Returns the next call to make. After a failure, a backoff comes first.
  StoreCall nextCall();
  void recordListing(StoreRevision storeRevision, Time sentAt);
  /// Records the response of a watch without advancing `currentAsOf`: a watch
  /// may stay silent for seconds while the store discards its history.
  void recordWatch(StoreRevision storeRevision);
  /// Records changes that another router has relayed; returns false if changes
  /// before them are missing, or are of another history.
  bool recordRelayed(StoreRevision after, StoreRevision storeRevision);
  /// Records that a read sent at `sentAt` found the store at `storeRevision`.
  /// Returns false if changes up to that revision have not been received yet.
  bool confirmRevision(StoreRevision storeRevision, Time sentAt);
  void recordHistoryGone();
  void recordFailure();

  /// The latest time up to which all changes are known.
  std::optional<Time> currentAsOf() const { return CurrentAsOf; }
  /// The last call failed.
  bool isFailing() const { return CurrentBackoff > Duration{0}; }
  StoreRevision revision() const { return Revision; }
  const std::string &state() const { return State; }
  const StoreLinkPolicy &policy() const { return Policy; }
  const StateChart &chart() const { return Chart; }

private:
  void applyEvent(const char *event);

  StateChart Chart;
  StoreLinkPolicy Policy;
  std::string State;
  StoreRevision Revision;
  std::optional<Time> CurrentAsOf;
  Duration CurrentBackoff{0};
  bool BackoffReturned = false;
};

} // namespace nutmegsill::routing
