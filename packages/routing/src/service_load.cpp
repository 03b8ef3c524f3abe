#include "nutmegsill/routing/service_load.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// Sends that are remembered for each target; a router has few at one target.
constexpr std::size_t MaxRememberedSends = 32;
/// Bounds of the relative pace of engines: their learned rate has some of it.
constexpr double MinRelativePace = 0.5;
constexpr double MaxRelativePace = 3;

/// Bounds of what a target may state; others are taken for errors.
constexpr double MaxStatedRequests = 1e6;
constexpr double MinStatedPace = 0.1;
constexpr double MaxStatedPace = 100;

double decay(Duration age, Duration timeConstant) {
  return std::exp(-std::max(0.0, toSeconds(age)) / toSeconds(timeConstant));
}

} // namespace

std::optional<StatedLoad> checkedLoad(double running, double waiting,
                                      double slots, double pace) {
  const auto isCount = [](double value, double least) {
    return value >= least && value <= MaxStatedRequests;
  };
  if (!isCount(running, 0) || !isCount(waiting, 0) || !isCount(slots, 1) ||
      !(pace >= MinStatedPace && pace <= MaxStatedPace)) {
    return std::nullopt;
  }
  return StatedLoad{static_cast<std::uint32_t>(running),
                    static_cast<std::uint32_t>(waiting),
                    static_cast<std::uint32_t>(slots), pace};
}

double ServiceEstimate::timeFactor() const {
  return Pace * (1 + std::max(0.0, Outstanding + 1 - Slots) / Slots);
}

double ServiceEstimate::headroom(double limit) const {
  const double fitting = std::min(Slots * limit / Pace, Slots + Places);
  return limit < Pace || fitting < Outstanding + 1 ? 0 : fitting - Outstanding;
}

void ServiceLoad::setFleet(const std::set<TargetProcess> &known) {
  std::erase_if(Targets,
                [&](const auto &it) { return known.count(it.first) == 0; });
}

ServiceLoad::Target &ServiceLoad::store(const TargetProcess &process,
                                        const StatedLoad &load, Time heardAt,
                                        const char *source) {
  const auto [it, isNew] = Targets.try_emplace(process);
  Target &target = it->second;
  if (isNew) {
    Changes.push_back({"load_stated",
                       {{"target", process.Target.Text},
                        {"started_at_ms", std::to_string(process.StartedAtMs)},
                        {"slots", std::to_string(load.Slots)},
                        {"source", source}}});
  }
  const double old =
      isNew ? 0 : decay(heardAt - target.HeardAt, Policy.MeanPaceTime);
  target.MeanPace = old * target.MeanPace + (1 - old) * load.Pace;
  target.Load = load;
  target.HeardAt = heardAt;
  return target;
}

void ServiceLoad::hear(const TargetProcess &process, const StatedLoad &load,
                       bool isPlain, Time now) {
  Target &target = store(process, load, now, "response");
  target.IsUnreportedOwn = isPlain;
  target.IsUnreportedGroup = isPlain;
}

void ServiceLoad::receive(const std::vector<TargetStateReport> &report,
                          bool relayed, Time now) {
  for (const TargetStateReport &it : report) {
    const Time heardAt = now - it.Age;
    const auto known = Targets.find(it.Process);
    const bool isNews =
        known == Targets.end() || heardAt > known->second.HeardAt;
    if (isNews && it.Age <= Policy.MaxReportedAge) {
      Target &target = store(it.Process, it.Load, heardAt, "peer");
      target.IsUnreportedOwn = false;
      target.IsUnreportedGroup = relayed;
    }
  }
}

void ServiceLoad::recordSent(const TargetProcess &process, Time now) {
  const auto it = Targets.find(process);
  if (it == Targets.end()) {
    return;
  }
  it->second.SentAt.push_back(now);
  if (it->second.SentAt.size() > MaxRememberedSends) {
    it->second.SentAt.pop_front();
  }
}

void ServiceLoad::recordRefused(const TargetProcess &process, Duration pause,
                                Time now) {
  const auto it = Targets.find(process);
  if (it == Targets.end()) {
    return;
  }
  Target &target = it->second;
  target.RefusesUntil = now + pause;
  // A target with free places refuses for another reason.
  if (target.Load.Waiting >= target.Load.Slots) {
    target.Places = target.Load.Waiting;
  }
}

bool ServiceLoad::isStated(const TargetProcess &process) const {
  return Targets.count(process) != 0;
}

Duration ServiceLoad::loadMemory(const PoolId &pool) const {
  const auto it = UsualTimes.find(pool);
  const double seconds =
      it == UsualTimes.end() ? 0 : Policy.LoadMemoryRequests * it->second;
  return std::clamp(Duration(static_cast<std::int64_t>(seconds * 1e6)),
                    Policy.MinLoadMemory, Policy.MaxLoadMemory);
}

double ServiceLoad::pace(const Target &target, Time now) const {
  const double weight = decay(now - target.HeardAt, Policy.PaceMemory);
  return target.MeanPace + weight * (target.Load.Pace - target.MeanPace);
}

ServiceEstimate ServiceLoad::estimate(const TargetProcess &process,
                                      const PoolId &pool, std::uint32_t running,
                                      std::uint32_t peerRunning,
                                      std::uint32_t slots, Time now) const {
  const double reported = static_cast<double>(running) + peerRunning;
  ServiceEstimate out;
  out.Outstanding = reported;
  out.Slots = std::max(1U, slots);
  const auto it = Targets.find(process);
  if (it == Targets.end()) {
    out.Places = out.Slots * Policy.PlacesPerSlot;
    return out;
  }
  const Target &target = it->second;
  out.Slots = std::max(1U, target.Load.Slots);
  out.Places =
      target.Places ? *target.Places : out.Slots * Policy.PlacesPerSlot;
  out.Pace = pace(target, now);
  out.Refuses = target.RefusesUntil > now;
  const auto since =
      std::distance(std::upper_bound(target.SentAt.begin(), target.SentAt.end(),
                                     target.HeardAt),
                    target.SentAt.end());
  const double stated = static_cast<double>(target.Load.Running) +
                        target.Load.Waiting +
                        std::min<double>(static_cast<double>(since), running);
  const double weight = decay(now - target.HeardAt, loadMemory(pool));
  out.Outstanding = weight * stated + (1 - weight) * reported;
  return out;
}

double ServiceLoad::relativePace(const TargetProcess &process, Time now) const {
  const auto it = Targets.find(process);
  if (it == Targets.end()) {
    return 1;
  }
  return std::clamp(pace(it->second, now) / it->second.MeanPace,
                    MinRelativePace, MaxRelativePace);
}

void ServiceLoad::recordTime(const PoolId &pool, Duration elapsed,
                             double factor) {
  const double sample = toSeconds(elapsed) / std::max(factor, 0.1);
  const auto [it, isNew] = UsualTimes.try_emplace(pool, sample);
  if (!isNew) {
    // Moves towards the median: a few late responses do not count much.
    it->second *= sample > it->second ? 1 + Policy.UsualTimeStep
                                      : 1 - Policy.UsualTimeStep;
  }
  it->second = std::max(it->second, 1e-4);
}

Duration ServiceLoad::usualTime(const PoolId &pool, Duration prior) const {
  const auto it = UsualTimes.find(pool);
  return it == UsualTimes.end()
             ? prior
             : Duration(static_cast<std::int64_t>(it->second * 1e6));
}

std::vector<TargetStateReport> ServiceLoad::take(bool Target::*unreported,
                                                 Time now) {
  std::vector<TargetStateReport> out;
  for (auto &[process, target] : Targets) {
    const Duration age = now - target.HeardAt;
    if (target.*unreported && age <= Policy.MaxReportedAge) {
      out.push_back({process, target.Load, age});
    }
    target.*unreported = false;
  }
  return out;
}

std::vector<TargetStateReport> ServiceLoad::takeOwnReport(Time now) {
  return take(&Target::IsUnreportedOwn, now);
}

std::vector<TargetStateReport> ServiceLoad::takeGroupReport(Time now) {
  return take(&Target::IsUnreportedGroup, now);
}

std::vector<FleetChange> ServiceLoad::takeChanges() {
  std::vector<FleetChange> out;
  out.swap(Changes);
  return out;
}

} // namespace nutmegsill::routing
