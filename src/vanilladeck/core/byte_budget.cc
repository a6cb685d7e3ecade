#include "vanilladeck/core/byte_budget.h"

#include <bit>

namespace vanilladeck::core {

void ByteBudget::EvictToFit(std::size_t bytes, std::size_t limit) {
  while (used_ + bytes > capacity_ && !evictable_.empty()) {
    Account* largest = std::prev(evictable_.end())->second;
    if (largest->bytes_ <= limit) return;
    largest->Evict();
  }
}

ByteBudget::Account::Account(ByteBudgetPtr budget, std::function<void()> on_evicted)
    : budget_(std::move(budget)), on_evicted_(std::move(on_evicted)) {}

ByteBudget::Account::~Account() {
  on_evicted_ = nullptr;
  Clear();
}

bool ByteBudget::Account::TryResize(std::size_t bytes) {
  if (evicted_) return false;
  if (bytes > bytes_) {
    // Fails rather than evicting smaller accounts, unless preferred.
    budget_->EvictToFit(bytes - bytes_, preferred_ ? 0 : bytes);
    if (evicted_) return false;
    if (budget_->used_ + (bytes - bytes_) > budget_->capacity_) {
      ++budget_->evictions_;
      return false;
    }
  }
  SetBytes(bytes);
  return true;
}

void ByteBudget::Account::Resize(std::size_t bytes) {
  if (evicted_) return;
  if (bytes > bytes_) {
    const bool evictable = std::exchange(evictable_, false);
    RemoveFromEvictionIndex();
    budget_->EvictToFit(bytes - bytes_, 0);
    evictable_ = evictable;
  }
  SetBytes(bytes);
}

void ByteBudget::Account::Clear() {
  evicted_ = false;
  SetBytes(0);
}

void ByteBudget::Account::SetEvictable(bool evictable) {
  evictable_ = evictable;
  UpdateEvictionIndex();
}

void ByteBudget::Account::SetBytes(std::size_t bytes) {
  budget_->used_ += bytes - bytes_;
  bytes_ = bytes;
  UpdateEvictionIndex();
}

void ByteBudget::Account::UpdateEvictionIndex() {
  const int magnitude = evictable_ ? static_cast<int>(std::bit_width(bytes_)) : 0;
  if (magnitude == magnitude_) return;
  RemoveFromEvictionIndex();
  magnitude_ = magnitude;
  if (magnitude_ > 0) budget_->evictable_.emplace(magnitude_, this);
}

void ByteBudget::Account::RemoveFromEvictionIndex() {
  if (magnitude_ > 0) budget_->evictable_.erase({magnitude_, this});
  magnitude_ = 0;
}

void ByteBudget::Account::Evict() {
  SetBytes(0);
  evicted_ = true;
  ++budget_->evictions_;
  if (on_evicted_) on_evicted_();
}

}  // namespace vanilladeck::core
