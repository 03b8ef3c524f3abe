#include "peer_socket.h"

#include "nutmegsill/http_client.h"
#include "peer_gate.h"

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <map>
#include <stdexcept>
#include <zmq.hpp>
#include <zmq_addon.hpp>

namespace nutmegsill {

namespace asio = boost::asio;

namespace {

constexpr std::size_t CurveKeyBytes = 32;
/// A peer that sends a larger message is disconnected; load reports have some
/// kilobytes.
constexpr std::int64_t MaxMessageBytes = 1 << 20;
/// Messages of one peer that wait to be received: a peer queues four itself.
constexpr int MaxQueuedReceived = 16;
/// Messages received before other handlers of the event loop run.
constexpr int MaxMessagesAtOnce = 64;
constexpr const char *AuthEndpoint = "inproc://zeromq.zap.01";

/// Returns the routing identity "HOST|INCARNATION" of a connection.
std::string encodeIdentity(const Instance &instance) {
  return instance.Host.Text + "|" + std::to_string(instance.Incarnation.Value);
}

/// Parses a routing identity; returns nothing when it is not of that form.
std::optional<Instance> decodeIdentity(std::string_view text) {
  const std::size_t bar = text.rfind('|');
  if (bar == std::string_view::npos || bar == 0) {
    return std::nullopt;
  }
  Instance out;
  out.Host.Text = std::string(text.substr(0, bar));
  const std::string_view incarnation = text.substr(bar + 1);
  const std::from_chars_result read = std::from_chars(
      incarnation.data(), incarnation.data() + incarnation.size(),
      out.Incarnation.Value);
  const bool complete = read.ec == std::errc() &&
                        read.ptr == incarnation.data() + incarnation.size();
  return complete ? std::optional<Instance>(out) : std::nullopt;
}

} // namespace

struct PeerSocket::Implementation {
  Implementation(asio::io_context &io, PeerSocketOptions options,
                 Metrics &metrics, MessageHandler handler)
      : Options(std::move(options)), Counters(metrics),
        OnMessage(std::move(handler)),
        AuthSocket(ZmqContext, zmq::socket_type::rep),
        ReceiveSocket(ZmqContext, zmq::socket_type::router), AuthDescriptor(io),
        ReceiveDescriptor(io) {}

  struct Peer {
    std::string Address;
    /// Opened by the first message: most peers are never sent one.
    std::optional<zmq::socket_t> Socket;
  };

  void bind(asio::io_context &io, const std::string &address);
  void waitForMessages(asio::posix::stream_descriptor &descriptor);
  void replyToAuthRequests();
  void receiveMessages();
  void receiveMessage(const zmq::message_t &identity,
                      const zmq::message_t &body);
  std::optional<zmq::socket_t> connect(const std::string &address);
  void receivePending() {
    replyToAuthRequests();
    receiveMessages();
  }

  PeerSocketOptions Options;
  Metrics &Counters;
  MessageHandler OnMessage;
  zmq::context_t ZmqContext{1};
  zmq::socket_t AuthSocket;
  zmq::socket_t ReceiveSocket;
  std::map<HostId, Peer> Peers;
  std::optional<PeerGate> Gate;
  asio::posix::stream_descriptor AuthDescriptor;
  asio::posix::stream_descriptor ReceiveDescriptor;
  /// Pending handlers hold a weak pointer and must not touch this after its
  /// end.
  std::shared_ptr<bool> LifetimeToken = std::make_shared<bool>();
};

void PeerSocket::Implementation::bind(asio::io_context &io,
                                      const std::string &address) {
  AuthSocket.bind(AuthEndpoint);
  ReceiveSocket.set(zmq::sockopt::linger, 0);
  ReceiveSocket.set(zmq::sockopt::router_handover, true);
  ReceiveSocket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
  if (Options.Curve) {
    ReceiveSocket.set(zmq::sockopt::curve_server, true);
    ReceiveSocket.set(zmq::sockopt::curve_publickey, Options.Curve->Public);
    ReceiveSocket.set(zmq::sockopt::curve_secretkey, Options.Curve->Secret);
    ReceiveSocket.set(zmq::sockopt::zap_domain, "nutmegsill");
  }
  ReceiveSocket.set(zmq::sockopt::rcvhwm, MaxQueuedReceived);
  // Local sockets are not available on all hosts.
  ReceiveSocket.bind("tcp://127.0.0.1:*");
  const std::string bound = ReceiveSocket.get(zmq::sockopt::last_endpoint);
  const std::optional<Endpoint> inner =
      parseEndpoint(bound.substr(std::string_view("tcp://").size()));
  const std::optional<Endpoint> endpoint = parseEndpoint(address);
  if (!endpoint || !inner) {
    throw std::invalid_argument("peer address is not of the form IP:port");
  }
  PeerGateLimits limits;
  limits.MaxConnections = Options.MaxConnections;
  limits.MaxFrameBytes = MaxMessageBytes;
  limits.AllowsParts = Options.Curve.has_value();
  Gate.emplace(io, *endpoint, *inner, limits, Counters);
  AuthDescriptor.assign(AuthSocket.get(zmq::sockopt::fd));
  ReceiveDescriptor.assign(ReceiveSocket.get(zmq::sockopt::fd));
  waitForMessages(AuthDescriptor);
  waitForMessages(ReceiveDescriptor);
}

void PeerSocket::Implementation::waitForMessages(
    asio::posix::stream_descriptor &descriptor) {
  descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                        [this, &descriptor](boost::system::error_code ec) {
                          if (ec) {
                            return;
                          }
                          receivePending();
                          waitForMessages(descriptor);
                        });
}

void PeerSocket::Implementation::replyToAuthRequests() {
  constexpr std::size_t frameCount = 7;
  std::vector<zmq::message_t> request;
  while (zmq::recv_multipart(AuthSocket, std::back_inserter(request),
                             zmq::recv_flags::dontwait)) {
    char fleetKey[CurveKeyBytes] = {};
    if (Options.Curve) {
      zmq_z85_decode(reinterpret_cast<uint8_t *>(fleetKey),
                     Options.Curve->Public.c_str());
    }
    const bool trusted = Options.Curve && request.size() == frameCount &&
                         request[5].to_string_view() == "CURVE" &&
                         request[6].to_string_view() ==
                             std::string_view(fleetKey, CurveKeyBytes);
    if (!trusted) {
      Counters.countDroppedPeerMessage("unauthenticated");
    }
    const std::string id = request.size() > 1 ? request[1].to_string() : "";
    const std::array<zmq::const_buffer, 6> reply{
        zmq::str_buffer("1.0"),
        zmq::buffer(id),
        trusted ? zmq::str_buffer("200") : zmq::str_buffer("400"),
        zmq::const_buffer(),
        zmq::const_buffer(),
        zmq::const_buffer()};
    zmq::send_multipart(AuthSocket, reply);
    request.clear();
  }
}

void PeerSocket::Implementation::receiveMessages() {
  std::vector<zmq::message_t> frames;
  for (int received = 0;
       zmq::recv_multipart(ReceiveSocket, std::back_inserter(frames),
                           zmq::recv_flags::dontwait);) {
    if (frames.size() == 2) {
      receiveMessage(frames[0], frames[1]);
    } else {
      Counters.countDroppedPeerMessage("malformed");
    }
    frames.clear();
    if (++received == MaxMessagesAtOnce) {
      // The descriptor shows new messages only, not those that are left.
      asio::post(ReceiveDescriptor.get_executor(),
                 [this, lifetime = std::weak_ptr<bool>(LifetimeToken)] {
                   if (!lifetime.expired()) {
                     receivePending();
                   }
                 });
      return;
    }
  }
}

void PeerSocket::Implementation::receiveMessage(const zmq::message_t &identity,
                                                const zmq::message_t &body) {
  const std::optional<Instance> from =
      decodeIdentity(identity.to_string_view());
  if (!from) {
    Counters.countDroppedPeerMessage("malformed");
    return;
  }
  OnMessage(*from, body.to_string_view());
}

/// Returns nothing if the library does not take the address or has no socket
/// left.
std::optional<zmq::socket_t>
PeerSocket::Implementation::connect(const std::string &address) try {
  zmq::socket_t socket(ZmqContext, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::routing_id, encodeIdentity(Options.Self));
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::sndhwm, Options.MaxQueuedMessages);
  socket.set(zmq::sockopt::reconnect_ivl, 100);
  socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
  socket.set(zmq::sockopt::heartbeat_ivl,
             static_cast<int>(Options.HeartbeatInterval.count()));
  socket.set(zmq::sockopt::heartbeat_timeout,
             static_cast<int>(Options.HeartbeatTimeout.count()));
  if (Options.Curve) {
    socket.set(zmq::sockopt::curve_serverkey, Options.Curve->Public);
    socket.set(zmq::sockopt::curve_publickey, Options.Curve->Public);
    socket.set(zmq::sockopt::curve_secretkey, Options.Curve->Secret);
  }
  socket.connect("tcp://" + address);
  return socket;
} catch (const zmq::error_t &) {
  return std::nullopt;
}

PeerSocket::PeerSocket(std::unique_ptr<Implementation> implementation)
    : Impl(std::move(implementation)) {}

PeerSocket::~PeerSocket() {
  // ZeroMQ owns the descriptors.
  Impl->AuthDescriptor.release();
  Impl->ReceiveDescriptor.release();
}

std::unique_ptr<PeerSocket> PeerSocket::open(asio::io_context &context,
                                             PeerSocketOptions options,
                                             Metrics &metrics,
                                             MessageHandler handler,
                                             std::string &reason) {
  try {
    const std::string address = options.Address;
    std::unique_ptr<Implementation> implementation =
        std::make_unique<Implementation>(context, std::move(options), metrics,
                                         std::move(handler));
    implementation->bind(context, address);
    return std::unique_ptr<PeerSocket>(
        new PeerSocket(std::move(implementation)));
  } catch (const std::exception &error) {
    reason = error.what();
    return nullptr;
  }
}

void PeerSocket::setPeers(const std::vector<PeerAddress> &peers) {
  std::map<HostId, Implementation::Peer> known;
  for (const PeerAddress &it : peers) {
    if (it.Host == Impl->Options.Self.Host || !parseEndpoint(it.Address)) {
      continue;
    }
    const auto old = Impl->Peers.find(it.Host);
    const bool same =
        old != Impl->Peers.end() && old->second.Address == it.Address;
    known.emplace(it.Host, same ? std::move(old->second)
                                : Implementation::Peer{it.Address, {}});
  }
  Impl->Peers = std::move(known);
}

void PeerSocket::send(const HostId &to, const std::string &type,
                      const std::string &bytes) {
  const auto it = Impl->Peers.find(to);
  if (it == Impl->Peers.end()) {
    return;
  }
  std::optional<zmq::socket_t> &socket = it->second.Socket;
  if (!socket) {
    socket = Impl->connect(it->second.Address);
  }
  if (!socket) {
    Impl->Counters.countDroppedPeerMessage("no_connection");
    return;
  }
  const zmq::send_result_t sent =
      socket->send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (sent) {
    Impl->Counters.countPeerMessage(type, "sent", bytes.size());
  } else {
    Impl->Counters.countDroppedPeerMessage("not_connected");
  }
}

void PeerSocket::receivePending() { Impl->receivePending(); }

} // namespace nutmegsill
