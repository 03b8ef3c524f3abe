/// Encrypted messages between the routers of one fleet over ZeroMQ.
#pragma once

#include "metrics.h"
#include "nutmegsill/event.h"
#include "settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace nutmegsill {

/// For use from the control thread only. Messages may be lost.
class PeerSocket {
public:
  using Receive = std::function<void(PeerMessage)>;

  /// Binds the peer address; nothing and a reason on failure.
  static std::unique_ptr<PeerSocket> open(boost::asio::io_context &context,
                                          const Settings &settings,
                                          Incarnation life, Metrics &metrics,
                                          Receive receive, std::string &reason);
  ~PeerSocket();

  /// Follows the host list: addresses of new peers, removal of old ones.
  void setMembers(const std::vector<Member> &members);
  void send(const HostId &to, const Message &message);
  /// Receives whatever has arrived.
  void drain();

private:
  struct Parts;
  explicit PeerSocket(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> Impl;
};

} // namespace nutmegsill
