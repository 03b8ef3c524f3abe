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
  /// Key pair of the fleet; without it messages are neither encrypted nor
  /// authenticated.
  std::optional<CurveKeys> Curve;
  /// Maximum number of messages queued for one peer.
  int MaxQueuedMessages = 1000;
  /// Connections that other routers may have open to this one.
  std::size_t MaxConnections = 64;
  /// Interval of heartbeats on a connection, and silence after which it is
  /// closed.
  milliseconds HeartbeatInterval{5000};
  milliseconds HeartbeatTimeout{15000};
};

/// Address "IP:port" at which another router receives messages.
struct PeerAddress {
  HostId Host;
  std::string Address;
};

/// For use from the control thread only. Delivery is not guaranteed.
class PeerSocket {
public:
  /// Called with each message received; `bytes` is valid during the call only.
  using MessageHandler =
      std::function<void(const Instance &from, std::string_view bytes)>;

  /// Binds the peer address; returns null and sets `reason` on failure.
  static std::unique_ptr<PeerSocket>
  open(boost::asio::io_context &context, PeerSocketOptions options,
       Metrics &metrics, MessageHandler handler, std::string &reason);
  ~PeerSocket();

  /// Replaces the set of peers that messages can be sent to; closes connections
  /// to others. Ignores this
  /// router's own host and addresses that are not of the form "IP:port".
  void setPeers(const std::vector<PeerAddress> &peers);
  /// Sends `bytes`, which the metrics count as `type`. Drops them when the peer
  /// is unknown or not connected, or when its queue is full. The first message
  /// to a peer opens the connection and is dropped.
  void send(const HostId &to, const std::string &type,
            const std::string &bytes);
  /// Receives the messages that have arrived; if there are many, some of them
  /// later on the event loop.
  void receivePending();

private:
  struct Implementation;
  explicit PeerSocket(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> Impl;
};

} // namespace nutmegsill
