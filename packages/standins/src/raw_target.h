/// Target that sends bytes as a test scripts them. Test-only.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace nutmegsill::standin {

/// One connection, of which the head of one request has been read.
class RawTargetConnection {
public:
  RawTargetConnection(boost::asio::ip::tcp::socket &socket,
                      std::string requestId)
      : RequestId(std::move(requestId)), Socket(socket) {}

  const std::string RequestId;

  /// Status line and the fields that a router expects, without the empty line.
  std::string head(const std::string &status) const;
  boost::asio::awaitable<void> send(std::string bytes);
  boost::asio::awaitable<void> sleep(std::chrono::milliseconds duration);
  /// Reads until the connection ends; returns whether it was reset.
  boost::asio::awaitable<bool> readToReset();
  /// Ends the sending side; the other one stays open.
  void endSending();
  /// Closes the connection; the system resets it if bytes are unread.
  void close();

private:
  boost::asio::ip::tcp::socket &Socket;
};

/// Serves one request a connection, on its own thread.
class RawTarget {
public:
  using Script =
      std::function<boost::asio::awaitable<void>(RawTargetConnection &)>;

  /// `receiveBytes` is the size of the system's receive buffers; 0 for its
  /// default.
  RawTarget(std::string address, Script script, int receiveBytes = 0);
  ~RawTarget();

  const std::string &address() const { return Address; }
  int requestCount() const { return RequestCount; }

private:
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> accept();

  const std::string Address;
  const Script RunScript;
  std::atomic<int> RequestCount{0};
  boost::asio::io_context Io{1};
  boost::asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace nutmegsill::standin
