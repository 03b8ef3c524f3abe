#include "origin_inquiries.h"

#include "clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

/// Interval at which a question is repeated: the first message on a connection
/// between two routers is dropped, in each direction.
constexpr milliseconds RepeatInterval{30};

} // namespace

std::uint64_t OriginInquiries::startNumber() {
  return static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
}

asio::awaitable<routing::OriginDecision>
OriginInquiries::ask(const routing::OriginQuestion &question,
                     const std::vector<HostId> &peers, Reader read,
                     routing::UnknownOrigin unknown, Duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  Pending pending{
      std::move(read), {peers.begin(), peers.end()}, unknown, timer};
  Questions[question.Number] = &pending;
  const Time end = bootTimeNow() + time;
  for (Time now = bootTimeNow(); !pending.isDone() && now < end;
       now = bootTimeNow()) {
    Send(question, {pending.Awaited.begin(), pending.Awaited.end()});
    timer.expires_after(std::min<Duration>(RepeatInterval, end - now));
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  Questions.erase(question.Number);
  co_return std::move(pending.Decision);
}

bool OriginInquiries::Pending::isDone() const {
  return Cancelled || Awaited.empty() ||
         std::holds_alternative<routing::KnownOrigin>(Decision);
}

void OriginInquiries::receive(const HostId &peer,
                              const routing::OriginAnswer &answer) {
  const auto it = Questions.find(answer.Number);
  if (it == Questions.end() || it->second->isDone() ||
      it->second->Awaited.erase(peer) == 0) {
    return;
  }
  Pending &pending = *it->second;
  pending.Decision = pending.Read(answer);
  if (pending.isDone()) {
    pending.Timer.cancel();
  }
}

void OriginInquiries::cancel(std::uint64_t number) {
  const auto it = Questions.find(number);
  if (it != Questions.end()) {
    it->second->Cancelled = true;
    it->second->Timer.cancel();
  }
}

} // namespace nutmegsill::gateway
