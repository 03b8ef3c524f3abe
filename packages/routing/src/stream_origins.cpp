#include "nutmegsill/routing/stream_origins.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace nutmegsill::routing {

namespace {

/// Whether the entry, of the target of `origin`, states another one.
bool replaces(const TargetEntry &entry, const StreamOrigin &origin) {
  return entry.Version != origin.Version || entry.Pool != origin.Pool;
}

} // namespace

StreamKey streamKey(const StreamContent &content) {
  // Each field seeds the next one, so that bytes cannot move between fields.
  std::uint64_t sum = 0;
  for (const std::string_view it :
       {content.Team, content.HostName, content.Path, content.Model,
        content.RequestId}) {
    sum = XXH3_64bits_withSeed(it.data(), it.size(), sum);
  }
  return {sum};
}

void StreamOrigins::setView(std::shared_ptr<const FleetView> view, Time now) {
  View = std::move(view);
  History.setView(*View, now);
  markReplaced();
}

void StreamOrigins::markReplaced() {
  std::map<TargetId, const TargetEntry *> entries;
  for (const KnownTarget &it : View->Targets) {
    entries[it.Entry.Target] = &it.Entry;
  }
  std::set<const StreamOrigin *> fresh;
  for (auto &[origin, state] : KnownOrigins) {
    const auto it = entries.find(origin.Process.Target);
    if (!state.Replaced && it != entries.end() &&
        replaces(*it->second, origin)) {
      state.Replaced = true;
      fresh.insert(&origin);
    }
  }
  if (fresh.empty()) {
    return;
  }
  for (const auto &[key, stream] : Streams) {
    if (fresh.count(&stream.Origin->first) != 0) {
      reportLater(key);
    }
  }
}

void StreamOrigins::reportLater(StreamKey key) {
  ToReport.push_back({key, Policy.ReportsPerStream});
  if (ToReport.size() > Policy.MaxStreams) {
    ToReport.pop_front();
  }
}

void StreamOrigins::record(StreamKey key, const StreamOrigin &origin,
                           std::optional<Duration> callerTime,
                           Duration routeTimeout, Time now) {
  const Duration life = std::clamp<Duration>(callerTime.value_or(routeTimeout),
                                             Duration{0}, Policy.MaxLife);
  keep(key, origin, std::min(life + Policy.LifeMargin, Policy.MaxLife), now);
  reportLater(key);
}

void StreamOrigins::receive(const std::vector<StreamOriginReport> &reports,
                            Time now) {
  for (const StreamOriginReport &report : reports) {
    for (const StreamOriginReport::Stream &it : report.Streams) {
      keep(it.Key, report.Origin, std::min(it.TimeLeft, Policy.MaxLife), now);
    }
  }
}

void StreamOrigins::keep(StreamKey key, const StreamOrigin &origin,
                         Duration life, Time now) {
  expire(now);
  if (life <= Duration{0}) {
    return;
  }
  const Time endsAt = now + life;
  const auto [it, added] = Streams.try_emplace(key);
  Stream &stream = it->second;
  if (!added) {
    const StreamOrigin &known = stream.Origin->first;
    const bool differs =
        known.Pool != origin.Pool || known.Version != origin.Version;
    // The router that tells of an ambiguous stream tells the group.
    if (differs && !stream.Ambiguous && origin != AmbiguousOrigin) {
      reportLater(key);
    }
    stream.Ambiguous = stream.Ambiguous || differs;
    if (endsAt > stream.End->first) {
      StreamEnds.erase(stream.End);
      stream.End = StreamEnds.emplace(endsAt, key);
    }
    return;
  }
  const auto [from, isFirst] = KnownOrigins.try_emplace(origin);
  stream.Origin = from;
  ++from->second.Streams;
  if (isFirst) {
    from->second.Replaced = isReplaced(origin);
  }
  stream.Ambiguous = origin == AmbiguousOrigin;
  stream.End = StreamEnds.emplace(endsAt, key);
  if (Streams.size() > Policy.MaxStreams) {
    drop(Streams.find(StreamEnds.begin()->second));
  }
}

void StreamOrigins::drop(StreamMap::iterator it) {
  const Stream &stream = it->second;
  if (--stream.Origin->second.Streams == 0) {
    KnownOrigins.erase(stream.Origin);
  }
  StreamEnds.erase(stream.End);
  Streams.erase(it);
}

void StreamOrigins::expire(Time now) {
  while (!StreamEnds.empty() && StreamEnds.begin()->first <= now) {
    drop(Streams.find(StreamEnds.begin()->second));
  }
  while (!AskedOrder.empty() &&
         (now - AskedOrder.front().first > Policy.AskedMemory ||
          AskedOrder.size() > Policy.MaxAsked)) {
    AskedAt.erase(AskedOrder.front().second);
    AskedOrder.pop_front();
  }
}

std::vector<StreamOriginReport> StreamOrigins::takeReport(Time now) {
  expire(now);
  std::map<StreamOrigin, std::vector<StreamOriginReport::Stream>> byOrigin;
  std::size_t taken = 0;
  for (std::size_t n = ToReport.size();
       n > 0 && taken < Policy.MaxReportedStreams; --n) {
    Unreported next = ToReport.front();
    ToReport.pop_front();
    const auto it = Streams.find(next.Key);
    if (it == Streams.end()) {
      continue;
    }
    ++taken;
    const auto &[origin, state] = *it->second.Origin;
    const bool goesOn = !it->second.Ambiguous && !state.Replaced;
    byOrigin[goesOn ? origin : AmbiguousOrigin].push_back(
        {next.Key, it->second.End->first - now});
    if (--next.ReportsLeft > 0) {
      ToReport.push_back(next);
    }
  }
  std::vector<StreamOriginReport> out;
  out.reserve(byOrigin.size());
  for (auto &[origin, streams] : byOrigin) {
    out.push_back({origin, std::move(streams)});
  }
  return out;
}

bool StreamOrigins::isReplaced(const StreamOrigin &origin) const {
  return View &&
         std::any_of(View->Targets.begin(), View->Targets.end(),
                     [&](const KnownTarget &it) {
                       return it.Entry.Target == origin.Process.Target &&
                              replaces(it.Entry, origin);
                     });
}

std::optional<OriginDecision> StreamOrigins::findRecord(StreamKey key,
                                                        const RouteRule &route,
                                                        Time now) const {
  const auto known = Streams.find(key);
  if (known == Streams.end() || known->second.End->first <= now) {
    return std::nullopt;
  }
  const StreamOrigin &origin = known->second.Origin->first;
  if (known->second.Ambiguous) {
    return UnknownOrigin{false, "ambiguous"};
  }
  if (known->second.Origin->second.Replaced) {
    return UnknownOrigin{false, "replaced"};
  }
  if (std::none_of(route.Pools.begin(), route.Pools.end(),
                   [&](const PoolWeight &it) {
                     return it.Pool == origin.Pool && it.Weight > 0;
                   })) {
    return UnknownOrigin{false, "moved"};
  }
  return KnownOrigin{origin.Pool, origin.Version};
}

Duration StreamOrigins::longestStream(const RouteRule &route) const {
  return route.Timeout * Policy.TimeoutsPerStream + Policy.MaxLinger;
}

Time StreamOrigins::firstAskedAt(StreamKey key, Time now) {
  expire(now);
  const auto [it, added] = AskedAt.try_emplace(key, now);
  if (added) {
    AskedOrder.emplace_back(now, key);
  }
  return it->second;
}

SoleVersionDecision StreamOrigins::soleVersion(StreamKey key,
                                               const RouteRule &route,
                                               const PoolId &pool, Time now) {
  const Time askedAt = firstAskedAt(key, now);
  SoleVersionDecision sole =
      History.soleVersion(route, pool, longestStream(route), now);
  const SoleVersion *it = std::get_if<SoleVersion>(&sole);
  // Another router may have known a newer version at once.
  if (it != nullptr && it->AsOf < askedAt) {
    return NoSoleVersion{"not_current"};
  }
  return sole;
}

OriginDecision StreamOrigins::find(std::optional<StreamKey> key,
                                   const RouteRule &route, const PoolId &pool,
                                   Time now) {
  if (key) {
    if (const std::optional<OriginDecision> known =
            findRecord(*key, route, now)) {
      return *known;
    }
  }
  const SoleVersionDecision sole =
      key ? soleVersion(*key, route, pool, now)
          : History.soleVersion(route, pool, longestStream(route), now);
  if (const SoleVersion *it = std::get_if<SoleVersion>(&sole)) {
    return KnownOrigin{pool, it->Version};
  }
  return UnknownOrigin{key.has_value(), std::get<NoSoleVersion>(sole).Reason};
}

bool StreamOrigins::mayAsk(Time now) {
  Questions =
      std::min(Policy.MaxQuestions, Questions + toSeconds(now - QuestionsAt) *
                                                    Policy.QuestionsPerSecond);
  QuestionsAt = now;
  if (Questions < 1) {
    return false;
  }
  Questions -= 1;
  return true;
}

OriginAnswer StreamOrigins::answer(const OriginQuestion &question, Time now) {
  OriginAnswer out;
  out.Number = question.Number;
  expire(now);
  const auto known = Streams.find(question.Key);
  if (known != Streams.end()) {
    const auto &[origin, state] = *known->second.Origin;
    const bool goesOn = !known->second.Ambiguous && !state.Replaced;
    out.Origin = goesOn ? origin : AmbiguousOrigin;
    return out;
  }
  if (!View || !View->Config) {
    return out;
  }
  const std::vector<RouteRule> &routes = View->Config->Routes;
  const auto route =
      std::find_if(routes.begin(), routes.end(), [&](const RouteRule &it) {
        return it.Name == question.Route;
      });
  if (route != routes.end()) {
    const SoleVersionDecision sole =
        soleVersion(question.Key, *route, question.Pool, now);
    if (const SoleVersion *it = std::get_if<SoleVersion>(&sole)) {
      out.SoleVersion = it->Version;
    }
  }
  return out;
}

OriginDecision StreamOrigins::adopt(const OriginAnswer &answer, StreamKey key,
                                    const RouteRule &route, const PoolId &pool,
                                    Time now) {
  if (answer.Origin) {
    keep(key, *answer.Origin, std::min<Duration>(route.Timeout, Policy.MaxLife),
         now);
  }
  if (const std::optional<OriginDecision> known = findRecord(key, route, now)) {
    return *known;
  }
  if (!answer.SoleVersion) {
    return UnknownOrigin{};
  }
  if (History.hasOtherVersion(pool, *answer.SoleVersion, longestStream(route),
                              now)) {
    return UnknownOrigin{true, "several_versions"};
  }
  return KnownOrigin{pool, *answer.SoleVersion};
}

} // namespace nutmegsill::routing
