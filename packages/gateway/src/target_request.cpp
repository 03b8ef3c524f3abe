#include "target_request.h"

namespace nutmegsill::gateway {

namespace http = boost::beast::http;

ExchangeRequest
makeTargetRequest(const CallerMessage &message,
                  const platform::ForwardedRequestValues &values) {
  ExchangeRequest out;
  out.Head.append(message.method_string().data(),
                  message.method_string().size());
  out.Head.append(" ");
  out.Head.append(message.target().data(), message.target().size());
  out.Head.append(" HTTP/1.1\r\n");
  const http::fields fields =
      platform::makeForwardedRequestFields(message.base(), values);
  for (const auto &it : fields) {
    out.Head.append(it.name_string().data(), it.name_string().size());
    out.Head.append(": ");
    out.Head.append(it.value().data(), it.value().size());
    out.Head.append("\r\n");
  }
  const bool hasNoBody =
      message.body().empty() && (message.method() == http::verb::get ||
                                 message.method() == http::verb::head);
  if (!hasNoBody) {
    out.Head.append("Content-Length: ")
        .append(std::to_string(message.body().size()))
        .append("\r\n");
  }
  out.Head.append("\r\n");
  out.Body = message.body();
  out.ResponseHasNoBody = message.method() == http::verb::head;
  return out;
}

} // namespace nutmegsill::gateway
