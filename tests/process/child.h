#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace vanilladeck::process {

using std::chrono::milliseconds;

/// Repeats `condition` until it holds; false when it does not within `limit`.
template <class F>
[[nodiscard]] bool Within(milliseconds limit, F condition) {
  constexpr milliseconds kPause{20};
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

/// A program that the test started; killed by its id at the end of its scope.
class Child {
 public:
  /// Starts `args[0]`; standard output goes to `output`, standard error to `output`.err.
  Child(const std::vector<std::string>& args, std::string output);
  Child(Child&& other) noexcept;
  Child& operator=(Child&&) = delete;
  ~Child();

  void Signal(int number) const;

  /// Exit status, or 128 plus the number of the signal that ended the program; empty when it still
  /// runs after `limit`.
  [[nodiscard]] std::optional<int> Wait(milliseconds limit);

  [[nodiscard]] std::string Output() const;
  [[nodiscard]] std::string Errors() const;

 private:
  pid_t pid_ = 0;
  std::optional<int> status_;
  std::string output_;
};

[[nodiscard]] std::string ReadFile(const std::string& path);

}  // namespace vanilladeck::process
