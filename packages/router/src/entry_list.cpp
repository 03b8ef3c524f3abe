#include "entry_list.h"

#include "nutmegsill/rendezvous.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmegsill {

namespace {

/// Addresses that a caller is told at the most.
constexpr std::size_t MaxEntries = 4;
/// How long a caller may keep the answer.
constexpr int ValidSeconds = 30;

} // namespace

std::vector<Member> entriesFor(const std::vector<Member> &members,
                               const TeamId &team, const ZoneId &zone) {
  std::vector<Member> entries;
  for (const Member &it : members) {
    if (!it.Leaving) {
      entries.push_back(it);
    }
  }
  const std::string key = "entry/" + team.Text;
  std::sort(
      entries.begin(), entries.end(), [&](const Member &a, const Member &b) {
        const bool nearA = a.Zone == zone;
        const bool nearB = b.Zone == zone;
        if (nearA != nearB) {
          return nearA;
        }
        return rendezvousWeight(a.Host, key) > rendezvousWeight(b.Host, key);
      });
  const std::size_t near = static_cast<std::size_t>(
      std::count_if(entries.begin(), entries.end(),
                    [&](const Member &it) { return it.Zone == zone; }));
  // Keep room for other zones, in case the caller's own goes dark.
  const std::size_t nearKept = std::min(near, MaxEntries / 2);
  entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(nearKept),
                entries.begin() + static_cast<std::ptrdiff_t>(near));
  entries.resize(std::min(entries.size(), MaxEntries));
  return entries;
}

std::string encodeEntries(const std::vector<Member> &entries) {
  nlohmann::ordered_json list = nlohmann::ordered_json::array();
  for (const Member &it : entries) {
    list.push_back({{"address", it.EntryAddress}, {"zone", it.Zone.Text}});
  }
  return nlohmann::ordered_json{{"entries", list},
                                {"valid_for_s", ValidSeconds}}
      .dump();
}

} // namespace nutmegsill
