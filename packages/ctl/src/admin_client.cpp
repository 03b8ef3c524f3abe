#include "admin_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace nutmegsill {

namespace asio = boost::asio;

namespace {

constexpr milliseconds CallTimeout{10'000};

} // namespace

AdminReply AdminClient::call(const Endpoint &router, const std::string &method,
                             const std::string &path,
                             const nlohmann::ordered_json &body) {
  asio::io_context context(1);
  HttpClient http;
  HttpCall request;
  request.Method = method;
  request.Path = path;
  request.Body = body.is_null() ? "" : body.dump();
  request.Headers = {{"authorization", "Bearer " + Key},
                     {"content-type", "application/json"}};
  std::future<HttpAnswer> done = asio::co_spawn(
      context, http.send(router, std::move(request), CallTimeout, false),
      asio::use_future);
  context.run();
  const HttpAnswer answer = done.get();
  AdminReply reply;
  reply.Status = answer.Status;
  reply.Reason = answer.Reason;
  reply.Body = nlohmann::ordered_json::parse(answer.Body, nullptr, false);
  return reply;
}

AdminReply AdminClient::callAny(const std::string &method,
                                const std::string &path,
                                const nlohmann::ordered_json &body) {
  AdminReply reply;
  for (const Endpoint &router : Routers) {
    // A change carries its id, so a second router does not apply it twice.
    reply = call(router, method, path, body);
    if (reply.Status) {
      return reply;
    }
  }
  return reply;
}

} // namespace nutmegsill
