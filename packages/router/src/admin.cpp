#include "admin.h"

#include "log.h"
#include "nutmegsill/base64.h"
#include "problem.h"
#include "spawn.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace nutmegsill {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Json = nlohmann::ordered_json;

namespace {

constexpr std::uint64_t MaxAdminBody = 16ULL << 20U;
constexpr milliseconds AdminTimeout{30'000};

/// An answer of the administration API.
struct Reply {
  unsigned Status = 200;
  Json Body;
};

Reply problem(unsigned status, const std::string &title,
              const std::string &detail, Outcome ran) {
  Problem it;
  it.Status = status;
  it.Title = title;
  it.Detail = detail;
  it.Ran = ran;
  return {status, Json::parse(encode(it))};
}

Json filesJson(const std::vector<ConfigFile> &files) {
  Json list = Json::array();
  for (const ConfigFile &it : files) {
    list.push_back({{"name", it.Name}, {"text", it.Text}});
  }
  return list;
}

Json changeJson(const HeadChange &it) {
  return {{"revision", it.Number.Value},
          {"change", it.ChangeId},
          {"author", it.Author},
          {"summary", it.Summary}};
}

Reply resultReply(const ChangeResult &result) {
  if (const Accepted *it = std::get_if<Accepted>(&result)) {
    return {200, {{"revision", it->Number.Value}}};
  }
  if (const Invalid *it = std::get_if<Invalid>(&result)) {
    Reply reply = problem(422, "Invalid configuration", "nothing was applied",
                          Outcome::NotRun);
    Json faults = Json::array();
    for (const ConfigFault &fault : it->Faults) {
      faults.push_back({{"file", fault.File},
                        {"path", fault.Path},
                        {"expected", fault.Expected}});
    }
    reply.Body["faults"] = faults;
    return reply;
  }
  if (const Conflict *it = std::get_if<Conflict>(&result)) {
    Reply reply = problem(409, "Conflict", "another change was accepted first",
                          Outcome::NotRun);
    reply.Body["other"] = changeJson(it->Other);
    return reply;
  }
  const Unavailable &it = std::get<Unavailable>(result);
  return problem(503, "Key-value service unavailable", it.Reason,
                 it.OutcomeUnknown ? Outcome::Unknown : Outcome::NotRun);
}

Json statusJson(const Status &status) {
  Json members = Json::array();
  for (const Member &it : status.Members) {
    members.push_back({{"host", it.Host.Text},
                       {"zone", it.Zone.Text},
                       {"entry", it.EntryAddress},
                       {"leaving", it.Leaving}});
  }
  Json owned = Json::array();
  for (const TargetStatus &it : status.Owned) {
    owned.push_back({{"target", it.Target.Text},
                     {"epoch", it.Number.Value},
                     {"ownership", it.Ownership},
                     {"state", it.State},
                     {"limit", it.Limit},
                     {"in_use", it.InUse},
                     {"may_grant", it.MayGrant}});
  }
  Json teams = Json::array();
  for (const TeamStatus &it : status.Teams) {
    teams.push_back({{"pool", it.Pool.Text},
                     {"team", it.Team.Text},
                     {"service_milli", it.Total.Milli},
                     {"backlogged", it.Backlogged},
                     {"queued_here", it.QueuedHere}});
  }
  return {{"state", status.State},
          {"revision", status.Config.Value},
          {"requests_open", status.RequestsOpen},
          {"members", members},
          {"targets", owned},
          {"teams", teams}};
}

std::optional<ReplaceFolder> folderFrom(const nlohmann::json &root) {
  const bool shaped =
      root.is_object() && root.contains("files") && root["files"].is_array();
  if (!shaped) {
    return std::nullopt;
  }
  ReplaceFolder change;
  for (const nlohmann::json &it : root["files"]) {
    const bool file = it.is_object() && it.contains("name") &&
                      it["name"].is_string() && it.contains("text") &&
                      it["text"].is_string();
    if (!file) {
      return std::nullopt;
    }
    change.Files.push_back(
        {it["name"].get<std::string>(), it["text"].get<std::string>()});
  }
  if (root.contains("base") && root["base"].is_number_unsigned()) {
    change.Base = Revision{root["base"].get<std::uint64_t>()};
  }
  return change;
}

ChangeNote noteFrom(const nlohmann::json &root) {
  ChangeNote note;
  const auto text = [&root](const char *name) {
    const bool given =
        root.is_object() && root.contains(name) && root[name].is_string();
    return given ? root[name].get<std::string>() : std::string();
  };
  note.Author = text("author");
  note.Summary = text("summary");
  note.ChangeId = text("change");
  return note;
}

/// Splits "/v1/zones/NAME/out" into its parts after "/v1".
std::vector<std::string> partsOf(const std::string &path) {
  std::vector<std::string> parts;
  std::size_t at = 1;
  while (at <= path.size()) {
    const std::size_t slash = std::min(path.find('/', at), path.size());
    parts.push_back(path.substr(at, slash - at));
    at = slash + 1;
  }
  return parts;
}

} // namespace

struct Admin::Parts {
  Parts(const Settings &settings, Control &control)
      : Own(settings), Decisions(control),
        Acceptor(control.context(), settings.Admin) {}

  asio::awaitable<void> accept();
  asio::awaitable<void> serve(tcp::socket socket);
  asio::awaitable<Reply>
  answer(const http::request<http::string_body> &request);
  asio::awaitable<Reply> readConfiguration();
  asio::awaitable<Reply> change(Change change, ChangeNote note);

  const Settings &Own;
  Control &Decisions;
  tcp::acceptor Acceptor;
};

asio::awaitable<void> Admin::Parts::accept() {
  for (;;) {
    boost::system::error_code ec;
    tcp::socket socket = co_await Acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) {
      co_return;
    }
    if (!ec) {
      spawn(Decisions.context(), serve(std::move(socket)));
    }
  }
}

asio::awaitable<void> Admin::Parts::serve(tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buf;
  bool open = true;
  while (open) {
    boost::system::error_code ec;
    http::request_parser<http::string_body> parser;
    parser.body_limit(MaxAdminBody);
    stream.expires_after(AdminTimeout);
    co_await http::async_read(stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return;
    }
    const Reply reply = co_await answer(parser.get());
    http::response<http::string_body> response;
    response.version(11);
    response.result(reply.Status);
    const bool fault = reply.Status >= 400;
    response.set(http::field::content_type,
                 fault ? "application/problem+json" : "application/json");
    response.keep_alive(parser.get().keep_alive());
    response.body() = reply.Body.dump();
    response.prepare_payload();
    co_await http::async_write(stream, response,
                               asio::redirect_error(asio::use_awaitable, ec));
    open = !ec && response.keep_alive();
  }
}

asio::awaitable<Reply>
Admin::Parts::answer(const http::request<http::string_body> &request) {
  const std::string authorization(request[http::field::authorization]);
  const std::string scheme = "Bearer ";
  const bool known =
      authorization.rfind(scheme, 0) == 0 &&
      sha256Hex(authorization.substr(scheme.size())) == Own.AdminKeyHash;
  if (!known) {
    co_return problem(401, "Unknown key", "expected the administrators' key",
                      Outcome::NotRun);
  }
  const std::string path(request.target());
  const bool get = request.method() == http::verb::get;
  const bool post = request.method() == http::verb::post;
  if (get && path == "/v1/status") {
    co_return Reply{200, statusJson(Decisions.status())};
  }
  if (get && path == "/v1/configuration") {
    co_return co_await readConfiguration();
  }
  if (!post) {
    co_return problem(404, "Unknown path", "see docs/ADMIN_API.md",
                      Outcome::NotRun);
  }
  const nlohmann::json root =
      nlohmann::json::parse(request.body(), nullptr, false);
  ChangeNote note = noteFrom(root);
  if (note.ChangeId.empty()) {
    co_return problem(400, "Malformed request",
                      "expected a JSON object with a string \"change\"",
                      Outcome::NotRun);
  }
  if (path == "/v1/configuration") {
    std::optional<ReplaceFolder> folder = folderFrom(root);
    if (!folder) {
      co_return problem(400, "Malformed request",
                        "expected \"files\": [{\"name\", \"text\"}]",
                        Outcome::NotRun);
    }
    Change replace = std::move(*folder);
    co_return co_await change(std::move(replace), std::move(note));
  }
  const std::vector<std::string> parts = partsOf(path);
  const bool out = parts.size() == 4 && parts[0] == "v1" &&
                   (parts[1] == "zones" || parts[1] == "targets") &&
                   (parts[3] == "out" || parts[3] == "in");
  if (!out) {
    co_return problem(404, "Unknown path", "see docs/ADMIN_API.md",
                      Outcome::NotRun);
  }
  SetOut set;
  set.Section = parts[1];
  set.Name = parts[2];
  set.Out = parts[3] == "out";
  Change switchOne = set;
  co_return co_await change(std::move(switchOne), std::move(note));
}

asio::awaitable<Reply> Admin::Parts::readConfiguration() {
  std::string reason;
  const std::optional<StoredConfig> stored =
      co_await Decisions.store().load(reason);
  if (!stored) {
    co_return problem(503, "Key-value service unavailable", reason,
                      Outcome::NotRun);
  }
  Json recent = Json::array();
  for (const HeadChange &it : stored->Head.Recent) {
    recent.push_back(changeJson(it));
  }
  Reply reply;
  reply.Body = {{"revision", stored->Head.Number.Value},
                {"files", filesJson(stored->Files)},
                {"overrides", filesJson(stored->Overrides)},
                {"recent", recent}};
  co_return reply;
}

asio::awaitable<Reply> Admin::Parts::change(Change change, ChangeNote note) {
  logLine("admin", "change_requested",
          {{"change", note.ChangeId}, {"author", note.Author}});
  const ChangeResult result =
      co_await Decisions.store().apply(std::move(change), std::move(note));
  if (const Accepted *it = std::get_if<Accepted>(&result)) {
    Decisions.configAccepted(*it);
  }
  co_return resultReply(result);
}

Admin::Admin(std::unique_ptr<Parts> parts) : Impl(std::move(parts)) {}
Admin::~Admin() = default;

std::unique_ptr<Admin> Admin::start(const Settings &settings, Control &control,
                                    std::string &reason) {
  try {
    std::unique_ptr<Parts> parts = std::make_unique<Parts>(settings, control);
    spawn(control.context(), parts->accept());
    return std::unique_ptr<Admin>(new Admin(std::move(parts)));
  } catch (const std::exception &error) {
    reason = error.what();
    return nullptr;
  }
}

} // namespace nutmegsill
