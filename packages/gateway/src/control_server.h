/// Control thread of the gateway: exchanges load reports with other routers and
/// serves directory and readiness requests.
#pragma once

#include "caller_refusals.h"
#include "clock.h"
#include "json_server.h"
#include "metrics.h"
#include "nutmegsill/routing/dispatcher.h"
#include "nutmegsill/routing/entry_routers.h"
#include "peer_socket.h"
#include "registration.h"
#include "rollout_writer.h"
#include "settings.h"
#include "shared_state.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace nutmegsill::gateway {

/// Called on the control thread with each load report received and, as a report
/// of this router's own host, with the prompt parts that an engine has cached.
using LoadReportHandler =
    std::function<void(const HostId &peer, routing::LoadReport report)>;

/// Called on the control thread with each message about who began a stream.
using OriginMessage =
    std::variant<routing::OriginQuestion, routing::OriginAnswer>;
using OriginMessageHandler =
    std::function<void(const HostId &peer, const OriginMessage &message)>;

class ControlServer {
public:
  /// Binds the directory, readiness and peer addresses; returns null and sets
  /// `reason` on failure.
  static std::unique_ptr<ControlServer> create(const GatewaySettings &settings,
                                               Metrics &metrics,
                                               SharedState &shared,
                                               std::string &reason);

  /// Runs the event loop until `stop`; call from the control thread.
  void run();
  /// Ends `run`. Callable from any thread.
  void stop();

  /// Marks this router as draining, so that readiness checks fail and the
  /// directory omits it while another router is responsive, and removes its
  /// entry from the store. Control thread only.
  void startDraining();
  /// Call before `run`.
  void setLoadReportHandler(LoadReportHandler handler) {
    OnLoadReport = std::move(handler);
  }
  /// Call before `run`.
  void setOriginMessageHandler(OriginMessageHandler handler) {
    OnOriginMessage = std::move(handler);
  }
  /// Sends a question or an answer. Callable from any thread.
  void sendOriginMessage(std::vector<HostId> peers, OriginMessage message);
  /// Sends load reports to other routers. Callable from any thread.
  void sendLoadReports(routing::OutgoingReports reports);
  /// Sets what the store should hold on roll-outs. Callable from any thread.
  void setRolloutDecisions(std::vector<routing::RolloutDecision> decisions);

  boost::asio::io_context &context() { return Io; }

private:
  ControlServer(const GatewaySettings &settings, Metrics &metrics,
                SharedState &shared);

  routing::RouterEntry makeOwnEntry() const;
  void setView(std::shared_ptr<const routing::FleetView> view);
  boost::asio::awaitable<void> queryEngineCaches();
  boost::asio::awaitable<void> queryEngineCache(TargetId target,
                                                std::string address);
  bool queriesCacheOf(const TargetId &target) const;
  void receiveMessage(const Instance &from, std::string_view bytes);
  void receive(const Instance &from, routing::LoadReport report);
  void receive(const Instance &from, const routing::OriginQuestion &question) {
    OnOriginMessage(from.Host, question);
  }
  void receive(const Instance &from, const routing::OriginAnswer &answer) {
    OnOriginMessage(from.Host, answer);
  }
  /// Messages about the store.
  template <class Message>
  void receive(const Instance &from, const Message &message) {
    Watcher->receive(from, message);
  }
  void sendToPeers(const std::vector<HostId> &peers,
                   const PeerMessage &message);
  JsonResponse handleDirectoryRequest(std::string_view requestTarget);
  JsonResponse handleReadinessRequest(std::string_view requestTarget) const;
  routing::RouterHealth healthOf(const routing::RouterEntry &router,
                                 Time now) const;

  const GatewaySettings &Settings;
  Metrics &Counters;
  SharedState &Shared;
  boost::asio::io_context Io{1};
  CallerRefusals DirectoryRefusals;
  CallerRefusals ReadinessRefusals;
  /// Set once at process start.
  IncarnationId OwnIncarnation;
  std::unique_ptr<StoreWatcher> Watcher;
  std::optional<Registration> OwnRegistration;
  std::optional<RolloutWriter> Rollouts;
  HttpClient EngineClient;
  std::unique_ptr<PeerSocket> Peers;
  /// The other routers with which this one shares the reading of the store.
  std::vector<HostId> SharingGroup;
  /// `preferredRouters` of the view.
  std::set<HostId> Preferred;
  LoadReportHandler OnLoadReport;
  OriginMessageHandler OnOriginMessage = [](const HostId &,
                                            const OriginMessage &) {};
  /// Time of the last report from each router, received directly or included in
  /// the report of a router in its group.
  std::map<HostId, Time> LastReportAt;
  /// Time of the last report that named a router as overloaded.
  std::map<HostId, Time> OverloadedAt;
  std::shared_ptr<const routing::FleetView> View;
  std::optional<boost::asio::ip::tcp::acceptor> DirectoryAcceptor;
  std::optional<boost::asio::ip::tcp::acceptor> ReadinessAcceptor;
  std::minstd_rand Random;
  bool Draining = false;
};

} // namespace nutmegsill::gateway
