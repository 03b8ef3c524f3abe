#include "stop_signal.h"

#include "clock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <sys/eventfd.h>
#include <unistd.h>

namespace nutmegsill::gateway {

namespace asio = boost::asio;

namespace {

// What the signal handler uses; 0 and -1 until there is a value.
std::atomic<std::int64_t> ArrivedAt{0};
std::atomic<int> NotificationDescriptor{-1};
static_assert(std::atomic<std::int64_t>::is_always_lock_free);

void recordSignal(int /*number*/) {
  const int callersErrno = errno;
  std::int64_t none = 0;
  ArrivedAt.compare_exchange_strong(none,
                                    bootTimeNow().time_since_epoch().count());
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t n =
      ::write(NotificationDescriptor, &one, sizeof(one));
  errno = callersErrno;
}

} // namespace

StopSignal::StopSignal(asio::io_context &io)
    : Notified(io, ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  NotificationDescriptor = Notified.native_handle();
  struct sigaction action {};
  action.sa_handler = recordSignal;
  action.sa_flags = SA_RESTART;
  ::sigemptyset(&action.sa_mask);
  for (const int number : {SIGTERM, SIGINT}) {
    ::sigaction(number, &action, nullptr);
  }
}

StopSignal::~StopSignal() { NotificationDescriptor = -1; }

std::optional<Time> StopSignal::arrivedAt() {
  const std::int64_t count = ArrivedAt;
  return count == 0 ? std::nullopt : std::optional(Time(Duration(count)));
}

asio::awaitable<Time> StopSignal::wait() {
  while (!arrivedAt()) {
    boost::system::error_code ec;
    co_await Notified.async_wait(asio::posix::descriptor_base::wait_read,
                                 asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return *arrivedAt();
}

} // namespace nutmegsill::gateway
