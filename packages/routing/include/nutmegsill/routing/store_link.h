/// Decides which call keeps this router's picture of the store up to date.
#pragma once

#include "nutmegsill/chart.h"
#include "nutmegsill/types.h"

#include <optional>
#include <string>
#include <variant>

namespace nutmegsill::routing {

/// A position in the store's history.
using StoreRevision = Number<struct StoreRevisionKind>;

struct StoreLinkPolicy {
  /// How long a watch may wait for a change. Checks find one that hangs.
  Duration WatchWait = milliseconds(10'000);
  /// The same after a call that failed, so that a connection which hangs
  /// through the store's return is given up soon.
  Duration ProbeWait = milliseconds(200);
  /// Time beyond `WatchWait` after which a call counts as lost.
  Duration AnswerSlack = milliseconds(600);
  /// Interval of the checks that nothing was missed: well under the time for
  /// which a configuration counts as current.
  Duration CheckInterval = milliseconds(1'800);
  /// Time for a change to arrive by the watch before it counts as missed.
  Duration CatchUp = milliseconds(150);
  Duration FirstRetry = milliseconds(100);
  Duration LastRetry = milliseconds(400);
};

struct ListCall {};
struct WatchCall {
  StoreRevision After;
  Duration Wait{0};
};
struct PauseCall {
  Duration For{0};
};
using StoreCall = std::variant<ListCall, WatchCall, PauseCall>;

/// The state of the link; its steps are in `charts/store_link.json`.
class StoreLink {
public:
  StoreLink(Chart chart, StoreLinkPolicy policy);
  /// Reads the built-in chart; nothing and a reason when it is malformed.
  static std::optional<StoreLink> create(StoreLinkPolicy policy,
                                         std::string &reason);

  StoreCall next();
  void listed(StoreRevision at, Time sentAt);
  /// A watch was answered. A watch proves nothing: it may be silent for
  /// seconds while the store drops its history.
  void watched(StoreRevision at);
  /// A read that was sent at `sentAt` showed that the store is at `at`. False
  /// when changes up to there are still missing.
  bool checked(StoreRevision at, Time sentAt);
  void historyGone();
  void failed();

  /// The newest moment of which all changes are known.
  std::optional<Time> provenAt() const { return ProvenAt; }
  /// The last call failed.
  bool failing() const { return Retry > Duration{0}; }
  StoreRevision revision() const { return At; }
  const std::string &state() const { return State; }
  const StoreLinkPolicy &policy() const { return Policy; }
  const Chart &chart() const { return Steps; }

private:
  void step(const char *event);

  Chart Steps;
  StoreLinkPolicy Policy;
  std::string State;
  StoreRevision At;
  std::optional<Time> ProvenAt;
  Duration Retry{0};
  bool Paused = false;
};

} // namespace nutmegsill::routing
