/// Memory for responses that are buffered until they are complete.
#pragma once

#include <cstddef>

namespace nutmegsill::gateway {

/// Bytes that all exchanges of the process buffer together. Not thread-safe.
class BufferBudget {
public:
  explicit BufferBudget(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// The part of one exchange; returned when the lease ends.
  class Lease {
  public:
    explicit Lease(BufferBudget &budget) : Budget(budget) {}
    Lease(const Lease &) = delete;
    Lease &operator=(const Lease &) = delete;
    ~Lease() { Budget.UsedBytes -= Bytes; }

    /// Adds to the lease; false if the budget is used up.
    bool add(std::size_t bytes) {
      if (Budget.UsedBytes + bytes > Budget.MaxBytes) {
        return false;
      }
      Budget.UsedBytes += bytes;
      Bytes += bytes;
      return true;
    }

  private:
    BufferBudget &Budget;
    std::size_t Bytes = 0;
  };

private:
  std::size_t MaxBytes;
  std::size_t UsedBytes = 0;
};

} // namespace nutmegsill::gateway
