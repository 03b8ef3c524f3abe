/// Signals that ask the process to stop.
#pragma once

#include "nutmegsill/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <optional>

namespace nutmegsill::gateway {

/// Handles SIGTERM and SIGINT. One object a process.
class StopSignal {
public:
  explicit StopSignal(boost::asio::io_context &io);
  ~StopSignal();
  StopSignal(const StopSignal &) = delete;
  StopSignal &operator=(const StopSignal &) = delete;

  /// Waits for the first signal and returns when it arrived, however late the
  /// event loop gets to it.
  boost::asio::awaitable<Time> wait();
  /// When the first signal arrived. Callable from any thread.
  static std::optional<Time> arrivedAt();

private:
  boost::asio::posix::stream_descriptor Notified;
};

} // namespace nutmegsill::gateway
