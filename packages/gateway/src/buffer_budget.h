/// Memory for responses that are buffered until they are complete and sent.
#pragma once

#include <cstddef>
#include <utility>

namespace nutmegsill::gateway {

/// Bytes that all exchanges of the process buffer together. Not thread-safe.
class BufferBudget {
public:
  explicit BufferBudget(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// The part of one exchange; returned when the lease ends.
  class Lease {
  public:
    explicit Lease(BufferBudget &budget) : Budget(&budget) {}
    Lease(Lease &&other) noexcept
        : Budget(other.Budget), Bytes(std::exchange(other.Bytes, 0)) {}
    Lease &operator=(Lease &&other) noexcept {
      std::swap(Budget, other.Budget);
      std::swap(Bytes, other.Bytes);
      return *this;
    }
    ~Lease() { Budget->UsedBytes -= Bytes; }

    /// Changes the size of the lease. A lease may not grow beyond what is then
    /// left for others, so that a few large ones leave room for small ones;
    /// returns false and changes nothing if it would.
    bool resize(std::size_t bytes) {
      const std::size_t others = Budget->UsedBytes - Bytes;
      if (bytes > Bytes && others + 2 * bytes > Budget->MaxBytes) {
        return false;
      }
      Budget->UsedBytes = others + bytes;
      Bytes = bytes;
      return true;
    }

  private:
    BufferBudget *Budget;
    std::size_t Bytes = 0;
  };

  std::size_t usedBytes() const { return UsedBytes; }

private:
  std::size_t MaxBytes;
  std::size_t UsedBytes = 0;
};

} // namespace nutmegsill::gateway
