#include "nutmegsill/routing/report_paths.h"

#include <algorithm>
#include <cmath>

namespace nutmegsill::routing {

namespace {

/// A fleet in rows of nearly equal length.
class Rows {
public:
  Rows(std::size_t routers, std::size_t rows) : Routers(routers), Count(rows) {}

  std::size_t count() const { return Count; }
  std::size_t begin(std::size_t row) const { return row * Routers / Count; }
  std::size_t length(std::size_t row) const {
    return begin(row + 1) - begin(row);
  }
  std::size_t rowOf(std::size_t index) const {
    std::size_t row = 0;
    while (begin(row + 1) <= index) {
      ++row;
    }
    return row;
  }

private:
  std::size_t Routers;
  std::size_t Count;
};

} // namespace

ReportPaths reportPaths(const std::vector<RouterEntry> &routers,
                        const HostId &self, std::size_t oneRow) {
  ReportPaths out;
  const auto own =
      std::find_if(routers.begin(), routers.end(),
                   [&self](const RouterEntry &it) { return it.Host == self; });
  if (own == routers.end()) {
    // Not registered yet: the others do not expect reports.
    return out;
  }
  const std::size_t total = routers.size();
  const double root = std::sqrt(static_cast<double>(total));
  const Rows rows(
      total, total <= oneRow ? 1 : static_cast<std::size_t>(std::lround(root)));
  const std::size_t index = static_cast<std::size_t>(own - routers.begin());
  const std::size_t row = rows.rowOf(index);
  const std::size_t place = index - rows.begin(row);
  for (std::size_t i = 0; i < total; ++i) {
    if (i == index) {
      continue;
    }
    const std::size_t other = rows.rowOf(i);
    if (other == row) {
      out.Row.push_back(routers[i].Host);
      continue;
    }
    const std::size_t otherPlace = i - rows.begin(other);
    // The last of a longer row has no counterpart; such rows take turns.
    const std::size_t counterpart =
        otherPlace < rows.length(row) ? otherPlace : other % rows.length(row);
    if (counterpart == place) {
      out.Others.push_back(routers[i].Host);
    }
  }
  return out;
}

} // namespace nutmegsill::routing
