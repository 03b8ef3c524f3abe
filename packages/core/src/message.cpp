#include "nutmegsill/message.h"

#include <array>

namespace nutmegsill {

const char *messageName(const Message &message) {
  constexpr std::array<const char *, std::variant_size_v<Message>> names{
      "heartbeat",
      "heartbeat_reply",
      "demand",
      "grant",
      "settle",
      "usage",
      "usage_reply",
      "owner_map",
      "owner_map_request",
      "in_flight_query",
      "in_flight_reply",
      "config_request",
      "config_reply",
      "offer"};
  return names[message.index()];
}

} // namespace nutmegsill
