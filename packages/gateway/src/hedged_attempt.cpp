#include "hedged_attempt.h"

#include "clock.h"
#include "request_log.h"

namespace nutmegsill::gateway {

using routing::Assignment;
using routing::ExchangeResult;

void HedgedAttempt::prepare(HedgedExchange &exchange, const Assignment &first,
                            MakeRequest makeRequest) {
  const routing::RouteRule &route = *Lifecycle.dispatchRequest().Route;
  const std::optional<Duration> delay = Context.Hedges.delay(route.Name);
  if (route.Semantics != routing::ExecutionSemantics::Idempotent || !delay) {
    return;
  }
  exchange.hedgeAfter(
      *delay, [this, &first, delay, makeRequest = std::move(makeRequest)] {
        std::unique_ptr<Exchange> out;
        const Time now = bootTimeNow();
        if (Context.Hedges.allows(first.Pool, now)) {
          Second = Lifecycle.chooseHedge(Context.Dispatcher, first, now);
        }
        const std::optional<Endpoint> endpoint =
            Second ? parseEndpoint(Second->Address) : std::nullopt;
        if (!endpoint) {
          return out;
        }
        Context.Hedges.recordStarted(first.Pool);
        ExchangeRequest request = makeRequest(*Second);
        logHedge(request.RequestId, first, *Second, *delay);
        request.TargetEndpoint = *endpoint;
        request.OnConnected = [] {};
        request.OnProgress = [] {};
        request.OnResponseHead = [this](const platform::ResponseHead &head,
                                        bool isLate) {
          Context.recordResponseHead(*Second, head, isLate);
        };
        out = std::make_unique<Exchange>(Context.TargetConnections,
                                         Context.ResponseBuffers,
                                         std::move(request), Writer, nullptr);
        return out;
      });
}

void HedgedAttempt::finish(HedgedExchange &exchange, ExchangeOutcome &outcome,
                           Assignment &assignment) {
  const Time now = bootTimeNow();
  if (outcome.RequestSent && outcome.Result != ExchangeResult::Refused) {
    Context.Hedges.recordResponse(Lifecycle.dispatchRequest().Route->Name,
                                  now - assignment.SentAt, now);
  }
  if (!Second) {
    return;
  }
  const bool won = exchange.secondWins();
  ExchangeOutcome lost = exchange.takeSecondOutcome();
  if (won) {
    std::swap(outcome, lost);
    std::swap(assignment, *Second);
  }
  Context.Counters.countHedge(won);
  routing::AttemptOutcome attempt;
  attempt.Result = lost.Result;
  attempt.RequestSent = lost.RequestSent;
  attempt.Reason = lost.Reason;
  Lifecycle.finishAttempt(Context.Dispatcher, *Second, attempt, now);
}

} // namespace nutmegsill::gateway
