/// Which addresses a caller should use.
#pragma once

#include "nutmegsill/event.h"

#include <string>
#include <vector>

namespace nutmegsill {

/// Entry hosts for a team in order of preference: the caller's zone first,
/// then by rendezvous hashing; hosts that are leaving are left out.
std::vector<Member> entriesFor(const std::vector<Member> &members,
                               const TeamId &team, const ZoneId &zone);

/// JSON text of the answer to `GET /v1/entry`.
std::string encodeEntries(const std::vector<Member> &entries);

} // namespace nutmegsill
