/// The control thread of a gateway: exchanges load reports and answers for
/// addresses and readiness.
#pragma once

#include "clock.h"
#include "directory_server.h"
#include "metrics.h"
#include "nutmegsill/routing/dispatcher.h"
#include "peer_socket.h"
#include "registration.h"
#include "settings.h"
#include "shared_state.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace nutmegsill::gateway {

/// Receives the load report of another router, on the control thread.
using HearPeer =
    std::function<void(const HostId &peer, routing::LoadReport report)>;

class Control {
public:
  /// Binds the addresses for control; nothing and a reason on failure.
  static std::unique_ptr<Control> create(const GatewaySettings &settings,
                                         Metrics &metrics, SharedState &shared,
                                         std::string &reason);

  /// Runs until `stop`; call from the control thread.
  void run();
  /// Ends `run`; callable from any thread.
  void stop();

  /// Takes this router out of the directory. Control thread only.
  void leave();
  void hearPeers(HearPeer hear) { OnPeer = std::move(hear); }
  /// Sends load reports to other routers; callable from any thread.
  void tellPeers(routing::OutgoingReports reports);

  boost::asio::io_context &context() { return Io; }

private:
  Control(const GatewaySettings &settings, Metrics &metrics,
          SharedState &shared);

  routing::RouterEntry ownEntry() const;
  void adopt(std::shared_ptr<const routing::FleetView> view);
  boost::asio::awaitable<void> learnCaches();
  boost::asio::awaitable<void> learnCache(TargetId target, std::string address);
  bool asksFor(const TargetId &target) const;
  void receive(const Instance &from, std::string_view bytes);
  ShortAnswer answerDirectory(std::string_view target) const;
  ShortAnswer answerReadiness(std::string_view target) const;
  std::vector<std::string> addressesFor(const ZoneId &zone) const;
  bool alive(const routing::RouterEntry &router, Time now) const;

  const GatewaySettings &Own;
  Metrics &Counters;
  SharedState &Shared;
  boost::asio::io_context Io{1};
  /// Set once, at the start.
  IncarnationId Life;
  std::unique_ptr<StoreFollower> Follower;
  std::optional<Registration> Entry;
  HttpClient Engines;
  std::unique_ptr<PeerSocket> Peers;
  HearPeer OnPeer;
  /// When each router was last heard, itself or through a router of its row.
  std::map<HostId, Time> Heard;
  std::shared_ptr<const routing::FleetView> View;
  std::optional<boost::asio::ip::tcp::acceptor> DirectoryPort;
  std::optional<boost::asio::ip::tcp::acceptor> ReadinessPort;
  bool Leaving = false;
};

} // namespace nutmegsill::gateway
