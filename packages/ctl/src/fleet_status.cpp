#include "fleet_status.h"

#include "nutmegsill/platform/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

namespace nutmegsill {

namespace asio = boost::asio;
using Json = nlohmann::ordered_json;
using namespace routing;

namespace {

/// Longer than a router's time limit, as an operator can wait.
constexpr Duration StoreTimeout = milliseconds(5'000);

asio::awaitable<void> listAll(platform::StoreClient &client,
                              std::optional<std::vector<StoreUpdate>> &updates,
                              std::string &reason) {
  std::vector<StoreUpdate> listed;
  std::string afterKey;
  for (bool hasMore = true; hasMore;) {
    platform::StoreResult<platform::ItemsPage> page =
        co_await client.listPage(afterKey);
    if (!page.Ok) {
      reason = page.Reason;
      co_return;
    }
    for (StoreUpdate &it : page.Ok->Updates) {
      listed.push_back(std::move(it));
    }
    hasMore = page.Ok->HasMore;
    afterKey = page.Ok->LastKey;
  }
  updates = std::move(listed);
}

/// Returns JSON text; replaces bytes that are not UTF-8.
std::string toText(const Json &value, int indent = -1) {
  return value.dump(indent, ' ', false, Json::error_handler_t::replace);
}

/// Adds one item of the store to the status.
struct StatusWriter {
  Json &Root;

  /// The row of a pool's roll-out; order and status are items of their own.
  Json &rolloutOf(const PoolId &pool) const {
    for (Json &row : Root["rollouts"]) {
      if (row["pool"] == pool.Text) {
        return row;
      }
    }
    Root["rollouts"].push_back({{"pool", pool.Text}});
    return Root["rollouts"].back();
  }

  void operator()(const ConfigUpdated &it) const {
    Root["configuration"] = {{"number", it.Config->Revision.Value},
                             {"routes", it.Config->Routes.size()},
                             {"pools", it.Config->Pools.size()},
                             {"teams", it.Config->Teams.size()}};
  }
  void operator()(const ZoneEvacuated &it) const {
    Root["zones_out"].push_back(it.Zone.Text);
  }
  void operator()(const TargetUpdated &it) const {
    Root["targets"].push_back(
        {{"target", it.Entry.Target.Text},
         {"pool", it.Entry.Pool.Text},
         {"zone", it.Entry.Zone.Text},
         {"address", it.Entry.Address},
         {"draining", it.Entry.Draining},
         {"version", it.Entry.Version},
         {"cold_ms", toMilliseconds(it.Entry.RemainingColdTime)}});
  }
  void operator()(const RouterUpdated &it) const {
    Root["routers"].push_back({{"host", it.Entry.Host.Text},
                               {"zone", it.Entry.Zone.Text},
                               {"address", it.Entry.CallerAddress}});
  }
  void operator()(const RolloutOrderUpdated &it) const {
    if (it.Order) {
      Json &row = rolloutOf(it.Pool);
      row["to"] = it.Order->To;
      row["deadline_s"] = toSeconds(it.Order->Deadline);
    }
  }
  void operator()(const RolloutStatusUpdated &it) const {
    if (it.Status) {
      Json &row = rolloutOf(it.Pool);
      row["state"] = rolloutStateName(it.Status->State);
      row["state_of"] = it.Status->To;
    }
  }
  void operator()(const UnreadableItem &it) const {
    Root["unreadable"].push_back({{"key", it.Key}, {"reason", it.Reason}});
  }
  void operator()(const ZoneRestored & /*it*/) const {}
  void operator()(const TargetRemoved & /*it*/) const {}
  void operator()(const RouterRemoved & /*it*/) const {}
  void operator()(const UnrelatedItem & /*it*/) const {}
};

} // namespace

std::optional<std::vector<StoreUpdate>> listStore(const Endpoint &store,
                                                  std::string &reason) {
  asio::io_context io;
  platform::StoreClient client(store, StoreTimeout);
  std::optional<std::vector<StoreUpdate>> updates;
  asio::co_spawn(io, listAll(client, updates, reason), asio::detached);
  io.run();
  return updates;
}

void printStatus(const std::vector<StoreUpdate> &updates, bool asJson,
                 std::ostream &out) {
  Json root{{"configuration", nullptr},  {"routers", Json::array()},
            {"targets", Json::array()},  {"zones_out", Json::array()},
            {"rollouts", Json::array()}, {"unreadable", Json::array()}};
  for (const StoreUpdate &it : updates) {
    std::visit(StatusWriter{root}, it);
  }
  if (asJson) {
    out << toText(root, 2) << "\n";
    return;
  }
  for (const auto &[section, value] : root.items()) {
    out << section << ":";
    if (!value.is_array()) {
      out << " " << toText(value) << "\n";
      continue;
    }
    out << " " << value.size() << "\n";
    for (const Json &row : value) {
      out << "  " << toText(row) << "\n";
    }
  }
}

} // namespace nutmegsill
