#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace vanilladeck::core {

/// A limit on the bytes that many buffers hold together. Single-threaded.
///
/// When there is no room, the largest account gives way, so that a sender without end is cut off
/// before it crowds out small messages.
class ByteBudget {
 public:
  class Account;

  explicit ByteBudget(std::size_t capacity) noexcept : capacity_(capacity) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }
  [[nodiscard]] std::size_t used() const noexcept { return used_; }
  /// How often an account had to give way or could not grow.
  [[nodiscard]] std::uint64_t evictions() const noexcept { return evictions_; }

 private:
  /// Evicts accounts larger than `limit` until `bytes` more fit.
  void MakeRoom(std::size_t bytes, std::size_t limit);

  std::size_t capacity_;
  std::size_t used_ = 0;
  std::uint64_t evictions_ = 0;
  /// Accounts that may be evicted, by the binary order of magnitude of their bytes.
  std::set<std::pair<int, Account*>> evictable_;
};

/// Buffers own the budget together: those that end with the I/O context outlive its creator.
using ByteBudgetPtr = std::shared_ptr<ByteBudget>;

/// The bytes of one owner of buffers.
class ByteBudget::Account {
 public:
  /// `on_evicted` runs while another account is resized: it may only schedule the end of its owner.
  Account(ByteBudgetPtr budget, std::function<void()> on_evicted);
  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  /// Sets the bytes held. False, without a change, if they do not fit or the account was evicted.
  [[nodiscard]] bool TryResize(std::size_t bytes);

  /// Sets the bytes held even beyond the capacity; for buffers that exist already.
  void Resize(std::size_t bytes);

  /// Releases all bytes; an evicted account can be used again.
  void Clear();

  /// Whether the account may be evicted; initially not.
  void SetEvictable(bool evictable);

  /// Smaller accounts give way to this one as well.
  void SetPreferred() noexcept { preferred_ = true; }

  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  [[nodiscard]] bool evicted() const noexcept { return evicted_; }

 private:
  friend class ByteBudget;

  void Set(std::size_t bytes);
  void Enlist();
  void Delist();
  void Evict();

  ByteBudgetPtr budget_;
  std::function<void()> on_evicted_;
  std::size_t bytes_ = 0;
  int magnitude_ = 0;  ///< Of the entry in `evictable_`; 0: none.
  bool evictable_ = false;
  bool preferred_ = false;
  bool evicted_ = false;
};

}  // namespace vanilladeck::core
