/// Joins the parts of the decisions and routes events to them.
#pragma once

#include "claims.h"
#include "configsync.h"
#include "entry.h"
#include "granter.h"
#include "ledger.h"
#include "membership.h"
#include "ownership.h"

namespace nutmegsill::detail {

class Core {
public:
  explicit Core(Context context);
  Core(const Core &) = delete;
  Core &operator=(const Core &) = delete;

  std::vector<Effect> handle(const Event &event);
  Status status() const;

private:
  void on(const Tick &tick);
  void on(const CallerRequest &request);
  void on(const CallerGone &gone);
  void on(const AnswerProgress &progress);
  void on(const ExchangeEnded &ended);
  void on(const PeerMessage &message);
  void on(const PlatformReply &reply);
  void on(const LoadReport &report);
  void on(const HostList &list);
  void on(const ConfigAccepted &accepted);
  void on(const StopRequested &stop);

  void receive(const Instance &from, const Message &message);
  void onHeartbeat(const Instance &from, const Heartbeat &beat);
  void onHeartbeatReply(const Instance &from, const HeartbeatReply &reply);
  void noteOwned(const Instance &from, const std::vector<TargetEpoch> &owned);
  void sendHeartbeats();
  void updateState();
  void askForOwnerMap();
  bool serving() const { return State == "serving"; }

  Context Ctx;
  Membership Members;
  Ledger Shares;
  Ownership Owners;
  Granter Grants;
  Claims Keys;
  Entry Requests;
  ConfigSync Config;
  std::string State;
  std::optional<Time> BeatAt;
  std::uint64_t Beats = 0;
  std::optional<Time> AskedMapAt;
  std::optional<Time> StopAt;
  std::optional<Time> IsolatedSince;
  bool MapKnown = false;
};

} // namespace nutmegsill::detail
