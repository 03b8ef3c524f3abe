/// Starts coroutines without losing their exceptions.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

#include <exception>

namespace nutmegsill {

/// Runs `work` on `executor`. An exception that escapes it is a broken
/// invariant and ends the process.
template <class Executor>
void spawn(Executor &executor, boost::asio::awaitable<void> work) {
  boost::asio::co_spawn(executor, std::move(work),
                        [](const std::exception_ptr &exception) {
                          if (exception) {
                            std::rethrow_exception(exception);
                          }
                        });
}

} // namespace nutmegsill
