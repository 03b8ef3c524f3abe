#include "nutmegsill/routing/caller_budget.h"

#include <catch2/catch.hpp>

namespace nutmegsill::routing {

namespace {

constexpr std::size_t Mb = 1'000'000;

CallerBudgetPolicy smallPolicy() {
  CallerBudgetPolicy out;
  out.MaxBytes = 8 * Mb;
  return out;
}

Time at(double seconds) {
  return Time(Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

} // namespace

// Guards against stalled callers that keep the memory from new ones.
TEST_CASE("caller_budget_stalled_caller_is_refused_before_new_one") {
  CallerBudget budget(smallPolicy());
  std::vector<CallerBudget::CallerId> stalled;
  for (int i = 0; i < 7; ++i) {
    stalled.push_back(budget.add(at(0)));
    budget.recordMoved(stalled.back(), Mb, at(0));
    budget.resize(stalled.back(), Mb, at(0));
  }
  const CallerBudget::CallerId next = budget.add(at(6));
  const CallerBudget::Decision decision = budget.resize(next, Mb, at(6));
  CHECK(decision.Granted);
  CHECK(decision.Refused.size() == 1);
  CHECK(budget.heldBytes() <= 8 * Mb);
}

// Guards against equal callers that refuse each other in turn.
TEST_CASE("caller_budget_callers_of_equal_behaviour_are_not_refused") {
  CallerBudget budget(smallPolicy());
  for (int i = 0; i < 7; ++i) {
    CHECK(budget.resize(budget.add(at(0)), Mb, at(0)).Granted);
  }
  const CallerBudget::Decision decision =
      budget.resize(budget.add(at(0)), Mb, at(0));
  CHECK_FALSE(decision.Granted);
  CHECK(decision.Refused.empty());
}

TEST_CASE("caller_budget_small_request_is_granted_beside_large_ones") {
  CallerBudget budget(smallPolicy());
  for (int i = 0; i < 20; ++i) {
    budget.resize(budget.add(at(0)), Mb, at(0));
  }
  CHECK(budget.resize(budget.add(at(0)), 20'000, at(0)).Granted);
}

TEST_CASE("caller_budget_served_caller_is_never_refused") {
  CallerBudget budget(smallPolicy());
  for (int i = 0; i < 7; ++i) {
    const CallerBudget::CallerId served = budget.add(at(0));
    budget.resize(served, Mb, at(0));
    budget.setServed(served, true);
  }
  const CallerBudget::Decision decision =
      budget.resize(budget.add(at(9)), Mb, at(9));
  CHECK_FALSE(decision.Granted);
  CHECK(decision.Refused.empty());
}

// Guards against a host that is too small for any request within the limits.
TEST_CASE("caller_budget_single_request_within_limits_is_granted") {
  CallerBudgetPolicy policy;
  policy.MaxBytes = callerBudgetBytes(30 * Mb);
  CallerBudget budget(policy);
  budget.setLargestRequest(16 * Mb);
  CHECK(budget.resize(budget.add(at(0)), 16 * Mb, at(0)).Granted);
}

TEST_CASE("caller_budget_memory_of_callers_that_leave_is_free") {
  CallerBudget budget(smallPolicy());
  const CallerBudget::CallerId first = budget.add(at(0));
  budget.resize(first, 4 * Mb, at(0));
  budget.remove(first);
  CHECK(budget.heldBytes() == 0);
  CHECK_FALSE(budget.resize(first, Mb, at(0)).Granted);
  CHECK(budget.resize(budget.add(at(0)), 4 * Mb, at(0)).Granted);
}

} // namespace nutmegsill::routing
