/// Bounds the depth of JSON texts before they are parsed.
#pragma once

#include <cstddef>
#include <string_view>

namespace nutmegsill {

/// Depth of JSON texts that are parsed: no entry, page or log line has more
/// than a few levels, and what handles a parsed value may use the stack for
/// each.
inline constexpr std::size_t MaxJsonLevels = 64;

/// Whether arrays and objects in `text` are nested deeper than `levels`; `text`
/// need not be valid JSON.
bool isNestedDeeperThan(std::string_view text,
                        std::size_t levels = MaxJsonLevels);

} // namespace nutmegsill
