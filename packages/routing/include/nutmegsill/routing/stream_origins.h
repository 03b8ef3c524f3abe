/// Keeps which process, and so which version of the software, began each stream
/// that callers may take up again. Without I/O and clock.
///
/// A stream goes on only at the version that began it. The router that began it
/// knows the version; it tells the routers of its group with its load reports.
/// A router that does not know a stream asks its peers, and rejects the take-up
/// if none knows it either: it never guesses.
#pragma once

#include "nutmegsill/routing/model.h"
#include "nutmegsill/routing/target_process.h"
#include "nutmegsill/routing/version_history.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace nutmegsill::routing {

/// What identifies a stream. An id that names another caller's request, or one
/// of another path or model, identifies another stream.
struct StreamContent {
  std::string_view Team;
  std::string_view HostName;
  std::string_view Path;
  std::string_view Model;
  /// Id of the request that brought the first event.
  std::string_view RequestId;
};

/// Hash of a `StreamContent`.
struct StreamKey {
  std::uint64_t Hash = 0;
  auto operator<=>(const StreamKey &) const = default;
};
StreamKey streamKey(const StreamContent &content);

/// The process that began a stream.
struct StreamOrigin {
  PoolId Pool;
  TargetProcess Process;
  /// Version of the software as the target's entry states it.
  std::string Version;
  auto operator<=>(const StreamOrigin &) const = default;
};

/// Tells other routers of a stream that either of two versions may have begun.
/// Its pool has no name, so that it differs from every other origin, and no
/// route has it.
inline const StreamOrigin AmbiguousOrigin{};

/// Streams that one process began, as told to other routers.
struct StreamOriginReport {
  StreamOrigin Origin;
  struct Stream {
    StreamKey Key;
    /// Time for which its caller may still take it up.
    Duration TimeLeft{0};
  };
  std::vector<Stream> Streams;
};

struct StreamOriginPolicy {
  /// Longest time for which a stream is kept, whatever its caller states.
  Duration MaxLife = std::chrono::seconds(60);
  /// Added to the time that a caller states, for transit.
  Duration LifeMargin = milliseconds(500);
  /// Streams kept at most; the ones that end first go.
  std::size_t MaxStreams = 16'384;
  /// Streams in one report at most; the rest goes with the next one.
  std::size_t MaxReportedStreams = 1'024;
  /// Reports that carry a stream, as a message may be lost.
  int ReportsPerStream = 2;
  /// Time from the first event of a stream of unknown origin to its last
  /// take-up, as a multiple of the route's timeout: the first attempt and three
  /// more.
  int TimeoutsPerStream = 4;
  /// Time for which a target that has left the fleet's state may still begin
  /// streams, at routers that do not know of it yet.
  Duration MaxLinger = std::chrono::seconds(30);
  /// Time for which it is kept that a stream was asked for, and how many at
  /// most.
  Duration AskedMemory = std::chrono::seconds(15);
  std::size_t MaxAsked = 4'096;
  /// Questions to other routers: a credit that fills at this rate.
  double QuestionsPerSecond = 50;
  double MaxQuestions = 50;
};

/// The stream may go on at this version, in this pool.
struct KnownOrigin {
  PoolId Pool;
  std::string Version;
  auto operator<=>(const KnownOrigin &) const = default;
};
/// It is not known here which version began the stream.
struct UnknownOrigin {
  /// Other routers may know it.
  bool MayAsk = true;
  /// For the log: "not_told", "replaced", "ambiguous", "moved", or why the pool
  /// is not known to have had one version only.
  const char *Reason = "not_told";
  bool operator==(const UnknownOrigin &other) const {
    return MayAsk == other.MayAsk && std::string_view(Reason) == other.Reason;
  }
};
using OriginDecision = std::variant<KnownOrigin, UnknownOrigin>;

/// A question to other routers.
struct OriginQuestion {
  /// Chosen by the router that asks.
  std::uint64_t Number = 0;
  StreamKey Key;
  /// Names the route, to tell whether its pool had one version only.
  std::string Route;
  PoolId Pool;
};
struct OriginAnswer {
  std::uint64_t Number = 0;
  /// Set if the router knows the stream; `AmbiguousOrigin` if it must not go
  /// on.
  std::optional<StreamOrigin> Origin;
  /// Set if the router does not know the stream, but that the pool has had this
  /// version only for as long as any stream lasts.
  std::optional<std::string> SoleVersion;
};

/// Not thread-safe.
class StreamOrigins {
public:
  explicit StreamOrigins(StreamOriginPolicy policy = {},
                         VersionHistoryPolicy history = {})
      : Policy(policy), History(history), Questions(policy.MaxQuestions) {}
  StreamOrigins(const StreamOrigins &) = delete;
  StreamOrigins &operator=(const StreamOrigins &) = delete;
  StreamOrigins(StreamOrigins &&) = default;
  StreamOrigins &operator=(StreamOrigins &&) = default;
  ~StreamOrigins() = default;

  void setView(std::shared_ptr<const FleetView> view, Time now);
  /// The view set last was current `age` ago; call at least once a second. The
  /// age of a later view must not be given before that view.
  void setViewAge(Duration age, Time now) { History.setViewAge(age, now); }

  /// Records a stream before its first event is forwarded. `callerTime` is the
  /// time for which its caller waits, if it states one; otherwise
  /// `routeTimeout` counts.
  void record(StreamKey key, const StreamOrigin &origin,
              std::optional<Duration> callerTime, Duration routeTimeout,
              Time now);
  /// Records what another router tells.
  void receive(const std::vector<StreamOriginReport> &reports, Time now);
  /// The streams to tell to the routers of the group.
  std::vector<StreamOriginReport> takeReport(Time now);

  /// Where a stream that a request on `route` takes up may go on. `pool` is the
  /// pool that the route's weights select for it. `key` is empty if the request
  /// does not name the stream.
  OriginDecision find(std::optional<StreamKey> key, const RouteRule &route,
                      const PoolId &pool, Time now);
  /// Whether peers may be asked now; uses the credit up.
  bool mayAsk(Time now);
  /// What this router tells one that asks.
  OriginAnswer answer(const OriginQuestion &question, Time now);
  /// What the answer of another router tells of the stream; `UnknownOrigin` if
  /// it tells nothing. A stream that is told is kept.
  OriginDecision adopt(const OriginAnswer &answer, StreamKey key,
                       const RouteRule &route, const PoolId &pool, Time now);

  std::size_t size() const { return Streams.size(); }
  /// Drops streams whose callers can't take them up any more.
  void expire(Time now);

private:
  struct OriginState {
    std::size_t Streams = 0;
    /// The target's entry has stated another version or pool.
    bool Replaced = false;
  };
  using Origins = std::map<StreamOrigin, OriginState>;
  using Ends = std::multimap<Time, StreamKey>;
  struct Stream {
    Origins::iterator Origin;
    Ends::iterator End;
    /// Two processes of different versions were told to have begun it.
    bool Ambiguous = false;
  };
  struct KeyHash {
    std::size_t operator()(StreamKey key) const { return key.Hash; }
  };
  using StreamMap = std::unordered_map<StreamKey, Stream, KeyHash>;

  void keep(StreamKey key, const StreamOrigin &origin, Duration life, Time now);
  void drop(StreamMap::iterator it);
  void reportLater(StreamKey key);
  /// Keeps which origins the view replaces, and reports their streams anew.
  void markReplaced();
  /// Nothing if the stream is not known.
  std::optional<OriginDecision>
  findRecord(StreamKey key, const RouteRule &route, Time now) const;
  bool isReplaced(const StreamOrigin &origin) const;
  /// When the stream was first asked for; it began before.
  Time firstAskedAt(StreamKey key, Time now);
  Duration longestStream(const RouteRule &route) const;
  SoleVersionDecision soleVersion(StreamKey key, const RouteRule &route,
                                  const PoolId &pool, Time now);

  StreamOriginPolicy Policy;
  std::shared_ptr<const FleetView> View;
  VersionHistory History;
  Origins KnownOrigins;
  StreamMap Streams;
  Ends StreamEnds;
  struct Unreported {
    StreamKey Key;
    int ReportsLeft = 0;
  };
  std::deque<Unreported> ToReport;
  std::unordered_map<StreamKey, Time, KeyHash> AskedAt;
  /// Oldest first.
  std::deque<std::pair<Time, StreamKey>> AskedOrder;
  double Questions = 0;
  Time QuestionsAt{};
};

} // namespace nutmegsill::routing
