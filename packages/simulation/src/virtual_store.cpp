#include "virtual_store.h"

#include <algorithm>

namespace nutmegsill::simulation {

using routing::StoreRevision;
using routing::StoreUpdate;

namespace {

constexpr Duration ResponseLatency = milliseconds(4);
/// The caller's time-out for a call to a silent store.
constexpr Duration CallTimeout = milliseconds(700);

} // namespace

void VirtualStore::put(const std::string &key, StoreUpdate update,
                       StoreUpdate removal, std::optional<Duration> ttl) {
  Item &item = Items[key];
  item.CurrentUpdate = update;
  item.RemovalUpdate = std::move(removal);
  item.Ttl = ttl;
  item.Revision = Revision + 1;
  item.WriteSequence = ++LastWriteSequence;
  recordChange(update);
  scheduleLeaseExpiry(key);
}

void VirtualStore::erase(const std::string &key) {
  const auto it = Items.find(key);
  if (it == Items.end()) {
    return;
  }
  const StoreUpdate removal = it->second.RemovalUpdate;
  Items.erase(it);
  recordChange(removal);
}

void VirtualStore::scheduleLeaseExpiry(const std::string &key) {
  const Item &item = Items.at(key);
  if (item.Ttl) {
    Clock.scheduleAfter(*item.Ttl,
                        [this, key, writeSequence = item.WriteSequence] {
                          expireLease(key, writeSequence);
                        });
  }
}

void VirtualStore::expireLease(const std::string &key,
                               std::uint64_t writeSequence) {
  const auto it = Items.find(key);
  if (it == Items.end() || it->second.WriteSequence != writeSequence) {
    return;
  }
  if (isUnavailable() && !LeasesExpire) {
    scheduleLeaseExpiry(key);
  } else {
    erase(key);
  }
}

void VirtualStore::recordChange(const StoreUpdate &update) {
  ++Revision;
  History.emplace_back(Revision, update);
  std::list<PendingWatch> pending;
  pending.swap(PendingWatches);
  for (PendingWatch &it : pending) {
    if (modeFor(it.Host) != StoreMode::Serving) {
      // The watch hangs until the end of its wait, when the timer set by
      // `watch` replies, or until the router's own time-out.
      continue;
    }
    Clock.scheduleAfter(ResponseLatency, [this, it] {
      const std::optional<StoreUpdates> changes =
          changesAfter(it.AfterRevision);
      it.Reply(changes ? StoreReply(*changes)
                       : StoreReply(StoreFailure::HistoryGone));
    });
  }
}

std::optional<StoreUpdates>
VirtualStore::changesAfter(StoreRevision after) const {
  if (after.Era != Era || after.Value < OldestRevision) {
    return std::nullopt;
  }
  StoreUpdates result;
  result.Revision = currentRevision();
  for (const auto &[revision, update] : History) {
    if (revision > after.Value) {
      result.Updates.push_back(update);
    }
  }
  return result;
}

void VirtualStore::dropHistory() {
  OldestRevision = Revision;
  History.clear();
  PendingWatches.clear();
}

void VirtualStore::keepCopy() {
  CopiedItems = Items;
  CopiedRevision = Revision;
}

void VirtualStore::restoreCopy() {
  Items = CopiedItems;
  Revision = CopiedRevision;
  Era.Value += 1;
  OldestRevision = Revision;
  History.clear();
  for (auto &[key, item] : Items) {
    item.WriteSequence = ++LastWriteSequence;
    scheduleLeaseExpiry(key);
  }
}

void VirtualStore::setMode(std::optional<HostId> host, StoreMode mode,
                           Duration duration, bool leasesExpire) {
  const std::pair<StoreMode, Time> modeUntil{mode, Clock.now() + duration};
  if (host) {
    HostModes[*host] = modeUntil;
  } else {
    CommonMode = modeUntil;
    LeasesExpire = leasesExpire;
  }
  if (mode != StoreMode::Refusing) {
    return;
  }
  // A refusing store closes pending watches; those of a silent store hang.
  for (auto it = PendingWatches.begin(); it != PendingWatches.end();) {
    if (host && it->Host != *host) {
      ++it;
      continue;
    }
    Clock.scheduleAfter(ResponseLatency, [reply = it->Reply] {
      reply(StoreFailure::Unavailable);
    });
    it = PendingWatches.erase(it);
  }
}

bool VirtualStore::isUnavailable() const {
  return CommonMode.first != StoreMode::Serving &&
         CommonMode.second > Clock.now();
}

StoreMode VirtualStore::modeFor(const HostId &host) const {
  if (isUnavailable()) {
    return CommonMode.first;
  }
  const auto it = HostModes.find(host);
  const bool hostModeApplies =
      it != HostModes.end() && it->second.second > Clock.now();
  return hostModeApplies ? it->second.first : StoreMode::Serving;
}

std::uint64_t VirtualStore::callCount(const HostId &host) const {
  const auto it = CallCounts.find(host);
  return it == CallCounts.end() ? 0 : it->second;
}

void VirtualStore::serve(const HostId &host, const ReplyHandler &reply,
                         std::function<void()> work) {
  ++CallCounts[host];
  const StoreMode mode = modeFor(host);
  if (mode == StoreMode::Serving) {
    Clock.scheduleAfter(ResponseLatency, std::move(work));
    return;
  }
  Clock.scheduleAfter(mode == StoreMode::Silent ? CallTimeout : ResponseLatency,
                      [reply] { reply(StoreFailure::Unavailable); });
}

void VirtualStore::list(const HostId &host, ReplyHandler reply) {
  serve(host, reply, [this, reply] {
    StoreUpdates result;
    result.Revision = currentRevision();
    for (const auto &[key, item] : Items) {
      result.Updates.push_back(item.CurrentUpdate);
    }
    reply(result);
  });
}

void VirtualStore::readRevision(const HostId &host, ReplyHandler reply) {
  serve(host, reply, [this, reply] {
    reply(StoreUpdates{{}, currentRevision()});
  });
}

void VirtualStore::watch(const HostId &host, StoreRevision after, Duration wait,
                         ReplyHandler reply) {
  serve(host, reply, [this, host, after, wait, reply] {
    const std::optional<StoreUpdates> changes = changesAfter(after);
    if (!changes) {
      reply(StoreFailure::HistoryGone);
      return;
    }
    if (!changes->Updates.empty()) {
      reply(*changes);
      return;
    }
    const std::shared_ptr<bool> replied = std::make_shared<bool>(false);
    const ReplyHandler replyOnce = [replied, reply](StoreReply it) {
      if (!*replied) {
        *replied = true;
        reply(std::move(it));
      }
    };
    PendingWatches.push_back({host, after, replyOnce});
    Clock.scheduleAfter(wait, [this, host, after, replyOnce] {
      const bool isServing = modeFor(host) == StoreMode::Serving;
      const std::optional<StoreUpdates> latest = changesAfter(after);
      replyOnce(!isServing ? StoreReply(StoreFailure::Unavailable)
                : latest   ? StoreReply(*latest)
                           : StoreReply(StoreFailure::HistoryGone));
    });
  });
}

void VirtualStore::write(const HostId &host, const std::string &key,
                         StoreUpdate update, StoreUpdate removal, Duration ttl,
                         ReplyHandler reply) {
  serve(host, reply, [this, key, update, removal, ttl, reply] {
    put(key, update, removal, ttl);
    reply(StoreUpdates{{}, currentRevision()});
  });
}

void VirtualStore::renewLease(const HostId &host, const std::string &key,
                              ReplyHandler reply) {
  serve(host, reply, [this, key, reply] {
    const auto it = Items.find(key);
    if (it == Items.end()) {
      reply(StoreFailure::HistoryGone);
      return;
    }
    it->second.WriteSequence = ++LastWriteSequence;
    scheduleLeaseExpiry(key);
    reply(StoreUpdates{{}, currentRevision()});
  });
}

} // namespace nutmegsill::simulation
