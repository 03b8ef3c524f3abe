/// Decides which call keeps this router's picture of the store up to date.
#pragma once

#include "nutmegsill/state_chart.h"
#include "nutmegsill/types.h"

#include <optional>
#include <string>
#include <variant>

namespace nutmegsill::routing {

/// A position in the store's history.
using StoreRevision = Number<struct StoreRevisionKind>;

struct StoreLinkPolicy {
  /// How long a watch may wait for a change. Checks find one that hangs.
  Duration MaxWatchWait = milliseconds(10'000);
  /// The same after a call that failed, so that a connection which hangs
  /// through the store's return is given up soon.
  Duration MaxProbeWait = milliseconds(200);
  /// Time beyond `MaxWatchWait` after which a call counts as lost.
  Duration ResponseMargin = milliseconds(600);
  /// Interval of the checks that nothing was missed: well under the time for
  /// which a configuration counts as current.
  Duration RevisionCheckInterval = milliseconds(1'800);
  /// Time for a change to arrive by the watch before it counts as missed.
  Duration WatchLagTolerance = milliseconds(150);
  Duration InitialBackoff = milliseconds(100);
  Duration MaxBackoff = milliseconds(400);
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

/// The state of the link; its steps are in `charts/store_link.json`.
class StoreLink {
public:
  StoreLink(StateChart chart, StoreLinkPolicy policy);
  /// Reads the built-in chart; nothing and a reason when it is malformed.
  static std::optional<StoreLink> create(StoreLinkPolicy policy,
                                         std::string &reason);

  StoreCall nextCall();
  void recordListing(StoreRevision at, Time sentAt);
  /// A watch was answered. A watch proves nothing: it may be silent for
  /// seconds while the store drops its history.
  void recordWatch(StoreRevision at);
  /// A read that was sent at `sentAt` showed that the store is at `at`. False
  /// when changes up to there are still missing.
  bool confirmRevision(StoreRevision at, Time sentAt);
  void recordHistoryGone();
  void recordFailure();

  /// The newest moment of which all changes are known.
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
