/// Encodes messages between routers as protobuf.
#pragma once

#include "nutmegsill/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace nutmegsill {

/// Encodes a message. The sender is not part of it.
std::string encodeMessage(const Message &message);

/// Decodes a message; nothing for bytes that are no message.
std::optional<Message> decodeMessage(std::string_view bytes);

/// Routing identity "HOST|LIFE" of a connection.
std::string encodeIdentity(const Instance &instance);
/// Nothing for an identity of another form.
std::optional<Instance> decodeIdentity(std::string_view text);

} // namespace nutmegsill
