#pragma once

#include <unistd.h>
#include <utility>

namespace corkward::core {

/// Owns one file descriptor of the operating system and closes it on destruction.
class FileDescriptor {
 public:
  /// Value of an object that owns no descriptor.
  static constexpr int none = -1;

  FileDescriptor() = default;
  /// Takes ownership of the descriptor. A negative number, which failed system calls return, means that there is none.
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() { reset(); }
  FileDescriptor(FileDescriptor const&) = delete;
  FileDescriptor& operator=(FileDescriptor const&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, none)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) reset(std::exchange(other.descriptor_, none));
    return *this;
  }

  int get() const { return descriptor_; }
  bool isOpen() const { return descriptor_ >= 0; }

  /// Closes the descriptor and takes ownership of another one.
  void reset(int descriptor = none) {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = descriptor;
  }

 private:
  int descriptor_ = none;
};

}  // namespace corkward::core
