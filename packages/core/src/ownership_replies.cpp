// What the ownership makes of the key-value service's answers.
#include "ownership.h"
#include "ownership_states.h"

#include <algorithm>

namespace nutmegsill::detail {

bool Ownership::onReply(const PlatformReply &reply) {
  const auto it = Calls.find(reply.Id);
  if (it == Calls.end()) {
    return false;
  }
  const Pending pending = it->second;
  Calls.erase(it);
  Holding &held = holding(pending.Target);
  held.CallOpen = false;
  held.NextCallAt = Ctx.Now + Ctx.Limits.RecordRetry;
  std::visit(
      Overloaded{
          [&](const KvValues &values) {
            if (!values.Values.empty()) {
              onRead(pending.Target, held, reply.SentAt, values.Values.front());
            }
          },
          [&](const KvSwapped &result) {
            onWritten(pending.Target, held, pending.Why, reply.SentAt, result);
          },
          [&](const KvFailed &) {
            onFailed(pending.Target, held, pending.Why);
          },
      },
      reply.Result);
  return true;
}

void Ownership::onRead(const TargetId &id, Holding &held, Time sentAt,
                       const KvValue &value) {
  const std::optional<OwnerRecord> record = decodeOwner(value.Text);
  if (value.ModRevision == 0) {
    if (held.State == None) {
      held.ModRevision = 0;
      claim(id, held, Epoch{0});
    } else if (held.State == Swapping) {
      write(id, held, Purpose::Claim, held.Record);
    }
    return;
  }
  if (!record) {
    Ctx.decide("owner_record_unreadable", {{"target", id.Text}});
    return;
  }
  if (held.State == None) {
    held.ModRevision = value.ModRevision;
    onReadWhileIdle(id, held, *record);
  } else if (held.State == Swapping) {
    onReadWhileSwapping(id, held, sentAt, *record, value.ModRevision);
  } else if (isOwner(held)) {
    onReadWhileOwner(id, held, sentAt, *record, value.ModRevision);
  }
}

void Ownership::onReadWhileIdle(const TargetId &id, Holding &held,
                                const OwnerRecord &record) {
  onRows({OwnerRow{id, record.Number, record.Owner}});
  if (record.Owner == Ctx.Me && record.HandedOver) {
    Ctx.advance(Ctx.ChartSet->Ownership, held.State, "claim");
    held.Record = record;
    enter(id, held, Ctx.Now - Ctx.Limits.PromiseLife, false);
    return;
  }
  const auto best = Best.find(id);
  const bool wanted = best != Best.end() && best->second == Ctx.Me.Host;
  const bool own = record.Owner.Host == Ctx.Me.Host;
  if (takeOverAsSuccessor(id, record) || own || (wanted && allDead(record))) {
    claim(id, held, record.Number);
    return;
  }
  held.NextCallAt = Ctx.Now + IdleReadIntervals * Ctx.Limits.RecordRetry;
}

bool Ownership::takeOverAsSuccessor(const TargetId &id,
                                    const OwnerRecord &record) {
  const auto it = Watches.find(id);
  if (it == Watches.end()) {
    return false;
  }
  Watch &watch = it->second;
  const auto place =
      std::find(record.Successors.begin(), record.Successors.end(), Ctx.Me);
  const bool current =
      record.Owner == watch.Owner && record.Number == watch.Number;
  if (!current || place == record.Successors.end()) {
    Watches.erase(it);
    return false;
  }
  const auto before = place - record.Successors.begin();
  const bool silent =
      Ctx.Now - watch.HeardAt > (before + 1) * Ctx.Limits.SuspectAfter;
  if (!silent && !Members.isDead(watch.Owner)) {
    return false;
  }
  watch.Refused = true;
  Ctx.decide("take_over", {{"target", id.Text},
                           {"from", record.Owner.Host.Text},
                           {"epoch", std::to_string(record.Number.Value)}});
  return true;
}

bool Ownership::allDead(const OwnerRecord &record) const {
  return Members.isDead(record.Owner) &&
         std::all_of(record.Successors.begin(), record.Successors.end(),
                     [&](const Instance &it) { return Members.isDead(it); });
}

void Ownership::onReadWhileSwapping(const TargetId &id, Holding &held,
                                    Time sentAt, const OwnerRecord &record,
                                    std::uint64_t mod) {
  if (record.WriteId == held.Record.WriteId) {
    held.ModRevision = mod;
    enter(id, held, sentAt, true);
  } else if (mod == held.ModRevision) {
    write(id, held, Purpose::Claim, held.Record);
  } else {
    drop(id, held, "another router wrote the owner record");
  }
}

void Ownership::onReadWhileOwner(const TargetId &id, Holding &held, Time sentAt,
                                 const OwnerRecord &record, std::uint64_t mod) {
  const bool mine =
      record.Owner == Ctx.Me && record.Number == held.Record.Number;
  if (!mine) {
    onRows({OwnerRow{id, record.Number, record.Owner}});
    drop(id, held, "the owner record names another owner");
    return;
  }
  held.ConfirmedAt = std::max(held.ConfirmedAt, std::optional<Time>(sentAt));
  if (held.OpenWrite && mod == held.ModRevision) {
    write(id, held, Purpose::Reenlist, *held.OpenWrite);
    return;
  }
  held.OpenWrite.reset();
  held.Record = record;
  held.ModRevision = mod;
}

void Ownership::onWritten(const TargetId &id, Holding &held, Purpose why,
                          Time sentAt, const KvSwapped &result) {
  if (!result.Done) {
    if (why == Purpose::HandOver) {
      drop(id, held, "another router wrote the owner record");
    }
    // A claim that seems lost may be an earlier try that took effect; the next
    // read tells.
    held.NextCallAt = Ctx.Now;
    return;
  }
  const bool first = held.ModRevision == 0;
  held.ModRevision = result.ModRevision;
  switch (why) {
  case Purpose::Read:
    break;
  case Purpose::Claim:
    enter(id, held, sentAt, !first);
    break;
  case Purpose::Reenlist:
    if (held.OpenWrite) {
      held.Record = *held.OpenWrite;
    }
    held.OpenWrite.reset();
    held.ConfirmedAt = std::max(held.ConfirmedAt, std::optional<Time>(sentAt));
    break;
  case Purpose::HandOver:
    announce(id, held.Record);
    drop(id, held, "handed over");
    break;
  }
}

void Ownership::onFailed(const TargetId &id, Holding &held, Purpose why) {
  if (why == Purpose::HandOver) {
    drop(id, held, "the outcome of the hand-over is unknown");
  }
}

} // namespace nutmegsill::detail
