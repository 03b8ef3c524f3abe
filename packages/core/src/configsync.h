/// Follows the accepted configuration and never goes back.
#pragma once

#include "membership.h"

#include <map>
#include <optional>

namespace nutmegsill::detail {

class ConfigSync {
public:
  ConfigSync(Context &context, Membership &membership)
      : Ctx(context), Members(membership) {}

  void onTick();
  /// Takes the reply when this part made the call.
  bool onReply(const PlatformReply &reply);
  /// Takes a peer's revision; `askedAt` is set for answers to heartbeats.
  void onPeerRevision(const HostId &peer, Revision number, Duration age,
                      std::optional<Time> askedAt);
  void onConfigRequest(const HostId &from, const ConfigRequest &request);
  void onConfigReply(const ConfigReply &reply);

  Revision revision() const;
  /// Time since the configuration in force was known to be the newest.
  Duration age() const;
  /// True when the service answered lately.
  bool serviceReachable() const;

private:
  enum class Purpose { Head, Files };

  void readHead();
  void onHead(Time sentAt, const KvValue &value);
  void fetch(const HeadRecord &head, const std::string &text);
  void onFiles(const KvValues &values);
  void adopt();

  Context &Ctx;
  Membership &Members;
  std::map<CallId, Purpose> Calls;
  std::map<std::string, std::string> Texts;
  std::optional<HeadRecord> Wanted;
  std::string WantedText;
  std::vector<std::string> Missing;
  std::string HeadText;
  std::optional<HeadRecord> Head;
  std::optional<Time> PolledAt;
  std::optional<Time> AnsweredAt;
  std::optional<Time> ConfirmedAt;
  std::optional<Time> AskedPeerAt;
  bool AskPeerNext = false;
};

} // namespace nutmegsill::detail
