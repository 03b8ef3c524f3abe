#include "origin_inquiries.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

std::uint64_t OriginInquiries::startNumber() {
  return static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
}

asio::awaitable<routing::OriginDecision>
OriginInquiries::ask(const routing::OriginQuestion &question,
                     const std::vector<HostId> &peers, Reader read,
                     routing::UnknownOrigin unknown, Duration time) {
  if (peers.empty() || time <= Duration{0}) {
    co_return unknown;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor);
  Pending pending{
      std::move(read), {peers.begin(), peers.end()}, unknown, timer};
  Questions[question.Number] = &pending;
  Send(question, peers);
  timer.expires_after(time);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  Questions.erase(question.Number);
  co_return std::move(pending.Decision);
}

void OriginInquiries::receive(const HostId &peer,
                              const routing::OriginAnswer &answer) {
  const auto it = Questions.find(answer.Number);
  if (it == Questions.end() || it->second->Awaited.erase(peer) == 0) {
    return;
  }
  Pending &pending = *it->second;
  if (std::holds_alternative<routing::KnownOrigin>(pending.Decision)) {
    return;
  }
  pending.Decision = pending.Read(answer);
  if (std::holds_alternative<routing::KnownOrigin>(pending.Decision) ||
      pending.Awaited.empty()) {
    pending.Timer.cancel();
  }
}

void OriginInquiries::cancel(std::uint64_t number) {
  const auto it = Questions.find(number);
  if (it != Questions.end()) {
    it->second->Timer.cancel();
  }
}

} // namespace nutmegsill::gateway
