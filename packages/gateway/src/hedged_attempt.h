/// A second attempt of a request beside a slow first one.
#pragma once

#include "hedged_exchange.h"
#include "nutmegsill/routing/request_lifecycle.h"
#include "traffic_server.h"

#include <string>

namespace nutmegsill::gateway {

/// One attempt of a request, and possibly a second one. Not thread-safe.
class HedgedAttempt {
public:
  using MakeRequest =
      std::function<ExchangeRequest(const routing::Assignment &)>;

  HedgedAttempt(SessionContext &context, routing::RequestLifecycle &lifecycle,
                ResponseWriter &writer)
      : Context(context), Lifecycle(lifecycle), Writer(writer) {}

  /// Lets a second attempt start if the first takes longer than usual. The
  /// arguments must live as long as `exchange` runs.
  void prepare(HedgedExchange &exchange, const routing::Assignment &first,
               MakeRequest makeRequest);
  /// Learns from the attempts. Records the one whose response is not used, and
  /// leaves the other one in `outcome` and `assignment`.
  void finish(HedgedExchange &exchange, ExchangeOutcome &outcome,
              routing::Assignment &assignment);

private:
  SessionContext &Context;
  routing::RequestLifecycle &Lifecycle;
  ResponseWriter &Writer;
  std::optional<routing::Assignment> Second;
};

} // namespace nutmegsill::gateway
