#include "virtual_store.h"

#include <algorithm>

namespace nutmegsill::simulation {

using routing::StoreRevision;
using routing::StoreUpdate;

namespace {

constexpr Duration AnswerTime = milliseconds(4);
/// Time after which a router takes a call as lost.
constexpr Duration LossTime = milliseconds(700);

} // namespace

void VirtualStore::put(const std::string &key, StoreUpdate present,
                       StoreUpdate gone, std::optional<Duration> life) {
  Item &item = Items[key];
  item.Present = present;
  item.Gone = std::move(gone);
  item.Life = life;
  item.Revision = Revision + 1;
  item.Writes = ++LastWrite;
  changed(present);
  armLease(key);
}

void VirtualStore::erase(const std::string &key) {
  const auto it = Items.find(key);
  if (it == Items.end()) {
    return;
  }
  const StoreUpdate gone = it->second.Gone;
  Items.erase(it);
  changed(gone);
}

void VirtualStore::armLease(const std::string &key) {
  const Item &item = Items.at(key);
  if (item.Life) {
    Clock.after(*item.Life,
                [this, key, writes = item.Writes] { leaseEnds(key, writes); });
  }
}

void VirtualStore::leaseEnds(const std::string &key, std::uint64_t writes) {
  const auto it = Items.find(key);
  if (it == Items.end() || it->second.Writes != writes) {
    return;
  }
  if (away() && !Lapse) {
    armLease(key);
  } else {
    erase(key);
  }
}

void VirtualStore::changed(const StoreUpdate &fact) {
  ++Revision;
  History.emplace_back(Revision, fact);
  std::list<Waiting> waiting;
  waiting.swap(Watches);
  for (Waiting &it : waiting) {
    if (accessOf(it.From) != StoreAccess::Serving) {
      // The connection hangs; the router gives it up by its own limit.
      continue;
    }
    Clock.after(AnswerTime, [this, it] {
      const std::optional<StoreAnswer> known = since(it.After);
      it.Reply(known ? StoreReply(*known) : StoreReply(StoreLoss::HistoryGone));
    });
  }
}

std::optional<StoreAnswer> VirtualStore::since(std::uint64_t after) const {
  if (after < Oldest) {
    return std::nullopt;
  }
  StoreAnswer out;
  out.At = StoreRevision{Revision};
  for (const auto &[revision, fact] : History) {
    if (revision > after) {
      out.Facts.push_back(fact);
    }
  }
  return out;
}

void VirtualStore::dropHistory() {
  Oldest = Revision;
  History.clear();
  Watches.clear();
}

void VirtualStore::setAccess(std::optional<HostId> host, StoreAccess access,
                             Duration span, bool lapse) {
  const std::pair<StoreAccess, Time> until{access, Clock.now() + span};
  if (host) {
    HostAccess[*host] = until;
  } else {
    AllAccess = until;
    Lapse = lapse;
  }
  if (access != StoreAccess::Refusing) {
    return;
  }
  // Watches are cut; in silence they hang.
  for (auto it = Watches.begin(); it != Watches.end();) {
    if (host && it->From != *host) {
      ++it;
      continue;
    }
    Clock.after(AnswerTime, [reply = it->Reply] { reply(StoreLoss::Away); });
    it = Watches.erase(it);
  }
}

bool VirtualStore::away() const {
  return AllAccess.first != StoreAccess::Serving &&
         AllAccess.second > Clock.now();
}

StoreAccess VirtualStore::accessOf(const HostId &host) const {
  if (away()) {
    return AllAccess.first;
  }
  const auto it = HostAccess.find(host);
  const bool own = it != HostAccess.end() && it->second.second > Clock.now();
  return own ? it->second.first : StoreAccess::Serving;
}

std::uint64_t VirtualStore::calls(const HostId &host) const {
  const auto it = Calls.find(host);
  return it == Calls.end() ? 0 : it->second;
}

void VirtualStore::serve(const HostId &from, const OnReply &reply,
                         std::function<void()> work) {
  ++Calls[from];
  const StoreAccess access = accessOf(from);
  if (access == StoreAccess::Serving) {
    Clock.after(AnswerTime, std::move(work));
    return;
  }
  Clock.after(access == StoreAccess::Silent ? LossTime : AnswerTime,
              [reply] { reply(StoreLoss::Away); });
}

void VirtualStore::list(const HostId &from, OnReply reply) {
  serve(from, reply, [this, reply] {
    StoreAnswer out;
    out.At = StoreRevision{Revision};
    for (const auto &[key, item] : Items) {
      out.Facts.push_back(item.Present);
    }
    reply(out);
  });
}

void VirtualStore::revision(const HostId &from, OnReply reply) {
  serve(from, reply, [this, reply] {
    reply(StoreAnswer{{}, StoreRevision{Revision}});
  });
}

void VirtualStore::watch(const HostId &from, StoreRevision after, Duration wait,
                         OnReply reply) {
  serve(from, reply, [this, from, after, wait, reply] {
    const std::optional<StoreAnswer> known = since(after.Value);
    if (!known) {
      reply(StoreLoss::HistoryGone);
      return;
    }
    if (!known->Facts.empty()) {
      reply(*known);
      return;
    }
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const OnReply once = [answered, reply](StoreReply it) {
      if (!*answered) {
        *answered = true;
        reply(std::move(it));
      }
    };
    Watches.push_back({from, after.Value, once});
    Clock.after(wait, [this, from, after, once] {
      const bool serves = accessOf(from) == StoreAccess::Serving;
      const std::optional<StoreAnswer> now = since(after.Value);
      once(!serves ? StoreReply(StoreLoss::Away)
           : now   ? StoreReply(*now)
                   : StoreReply(StoreLoss::HistoryGone));
    });
  });
}

void VirtualStore::write(const HostId &from, const std::string &key,
                         StoreUpdate present, StoreUpdate gone, Duration life,
                         OnReply reply) {
  serve(from, reply, [this, key, present, gone, life, reply] {
    put(key, present, gone, life);
    reply(StoreAnswer{{}, StoreRevision{Revision}});
  });
}

void VirtualStore::keep(const HostId &from, const std::string &key,
                        OnReply reply) {
  serve(from, reply, [this, key, reply] {
    const auto it = Items.find(key);
    if (it == Items.end()) {
      reply(StoreLoss::HistoryGone);
      return;
    }
    it->second.Writes = ++LastWrite;
    armLease(key);
    reply(StoreAnswer{{}, StoreRevision{Revision}});
  });
}

} // namespace nutmegsill::simulation
