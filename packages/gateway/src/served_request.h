/// A caller's request while it is served.
#pragma once

#include "nutmegsill/platform/headers.h"
#include "nutmegsill/routing/admission.h"
#include "nutmegsill/routing/event_stream_buffer.h"
#include "nutmegsill/routing/request_lifecycle.h"
#include "response_writer.h"
#include "traffic_server.h"

#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>

namespace nutmegsill::gateway {

struct ServedRequest {
  platform::RequestHead Head;
  boost::beast::http::request<boost::beast::http::string_body> Message;
  Time ArrivedAt{};
  /// Set when the request may be sent to a target.
  std::optional<routing::Admission> Admitted;
  std::optional<routing::RequestLifecycle> Lifecycle;
  /// Time from the arrival to the first part of the response.
  std::optional<Duration> TimeToFirstPart;
  routing::EventStreamBuffer Events;

  bool isStream() const {
    return Admitted->Route->Semantics == routing::ExecutionSemantics::Stream;
  }
  /// Whether it goes on with a stream that its caller has a part of.
  bool takesUpStream() const;
};

/// The response of the router itself to request `id`.
BufferedResponse makeLocalResponse(const std::string &id,
                                   const routing::LocalResponse &response);

/// Counts and logs how a request ended.
void recordEnd(SessionContext &context, const ServedRequest &request,
               const std::string &outcome, unsigned status,
               const std::string &reason);

} // namespace nutmegsill::gateway
