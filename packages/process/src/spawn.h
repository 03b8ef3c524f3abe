/// Starts coroutines without losing their exceptions.
#pragma once

#include "log.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <exception>

namespace nutmegsill {

/// Logs why the process ends.
inline void logEscaped(const std::exception_ptr &exception) {
  std::string reason = "unknown exception";
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception &error) {
    reason = error.what();
  } catch (...) {
  }
  logLine("process", "exception_escaped", {{"reason", reason}});
  stopLog();
}

/// Runs `work` on `executor`. An exception that escapes it is a broken
/// invariant and ends the process.
template <class Executor>
void spawn(Executor &executor, boost::asio::awaitable<void> work) {
  boost::asio::co_spawn(executor, std::move(work),
                        [](const std::exception_ptr &exception) {
                          if (exception) {
                            logEscaped(exception);
                            std::rethrow_exception(exception);
                          }
                        });
}

} // namespace nutmegsill
