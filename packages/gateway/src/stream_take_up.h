/// Finds where a stream that a request takes up may go on.
#pragma once

#include "served_request.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

namespace nutmegsill::gateway {

/// Key by which the request's stream can be taken up; nothing if it has no id.
std::optional<routing::StreamKey> streamKeyOf(const ServedRequest &request);

/// Not thread-safe.
class StreamTakeUp {
public:
  StreamTakeUp(SessionContext &context, ServedRequest &request)
      : Context(context), Request(request) {}

  /// Confines the request to the pool and the version that began its stream.
  /// Returns why it is rejected if they are not known.
  boost::asio::awaitable<std::optional<routing::LocalResponse>> run();
  /// Ends `run` early.
  void cancel();

private:
  boost::asio::awaitable<routing::OriginDecision>
  askPeers(routing::StreamKey key, routing::UnknownOrigin unknown);

  SessionContext &Context;
  ServedRequest &Request;
  std::optional<std::uint64_t> Question;
};

} // namespace nutmegsill::gateway
