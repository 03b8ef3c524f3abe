/// Virtual time: actions run in the order of their times.
#pragma once

#include "nutmegsill/types.h"

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace nutmegsill::simulation {

class Schedule {
public:
  Time now() const { return Now; }
  void at(Time time, std::function<void()> action);
  void after(Duration span, std::function<void()> action) {
    at(Now + span, std::move(action));
  }
  void runUntil(Time end);

private:
  struct Entry {
    Time At{};
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator>(const Entry &other) const {
      return std::tie(At, Order) > std::tie(other.At, other.Order);
    }
  };
  Time Now{};
  std::uint64_t LastOrder = 0;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> Entries;
};

} // namespace nutmegsill::simulation
