/// Questions to other routers about who began a stream.
#pragma once

#include "nutmegsill/routing/stream_origins.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace nutmegsill::gateway {

/// Not thread-safe.
class OriginInquiries {
public:
  /// Sends a question to routers.
  using Sender = std::function<void(const routing::OriginQuestion &,
                                    const std::vector<HostId> &)>;
  /// Reads an answer; `UnknownOrigin` if it tells nothing.
  using Reader =
      std::function<routing::OriginDecision(const routing::OriginAnswer &)>;

  void setSender(Sender sender) { Send = std::move(sender); }
  /// Chooses the number of a question.
  std::uint64_t nextNumber() { return ++LastNumber; }
  /// Waits at most for `time` until an answer tells something, or all routers
  /// have answered; returns `unknown` otherwise.
  boost::asio::awaitable<routing::OriginDecision>
  ask(const routing::OriginQuestion &question, const std::vector<HostId> &peers,
      Reader read, routing::UnknownOrigin unknown, Duration time);
  void receive(const HostId &peer, const routing::OriginAnswer &answer);
  /// Ends the wait for answers.
  void cancel(std::uint64_t number);

private:
  struct Pending {
    Reader Read;
    std::set<HostId> Awaited;
    routing::OriginDecision Decision;
    boost::asio::steady_timer &Timer;
    bool Cancelled = false;

    /// Nothing is awaited any more.
    bool isDone() const;
  };
  Sender Send;
  /// Late answers to an earlier process of this host have other numbers.
  std::uint64_t LastNumber = startNumber();
  std::map<std::uint64_t, Pending *> Questions;

  static std::uint64_t startNumber();
};

} // namespace nutmegsill::gateway
