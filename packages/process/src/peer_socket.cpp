#include "peer_socket.h"

#include "nutmegsill/http_client.h"

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <charconv>
#include <map>
#include <zmq.hpp>
#include <zmq_addon.hpp>

namespace nutmegsill {

namespace asio = boost::asio;

namespace {

constexpr std::size_t CurveKeyBytes = 32;
constexpr const char *AuthEndpoint = "inproc://zeromq.zap.01";

/// Routing identity "HOST|LIFE" of a connection.
std::string encodeIdentity(const Instance &instance) {
  return instance.Host.Text + "|" + std::to_string(instance.Incarnation.Value);
}

/// Nothing for an identity of another form.
std::optional<Instance> decodeIdentity(std::string_view text) {
  const std::size_t bar = text.rfind('|');
  if (bar == std::string_view::npos || bar == 0) {
    return std::nullopt;
  }
  Instance out;
  out.Host.Text = std::string(text.substr(0, bar));
  const std::string_view life = text.substr(bar + 1);
  const std::from_chars_result read = std::from_chars(
      life.data(), life.data() + life.size(), out.Incarnation.Value);
  const bool whole =
      read.ec == std::errc() && read.ptr == life.data() + life.size();
  return whole ? std::optional<Instance>(out) : std::nullopt;
}

} // namespace

struct PeerSocket::Parts {
  Parts(asio::io_context &io, PeerSocketOptions options, Metrics &metrics,
        Receive receive)
      : Options(std::move(options)), Counters(metrics),
        OnMessage(std::move(receive)), Auth(Zmq, zmq::socket_type::rep),
        Inbox(Zmq, zmq::socket_type::router), AuthReady(io), InboxReady(io) {}

  struct Connection {
    std::string Address;
    zmq::socket_t Socket;
  };

  void bind(const std::string &address);
  void watch(asio::posix::stream_descriptor &ready);
  void answerAuth();
  void receiveAll();
  void receiveOne(const zmq::message_t &identity, const zmq::message_t &body);
  zmq::socket_t connect(const std::string &address);
  void drainAll() {
    answerAuth();
    receiveAll();
  }

  PeerSocketOptions Options;
  Metrics &Counters;
  Receive OnMessage;
  zmq::context_t Zmq{1};
  zmq::socket_t Auth;
  zmq::socket_t Inbox;
  std::map<HostId, Connection> Peers;
  asio::posix::stream_descriptor AuthReady;
  asio::posix::stream_descriptor InboxReady;
};

void PeerSocket::Parts::bind(const std::string &address) {
  Auth.bind(AuthEndpoint);
  Inbox.set(zmq::sockopt::linger, 0);
  Inbox.set(zmq::sockopt::router_handover, true);
  if (Options.Curve) {
    Inbox.set(zmq::sockopt::curve_server, true);
    Inbox.set(zmq::sockopt::curve_publickey, Options.Curve->Public);
    Inbox.set(zmq::sockopt::curve_secretkey, Options.Curve->Secret);
    Inbox.set(zmq::sockopt::zap_domain, "nutmegsill");
  }
  Inbox.bind("tcp://" + address);
  AuthReady.assign(Auth.get(zmq::sockopt::fd));
  InboxReady.assign(Inbox.get(zmq::sockopt::fd));
  watch(AuthReady);
  watch(InboxReady);
}

void PeerSocket::Parts::watch(asio::posix::stream_descriptor &ready) {
  ready.async_wait(asio::posix::stream_descriptor::wait_read,
                   [this, &ready](boost::system::error_code ec) {
                     if (ec) {
                       return;
                     }
                     drainAll();
                     watch(ready);
                   });
}

void PeerSocket::Parts::answerAuth() {
  constexpr std::size_t frames = 7;
  std::vector<zmq::message_t> request;
  while (zmq::recv_multipart(Auth, std::back_inserter(request),
                             zmq::recv_flags::dontwait)) {
    char known[CurveKeyBytes] = {};
    if (Options.Curve) {
      zmq_z85_decode(reinterpret_cast<uint8_t *>(known),
                     Options.Curve->Public.c_str());
    }
    const bool trusted =
        Options.Curve && request.size() == frames &&
        request[5].to_string_view() == "CURVE" &&
        request[6].to_string_view() == std::string_view(known, CurveKeyBytes);
    if (!trusted) {
      Counters.peerDropped("unauthenticated");
    }
    const std::string id = request.size() > 1 ? request[1].to_string() : "";
    const std::array<zmq::const_buffer, 6> reply{
        zmq::str_buffer("1.0"),
        zmq::buffer(id),
        trusted ? zmq::str_buffer("200") : zmq::str_buffer("400"),
        zmq::const_buffer(),
        zmq::const_buffer(),
        zmq::const_buffer()};
    zmq::send_multipart(Auth, reply);
    request.clear();
  }
}

void PeerSocket::Parts::receiveAll() {
  std::vector<zmq::message_t> frames;
  while (zmq::recv_multipart(Inbox, std::back_inserter(frames),
                             zmq::recv_flags::dontwait)) {
    if (frames.size() == 2) {
      receiveOne(frames[0], frames[1]);
    } else {
      Counters.peerDropped("malformed");
    }
    frames.clear();
  }
}

void PeerSocket::Parts::receiveOne(const zmq::message_t &identity,
                                   const zmq::message_t &body) {
  const std::optional<Instance> from =
      decodeIdentity(identity.to_string_view());
  if (!from) {
    Counters.peerDropped("malformed");
    return;
  }
  OnMessage(*from, body.to_string_view());
}

zmq::socket_t PeerSocket::Parts::connect(const std::string &address) {
  zmq::socket_t socket(Zmq, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::routing_id, encodeIdentity(Options.Self));
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::sndhwm, Options.SendQueue);
  socket.set(zmq::sockopt::reconnect_ivl, 100);
  socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
  socket.set(zmq::sockopt::heartbeat_ivl,
             static_cast<int>(Options.CheckInterval.count()));
  socket.set(zmq::sockopt::heartbeat_timeout,
             static_cast<int>(Options.CheckTimeout.count()));
  if (Options.Curve) {
    socket.set(zmq::sockopt::curve_serverkey, Options.Curve->Public);
    socket.set(zmq::sockopt::curve_publickey, Options.Curve->Public);
    socket.set(zmq::sockopt::curve_secretkey, Options.Curve->Secret);
  }
  socket.connect("tcp://" + address);
  return socket;
}

PeerSocket::PeerSocket(std::unique_ptr<Parts> parts) : Impl(std::move(parts)) {}

PeerSocket::~PeerSocket() {
  // The descriptors belong to ZeroMQ.
  Impl->AuthReady.release();
  Impl->InboxReady.release();
}

std::unique_ptr<PeerSocket> PeerSocket::open(asio::io_context &context,
                                             PeerSocketOptions options,
                                             Metrics &metrics, Receive receive,
                                             std::string &reason) {
  try {
    const std::string address = options.Address;
    std::unique_ptr<Parts> parts = std::make_unique<Parts>(
        context, std::move(options), metrics, std::move(receive));
    parts->bind(address);
    return std::unique_ptr<PeerSocket>(new PeerSocket(std::move(parts)));
  } catch (const std::exception &error) {
    reason = error.what();
    return nullptr;
  }
}

void PeerSocket::setPeers(const std::vector<PeerAddress> &peers) {
  std::map<HostId, Parts::Connection> kept;
  for (const PeerAddress &it : peers) {
    if (it.Host == Impl->Options.Self.Host || !parseEndpoint(it.Address)) {
      continue;
    }
    const auto old = Impl->Peers.find(it.Host);
    const bool same =
        old != Impl->Peers.end() && old->second.Address == it.Address;
    if (same) {
      kept.emplace(it.Host, std::move(old->second));
    } else {
      kept.emplace(it.Host,
                   Parts::Connection{it.Address, Impl->connect(it.Address)});
    }
  }
  Impl->Peers = std::move(kept);
}

void PeerSocket::send(const HostId &to, const std::string &type,
                      const std::string &bytes) {
  const auto it = Impl->Peers.find(to);
  if (it == Impl->Peers.end()) {
    return;
  }
  const zmq::send_result_t sent =
      it->second.Socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (sent) {
    Impl->Counters.peerMessage(type, "sent", bytes.size());
  } else {
    Impl->Counters.peerDropped("not_connected");
  }
}

void PeerSocket::drain() { Impl->drainAll(); }

} // namespace nutmegsill
