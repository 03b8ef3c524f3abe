#include "configsync.h"

#include <algorithm>

namespace nutmegsill::detail {

namespace {

/// All routers together read the head about this often.
constexpr Duration PollPerMember = milliseconds(10);
/// Pause between two requests to a peer.
constexpr Duration PeerRetry = milliseconds(500);

std::vector<HeadFile> allFiles(const HeadRecord &head) {
  std::vector<HeadFile> files = head.Files;
  files.insert(files.end(), head.Overrides.begin(), head.Overrides.end());
  return files;
}

} // namespace

Revision ConfigSync::revision() const {
  return Ctx.Config ? Ctx.Config->Number : Revision{};
}

Duration ConfigSync::age() const {
  return ConfirmedAt ? Ctx.Now - *ConfirmedAt : Duration::max() / 2;
}

bool ConfigSync::serviceReachable() const {
  return !olderThan(AnsweredAt, Ctx.Now, Ctx.Limits.IsolatedAfter / 2);
}

void ConfigSync::onTick() {
  const Duration perFleet =
      PollPerMember * static_cast<std::int64_t>(Members.members().size());
  if (olderThan(PolledAt, Ctx.Now, std::max(Ctx.Limits.ConfigPoll, perFleet))) {
    readHead();
  }
}

void ConfigSync::readHead() {
  PolledAt = Ctx.Now;
  Calls[Ctx.call(KvRead{{HeadKey}})] = Purpose::Head;
}

bool ConfigSync::onReply(const PlatformReply &reply) {
  const auto it = Calls.find(reply.Id);
  if (it == Calls.end()) {
    return false;
  }
  const Purpose why = it->second;
  Calls.erase(it);
  const KvValues *values = std::get_if<KvValues>(&reply.Result);
  if (values == nullptr || values->Values.empty()) {
    return true;
  }
  AnsweredAt = std::max(AnsweredAt, std::optional<Time>(reply.SentAt));
  if (why == Purpose::Head) {
    onHead(reply.SentAt, values->Values.front());
  } else {
    onFiles(*values);
  }
  return true;
}

void ConfigSync::onHead(Time sentAt, const KvValue &value) {
  if (value.ModRevision == 0) {
    return;
  }
  const std::optional<HeadRecord> head = decodeHead(value.Text);
  if (!head) {
    Ctx.decide("configuration_head_unreadable", {});
    return;
  }
  if (head->Number == revision()) {
    ConfirmedAt = std::max(ConfirmedAt, std::optional<Time>(sentAt));
  } else if (revision() < head->Number) {
    fetch(*head, value.Text);
  }
}

void ConfigSync::fetch(const HeadRecord &head, const std::string &text) {
  Wanted = head;
  WantedText = text;
  Missing.clear();
  KvRead read;
  for (const HeadFile &file : allFiles(head)) {
    if (Texts.count(file.Hash) == 0) {
      Missing.push_back(file.Hash);
      read.Keys.push_back(fileKey(file.Hash));
    }
  }
  if (Missing.empty()) {
    adopt();
    return;
  }
  Calls[Ctx.call(read)] = Purpose::Files;
}

void ConfigSync::onFiles(const KvValues &values) {
  const bool whole =
      values.Values.size() == Missing.size() &&
      std::all_of(values.Values.begin(), values.Values.end(),
                  [](const KvValue &it) { return it.ModRevision != 0; });
  if (!whole) {
    return;
  }
  for (std::size_t i = 0; i < Missing.size(); ++i) {
    Texts[Missing[i]] = values.Values[i].Text;
  }
  adopt();
}

void ConfigSync::adopt() {
  if (!Wanted || Wanted->Number <= revision()) {
    return;
  }
  std::vector<ConfigFile> files;
  std::map<std::string, std::string> kept;
  for (const HeadFile &file : allFiles(*Wanted)) {
    const auto text = Texts.find(file.Hash);
    if (text == Texts.end()) {
      return;
    }
    files.push_back({file.Name, text->second});
    kept[file.Hash] = text->second;
  }
  const ConfigResult result = parseConfiguration(files, Wanted->Number);
  if (!result.Value) {
    Ctx.decide("configuration_refused",
               {{"revision", std::to_string(Wanted->Number.Value)},
                {"fault", describe(result.Faults.front())}});
    return;
  }
  Texts = std::move(kept);
  Head = Wanted;
  HeadText = WantedText;
  Ctx.Config = result.Value;
  Ctx.decide("configuration_in_force",
             {{"revision", std::to_string(Wanted->Number.Value)},
              {"change", Wanted->ChangeId}});
  Ctx.emit(ConfigInForce{result.Value});
}

void ConfigSync::onPeerRevision(const HostId &peer, Revision number,
                                Duration age, std::optional<Time> askedAt) {
  if (revision() < number) {
    if (olderThan(AskedPeerAt, Ctx.Now, PeerRetry)) {
      AskedPeerAt = Ctx.Now;
      AskPeerNext = !AskPeerNext;
      // In turn, since the service may have failed a moment ago.
      if (AskPeerNext && serviceReachable()) {
        readHead();
      } else {
        Ctx.send(peer, ConfigRequest{number});
      }
    }
    return;
  }
  if (askedAt && number == revision() && number.Value != 0) {
    ConfirmedAt = std::max(ConfirmedAt, std::optional<Time>(*askedAt - age));
  }
}

void ConfigSync::onConfigRequest(const HostId &from,
                                 const ConfigRequest &request) {
  if (!Head || Head->Number < request.AtLeast) {
    return;
  }
  ConfigReply reply{HeadText, {}};
  for (const HeadFile &file : allFiles(*Head)) {
    reply.Texts.push_back(Texts.at(file.Hash));
  }
  Ctx.send(from, reply);
}

void ConfigSync::onConfigReply(const ConfigReply &reply) {
  const std::optional<HeadRecord> head = decodeHead(reply.Head);
  if (!head || head->Number <= revision()) {
    return;
  }
  const std::vector<HeadFile> files = allFiles(*head);
  if (files.size() != reply.Texts.size()) {
    return;
  }
  for (std::size_t i = 0; i < files.size(); ++i) {
    Texts[files[i].Hash] = reply.Texts[i];
  }
  Wanted = head;
  WantedText = reply.Head;
  adopt();
}

} // namespace nutmegsill::detail
