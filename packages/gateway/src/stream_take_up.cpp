#include "stream_take_up.h"

#include "clock.h"

#include <algorithm>

namespace nutmegsill::gateway {

namespace asio = boost::asio;
using routing::LocalResponse;
using routing::OriginDecision;
using routing::UnknownOrigin;

namespace {

/// Time for the answers of other routers: some round trips between zones.
constexpr milliseconds AnswerTimeout{100};
/// Retry-After of a take-up whose stream is not known: about the time in which
/// load reports arrive.
constexpr milliseconds UnknownOriginRetryAfter{500};

} // namespace

std::optional<routing::StreamKey> streamKeyOf(const ServedRequest &request) {
  const platform::RequestHead &head = request.Head;
  routing::StreamContent content;
  content.Team = request.Admitted->Team.Text;
  content.HostName = head.HostName;
  content.Path = head.Path;
  content.Model = head.Model;
  content.RequestId = head.Resumes.empty() ? head.RequestId : head.Resumes;
  return content.RequestId.empty() ? std::nullopt
                                   : std::optional(routing::streamKey(content));
}

void StreamTakeUp::cancel() {
  if (Question) {
    Context.Inquiries.cancel(*Question);
  }
}

asio::awaitable<OriginDecision> StreamTakeUp::askPeers(routing::StreamKey key,
                                                       UnknownOrigin unknown) {
  const routing::Admission &admitted = *Request.Admitted;
  const routing::ReportRecipients &recipients =
      Context.Dispatcher.reportRecipients();
  std::vector<HostId> peers = recipients.GroupPeers;
  peers.insert(peers.end(), recipients.AskedPeers.begin(),
               recipients.AskedPeers.end());
  Question = Context.Inquiries.nextNumber();
  const routing::OriginQuestion question{*Question, key, admitted.Route->Name,
                                         admitted.Pool};
  OriginInquiries::Reader read = [this,
                                  key](const routing::OriginAnswer &answer) {
    return Context.Dispatcher.streamOrigins().adopt(
        answer, key, *Request.Admitted->Route, Request.Admitted->Pool,
        bootTimeNow());
  };
  const Duration time = std::min<Duration>(
      AnswerTimeout, Request.Lifecycle->remainingTime(bootTimeNow()));
  asio::awaitable<OriginDecision> answered =
      Context.Inquiries.ask(question, peers, std::move(read), unknown, time);
  OriginDecision decision = co_await std::move(answered);
  Question.reset();
  co_return decision;
}

asio::awaitable<std::optional<LocalResponse>> StreamTakeUp::run() {
  const Time now = bootTimeNow();
  routing::StreamOrigins &origins = Context.Dispatcher.streamOrigins();
  const std::optional<routing::StreamKey> key =
      Request.Head.Resumes.empty() ? std::nullopt : streamKeyOf(Request);
  OriginDecision decision =
      origins.find(key, *Request.Admitted->Route, Request.Admitted->Pool, now);
  const auto *asked = std::get_if<UnknownOrigin>(&decision);
  if (asked != nullptr && asked->MayAsk && key && origins.mayAsk(now)) {
    decision = co_await askPeers(*key, *asked);
  }
  if (const auto *unknown = std::get_if<UnknownOrigin>(&decision)) {
    co_return LocalResponse{
        503, std::string("stream_origin_unknown, ") + unknown->Reason,
        UnknownOriginRetryAfter};
  }
  const auto &known = std::get<routing::KnownOrigin>(decision);
  Request.Admitted->Pool = known.Pool;
  Request.Lifecycle->continueAt(known);
  co_return std::nullopt;
}

} // namespace nutmegsill::gateway
