#include "nutmegsill/routing/store_link.h"

#include "builtin_store_link.h"

#include <algorithm>

namespace nutmegsill::routing {

StoreLink::StoreLink(StateChart chart, StoreLinkPolicy policy)
    : Chart(std::move(chart)), Policy(policy), State(Chart.initial()) {}

std::optional<StoreLink> StoreLink::create(StoreLinkPolicy policy,
                                           std::string &reason) {
  const StateChartSymbols symbols{
      {"listing", "watching"},
      {"listed", "failed", "watched", "history_gone"},
      {}};
  std::vector<std::string> errors;
  std::optional<StateChart> chart =
      StateChart::parse("store_link", storeLinkChartText(), symbols, errors);
  if (!chart) {
    reason = "invalid store_link chart: " + errors.front();
    return std::nullopt;
  }
  return StoreLink(std::move(*chart), policy);
}

void StoreLink::applyEvent(const char *event) {
  const std::optional<std::string> next = Chart.nextState(State, event);
  if (next) {
    State = *next;
  }
}

StoreCall StoreLink::nextCall() {
  if (CurrentBackoff > Duration{0} && !BackoffReturned) {
    BackoffReturned = true;
    return BackoffCall{CurrentBackoff};
  }
  BackoffReturned = false;
  if (State == "watching") {
    const bool probe = CurrentBackoff > Duration{0};
    return WatchCall{Revision,
                     probe ? Policy.MaxProbeWait : Policy.MaxWatchWait};
  }
  return ListCall{};
}

void StoreLink::recordListing(StoreRevision storeRevision, Time sentAt) {
  applyEvent("listed");
  Revision = std::max(Revision, storeRevision);
  CurrentBackoff = Duration{0};
  CurrentAsOf = std::max(CurrentAsOf.value_or(sentAt), sentAt);
}

void StoreLink::recordWatch(StoreRevision storeRevision) {
  applyEvent("watched");
  Revision = std::max(Revision, storeRevision);
  CurrentBackoff = Duration{0};
}

bool StoreLink::recordRelayed(StoreRevision after,
                              StoreRevision storeRevision) {
  const bool sameEra =
      Revision.Era == after.Era && Revision.Era == storeRevision.Era;
  if (State != "watching" || !sameEra || Revision < after) {
    return false;
  }
  Revision = std::max(Revision, storeRevision);
  return true;
}

bool StoreLink::confirmRevision(StoreRevision storeRevision, Time sentAt) {
  if (Revision < storeRevision) {
    return false;
  }
  CurrentAsOf = std::max(CurrentAsOf.value_or(sentAt), sentAt);
  return true;
}

void StoreLink::recordHistoryGone() {
  applyEvent("history_gone");
  CurrentBackoff = Duration{0};
}

void StoreLink::recordFailure() {
  applyEvent("failed");
  CurrentBackoff = CurrentBackoff == Duration{0}
                       ? Policy.InitialBackoff
                       : std::min(Policy.MaxBackoff, CurrentBackoff * 2);
}

} // namespace nutmegsill::routing
