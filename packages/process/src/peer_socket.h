/// Messages between the routers of one fleet over ZeroMQ.
#pragma once

#include "metrics.h"
#include "nutmegsill/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegsill {

struct CurveKeys {
  /// Z85 text of 40 characters each.
  std::string Public;
  std::string Secret;
};

struct PeerSocketOptions {
  Instance Self;
  /// "IP:port" to bind.
  std::string Address;
  /// Keys of the fleet; without them messages are neither encrypted nor
  /// authenticated.
  std::optional<CurveKeys> Curve;
  /// Messages that wait for one peer at the most.
  int MaxQueuedMessages = 1000;
  /// Interval of the checks of a connection, and silence that ends it.
  milliseconds HeartbeatInterval{5000};
  milliseconds HeartbeatTimeout{15000};
};

/// Where another router receives messages.
struct PeerAddress {
  HostId Host;
  std::string Address;
};

/// For use from the control thread only. Messages may be lost.
class PeerSocket {
public:
  using MessageHandler =
      std::function<void(const Instance &from, std::string_view bytes)>;

  /// Binds the peer address; nothing and a reason on failure.
  static std::unique_ptr<PeerSocket>
  open(boost::asio::io_context &context, PeerSocketOptions options,
       Metrics &metrics, MessageHandler handler, std::string &reason);
  ~PeerSocket();

  /// Replaces the peers that messages can be sent to.
  void setPeers(const std::vector<PeerAddress> &peers);
  /// Sends `bytes`; `type` names them in the counters.
  void send(const HostId &to, const std::string &type,
            const std::string &bytes);
  /// Receives whatever has arrived.
  void receivePending();

private:
  struct Implementation;
  explicit PeerSocket(std::unique_ptr<Implementation> parts);
  std::unique_ptr<Implementation> Impl;
};

} // namespace nutmegsill
