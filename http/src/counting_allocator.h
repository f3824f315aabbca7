#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace corkward::http {

/// Allocator that counts what is allocated from it, including the overhead of each allocation.
template <class T>
class CountingAllocator {
 public:
  // Names that the standard library looks for.
  using value_type = T;                                           // NOLINT(readability-identifier-naming)
  using propagate_on_container_move_assignment = std::true_type;  // NOLINT(readability-identifier-naming)
  using propagate_on_container_swap = std::true_type;             // NOLINT(readability-identifier-naming)

  /// @param bytes the count; must outlive all that is allocated
  explicit CountingAllocator(std::uint64_t& bytes) : bytes_(&bytes) {}
  template <class Other>
  CountingAllocator(CountingAllocator<Other> const& other)
      : bytes_(other.count()) {}  // NOLINT(google-explicit-constructor)

  T* allocate(std::size_t count) {
    T* const memory = std::allocator<T>().allocate(count);
    *bytes_ += costOf(count);
    return memory;
  }
  void deallocate(T* memory, std::size_t count) {
    *bytes_ -= costOf(count);
    std::allocator<T>().deallocate(memory, count);
  }
  std::uint64_t* count() const { return bytes_; }
  template <class Other>
  bool operator==(CountingAllocator<Other> const& other) const {
    return bytes_ == other.count();
  }

 private:
  /// What an allocation takes beside its bytes: the allocator's header, its rounding, and gaps between allocations that
  /// are too small to be returned to the operating system.
  static constexpr std::uint64_t overheadBytes = 32;
  static std::uint64_t costOf(std::size_t count) { return count * sizeof(T) + overheadBytes; }

  std::uint64_t* bytes_;
};

}  // namespace corkward::http
