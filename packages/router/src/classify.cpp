#include "classify.h"

#include "nutmegsill/base64.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace nutmegsill {

namespace {

constexpr std::size_t MaxKeyLength = 200;

Problem refusal(unsigned status, std::string title, std::string detail) {
  return {status, std::move(title), std::move(detail), Outcome::NotRun,
          std::chrono::seconds(0)};
}

bool isModelPath(const std::string &path) {
  return path == "/v1/chat/completions" || path == "/v1/completions" ||
         path == "/v1/embeddings";
}

bool isIdempotencyKey(const std::string &key) {
  return !key.empty() && key.size() <= MaxKeyLength &&
         std::all_of(key.begin(), key.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

std::variant<PoolCall, Problem> classifyModel(const Configuration &config,
                                              const TeamId &team,
                                              std::string_view body) {
  const nlohmann::json root = nlohmann::json::parse(body, nullptr, false);
  const bool shaped =
      root.is_object() && root.contains("model") && root["model"].is_string();
  if (!shaped) {
    return refusal(400, "Malformed request",
                   "expected a JSON object with a string \"model\"");
  }
  const PoolId pool{root["model"].get<std::string>()};
  const auto it = config.Pools.find(pool);
  const bool known =
      it != config.Pools.end() && it->second.Kind == PoolKindOf::Model;
  if (!known) {
    return refusal(404, "Unknown pool", "no pool serves this model");
  }
  return PoolCall{team, pool, true, ""};
}

} // namespace

std::variant<TeamId, Problem> teamOf(const Configuration &config,
                                     const std::string &authorization) {
  constexpr std::string_view scheme = "Bearer ";
  if (authorization.rfind(scheme, 0) == 0) {
    const auto it = config.TeamByKeyHash.find(
        sha256Hex(authorization.substr(scheme.size())));
    if (it != config.TeamByKeyHash.end()) {
      return it->second;
    }
  }
  return refusal(401, "Unknown key", "expected \"Bearer KEY\" of a team");
}

std::variant<PoolCall, Problem> classify(const Configuration &config,
                                         const CallerHead &head,
                                         std::string_view body) {
  const std::variant<TeamId, Problem> team = teamOf(config, head.Authorization);
  if (const Problem *problem = std::get_if<Problem>(&team)) {
    return *problem;
  }
  const TeamId &id = std::get<TeamId>(team);
  if (isModelPath(head.Path)) {
    if (head.Method != "POST") {
      return refusal(405, "Method not allowed", "expected POST");
    }
    return classifyModel(config, id, body);
  }
  const std::optional<PoolId> pool = config.poolForPath(head.Path);
  if (!pool) {
    return refusal(404, "Unknown pool", "no pool serves this path");
  }
  const bool idempotent = head.Method == "GET" || head.Method == "HEAD";
  if (!idempotent && !isIdempotencyKey(head.IdempotencyKey)) {
    return refusal(400, "Malformed request",
                   "expected an Idempotency-Key header of 1 to 200 letters, "
                   "digits, \".\", \"_\" or \"-\"");
  }
  return PoolCall{id, *pool, idempotent, head.IdempotencyKey};
}

} // namespace nutmegsill
