/// Calls the administration APIs of a fleet's routers.
#pragma once

#include "nutmegsill/http_client.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace nutmegsill {

/// An answer of a router, or the reason why there is none.
struct AdminReply {
  std::optional<unsigned> Status;
  nlohmann::ordered_json Body;
  std::string Reason;
};

class AdminClient {
public:
  AdminClient(std::vector<Endpoint> routers, std::string key)
      : Routers(std::move(routers)), Key(std::move(key)) {}

  const std::vector<Endpoint> &routers() const { return Routers; }
  /// Calls one router and waits for its answer.
  AdminReply call(const Endpoint &router, const std::string &method,
                  const std::string &path, const nlohmann::ordered_json &body);
  /// Calls the first router that answers.
  AdminReply callAny(const std::string &method, const std::string &path,
                     const nlohmann::ordered_json &body);

private:
  std::vector<Endpoint> Routers;
  std::string Key;
};

} // namespace nutmegsill
