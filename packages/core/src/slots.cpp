#include "slots.h"

#include <algorithm>

namespace nutmegsill::detail {

namespace {

/// First rest of a target that fails without completing anything.
constexpr Duration FirstRest = milliseconds(250);
constexpr std::uint32_t MaxRestDoublings = 5;
/// Load reports over which a lagging report is compared with known grants.
constexpr std::size_t ReportLag = 4;

} // namespace

Slots::Slots(Context &context, const TargetConfig &config, Time now)
    : State(context.ChartSet->Target.initial()), Limit(config.ColdSlots),
      StartedAt(now), RestUntil(now) {}

std::uint32_t Slots::limit(const TargetConfig &config, Time now) const {
  const std::uint32_t floor = config.ColdSlots;
  const std::uint32_t room = config.Slots - floor;
  const Duration warm = config.WarmUp;
  const Duration age = std::min<Duration>(now - StartedAt, warm);
  const std::uint32_t byTime =
      warm.count() == 0
          ? config.Slots
          : floor +
                static_cast<std::uint32_t>(room * age.count() / warm.count());
  return std::min({config.Slots, Limit, byTime});
}

std::uint32_t Slots::inUse() const {
  return static_cast<std::uint32_t>(Uses.size()) + Foreign;
}

std::uint32_t Slots::free(const TargetConfig &config, Time now) const {
  if (now < RestUntil) {
    return 0;
  }
  const std::uint32_t most = limit(config, now);
  return most > inUse() ? most - inUse() : 0;
}

void Slots::occupy(const SlotKey &key, Incarnation life, Time now) {
  Uses.emplace(key, SlotUse{life, now});
}

bool Slots::renew(const SlotKey &key, Time now) {
  const auto it = Uses.find(key);
  if (it == Uses.end()) {
    return false;
  }
  it->second.IssuedAt = now;
  return true;
}

bool Slots::release(const SlotKey &key) { return Uses.erase(key) > 0; }

void Slots::dropSilent(const HostId &entry, Time now, Duration reportLife) {
  if (olderThan(ReportedAt, now, reportLife)) {
    return;
  }
  for (auto it = Uses.begin(); it != Uses.end();) {
    it = it->first.Entry == entry ? Uses.erase(it) : std::next(it);
  }
  KnownBefore.clear();
  const std::uint32_t known = static_cast<std::uint32_t>(Uses.size());
  Foreign = Reported > known ? Reported - known : 0;
}

void Slots::noteCompleted(Context &context, const TargetConfig &config,
                          Time now) {
  FailuresInRow = 0;
  const bool nearLimit = inUse() + 2 >= limit(config, now);
  if (nearLimit && Limit < config.Slots) {
    ++Limit;
  }
  context.advance(
      context.ChartSet->Target, State, "completed",
      [&](const std::string &) { return limit(config, now) >= config.Slots; });
}

void Slots::noteRestart(Context &context, const TargetConfig &config,
                        Time now) {
  Limit = config.ColdSlots;
  StartedAt = now;
  const std::uint32_t doublings = std::min(FailuresInRow, MaxRestDoublings);
  RestUntil = now + FirstRest * (1U << doublings);
  ++FailuresInRow;
  context.advance(context.ChartSet->Target, State, "restarted");
}

bool Slots::noteReport(Context &context, const TargetConfig &config,
                       const LoadReport &report, Time now) {
  Reported = report.Running;
  ReportedAt = now;
  KnownBefore.push_back(static_cast<std::uint32_t>(Uses.size()));
  if (KnownBefore.size() > ReportLag) {
    KnownBefore.pop_front();
  }
  const std::uint32_t known =
      *std::max_element(KnownBefore.begin(), KnownBefore.end());
  Foreign = report.Running > known ? report.Running - known : 0;
  const bool restarted = !StartId.empty() && StartId != report.StartId;
  StartId = report.StartId;
  if (restarted) {
    noteRestart(context, config, now);
    FailuresInRow = 0;
  }
  return restarted;
}

void Slots::adoptLoad(const TargetConfig &config) {
  const std::uint32_t held = static_cast<std::uint32_t>(Uses.size());
  Limit = std::clamp(held, config.ColdSlots, config.Slots);
}

void Slots::noteAccepted(Context &context, const TargetConfig &config,
                         bool accepted, Time now) {
  if (!accepted) {
    context.advance(context.ChartSet->Target, State, "drain");
    if (Uses.empty()) {
      context.advance(context.ChartSet->Target, State, "emptied");
    }
    return;
  }
  if (context.advance(context.ChartSet->Target, State, "readmit")) {
    Limit = config.ColdSlots;
    StartedAt = now;
  }
}

} // namespace nutmegsill::detail
