#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace vanilladeck::core {

/// A memory limit shared by many buffers. Single-threaded.
///
/// When the limit is reached, the largest account is evicted, so that an endless message cannot
/// starve small ones.
class ByteBudget {
 public:
  class Account;

  explicit ByteBudget(std::size_t capacity) noexcept : capacity_(capacity) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }
  [[nodiscard]] std::size_t used() const noexcept { return used_; }
  /// Number of evictions and of resizes that did not fit.
  [[nodiscard]] std::uint64_t evictions() const noexcept { return evictions_; }
  /// Bytes received and sent by the connections whose messages are accounted here.
  [[nodiscard]] std::uint64_t received() const noexcept { return received_; }
  [[nodiscard]] std::uint64_t sent() const noexcept { return sent_; }

 private:
  /// Evicts accounts larger than `limit` bytes, largest first, until `bytes` more fit.
  void EvictToFit(std::size_t bytes, std::size_t limit);

  std::size_t capacity_;
  std::size_t used_ = 0;
  std::uint64_t evictions_ = 0;
  std::uint64_t received_ = 0;
  std::uint64_t sent_ = 0;
  /// Evictable accounts, ordered by the bit width of their size.
  std::set<std::pair<int, Account*>> evictable_;
};

/// Shared by all buffers: those destroyed with the I/O context outlive the creator of the budget.
using ByteBudgetPtr = std::shared_ptr<ByteBudget>;

/// Accounts for the bytes held by one owner of buffers.
class ByteBudget::Account {
 public:
  /// `on_evicted` runs while another account is resized, so it may only schedule the destruction of
  /// its owner.
  Account(ByteBudgetPtr budget, std::function<void()> on_evicted);
  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  /// Sets the size. Returns false and changes nothing if it does not fit or the account was
  /// evicted.
  [[nodiscard]] bool TryResize(std::size_t bytes);

  /// Sets the size even beyond the capacity, for buffers that are already allocated.
  void Resize(std::size_t bytes);

  /// Releases all bytes; an evicted account can be used again.
  void Clear();

  /// Accounts are not evictable initially.
  void SetEvictable(bool evictable);

  /// Lets `TryResize` evict smaller accounts as well.
  void SetPreferred() noexcept { preferred_ = true; }

  void CountReceived(std::size_t bytes) noexcept { budget_->received_ += bytes; }
  void CountSent(std::size_t bytes) noexcept { budget_->sent_ += bytes; }

  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  [[nodiscard]] bool evicted() const noexcept { return evicted_; }

 private:
  friend class ByteBudget;

  void SetBytes(std::size_t bytes);
  void UpdateEvictionIndex();
  void RemoveFromEvictionIndex();
  void Evict();

  ByteBudgetPtr budget_;
  std::function<void()> on_evicted_;
  std::size_t bytes_ = 0;
  int magnitude_ = 0;  ///< Key in `ByteBudget::evictable_`; 0: not listed.
  bool evictable_ = false;
  bool preferred_ = false;
  bool evicted_ = false;
};

}  // namespace vanilladeck::core
