#include "caller.h"

#include "nutmegsill/http_client.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace nutmegsill::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;

namespace {

/// Reads the text of the server-sent events in `body`.
void readEvents(const std::string &body, CallerAnswer &answer) {
  constexpr std::string_view mark = "data: ";
  std::size_t at = 0;
  while (at < body.size()) {
    const std::size_t end = body.find("\n\n", at);
    if (end == std::string::npos) {
      return;
    }
    const std::string event = body.substr(at, end - at);
    at = end + 2;
    if (event == "data: [DONE]") {
      answer.Whole = true;
      return;
    }
    const json root = json::parse(event.substr(mark.size()), nullptr, false);
    if (!root.is_object()) {
      return;
    }
    answer.Text += root["choices"][0]["delta"]["content"].get<std::string>();
  }
}

/// Reads what the answer's media type says.
void interpret(const std::string &type, const std::string &body,
               CallerAnswer &answer) {
  if (type == "text/event-stream") {
    answer.Whole = false;
    readEvents(body, answer);
    return;
  }
  const json root = json::parse(body, nullptr, false);
  if (type == "application/problem+json" && root.is_object()) {
    answer.Outcome = root.value("outcome", std::string());
    answer.Text = root.value("detail", std::string());
  } else if (root.is_object() && root.contains("choices")) {
    answer.Text = root["choices"][0]["message"]["content"].get<std::string>();
  } else {
    answer.Text = body;
  }
}

CallerAnswer exchange(const std::string &entry,
                      http::request<http::string_body> &request,
                      const std::function<void()> &onPart) {
  CallerAnswer answer;
  asio::io_context context(1);
  tcp::socket socket(context);
  boost::system::error_code ec;
  socket.connect(*parseEndpoint(entry), ec);
  if (ec) {
    return answer;
  }
  request.set(http::field::host, entry);
  request.prepare_payload();
  http::write(socket, request, ec);
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  http::read_header(socket, buf, parser, ec);
  if (ec) {
    return answer;
  }
  answer.Status = parser.get().result_int();
  while (!parser.is_done() && !ec) {
    http::read_some(socket, buf, parser, ec);
    if (onPart) {
      onPart();
    }
  }
  answer.Whole = parser.is_done();
  interpret(std::string(parser.get()[http::field::content_type]),
            parser.get().body(), answer);
  return answer;
}

} // namespace

CallerAnswer callModel(const std::string &entry, const std::string &key,
                       const std::string &model, const std::string &prompt,
                       int tokens, bool stream,
                       const std::function<void()> &onToken) {
  http::request<http::string_body> request(http::verb::post,
                                           "/v1/chat/completions", 11);
  request.set(http::field::authorization, "Bearer " + key);
  request.set(http::field::content_type, "application/json");
  request.body() = json{{"model", model},
                        {"stream", stream},
                        {"max_tokens", tokens},
                        {"messages", {{{"role", "user"}, {"content", prompt}}}}}
                       .dump();
  return exchange(entry, request, onToken);
}

CallerAnswer callService(const std::string &entry, const std::string &key,
                         const std::string &path,
                         const std::string &idempotencyKey,
                         const std::string &body) {
  http::request<http::string_body> request(http::verb::post, path, 11);
  request.set(http::field::authorization, "Bearer " + key);
  request.set(http::field::content_type, "text/plain");
  if (!idempotencyKey.empty()) {
    request.set("idempotency-key", idempotencyKey);
  }
  request.body() = body;
  return exchange(entry, request, {});
}

std::string sendRaw(const std::string &entry, const std::string &bytes) {
  asio::io_context context(1);
  tcp::socket socket(context);
  boost::system::error_code ec;
  socket.connect(*parseEndpoint(entry), ec);
  asio::write(socket, asio::buffer(bytes), ec);
  std::string all;
  asio::read(socket, asio::dynamic_buffer(all), ec);
  return all;
}

} // namespace nutmegsill::standin
