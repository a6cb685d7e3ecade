#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "vanilladeck/store/request.h"

namespace vanilladeck::config::testing {

/// Fault injected into one call.
enum class StoreFault : std::uint8_t { kNone, kLoseReply, kDelayWrite, kDropRequest };

/// In-memory store with the semantics of the platform's store and injected faults.
class FakeStore {
 public:
  store::StoreResult Call(const store::Request& request, StoreFault fault) {
    if (is_down) return Fail(store::StoreErrorCode::kUnavailable);
    if (fault == StoreFault::kDropRequest) return Fail(store::StoreErrorCode::kOutcomeUnknown);
    const auto* swap = std::get_if<store::CompareAndSwap>(&request);
    if (fault == StoreFault::kDelayWrite && swap != nullptr) {
      delayed_.push_back(*swap);
      return Fail(store::StoreErrorCode::kOutcomeUnknown);
    }
    ++calls;
    auto reply = std::visit([this](const auto& it) { return Apply(it); }, request);
    if (fault != StoreFault::kNone) return Fail(store::StoreErrorCode::kOutcomeUnknown);
    return core::success(std::move(reply));
  }

  /// Applies the oldest delayed write, whose caller has already received an error.
  void ApplyDelayed() {
    if (delayed_.empty()) return;
    const auto swap = delayed_.front();
    delayed_.erase(delayed_.begin());
    (void)Apply(swap);
  }

  /// Index that a read of the key returns.
  [[nodiscard]] std::uint64_t IndexOf(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? index_ : found->second.modify_index;
  }

  void TakeBackup() { backup_ = {entries_, index_}; }
  /// Restores the last backup, including the modification indexes.
  void Restore() {
    std::tie(entries_, index_) = backup_;
    delayed_.clear();
  }

  bool is_down = false;
  std::uint64_t calls = 0;

 private:
  static store::StoreResult Fail(store::StoreErrorCode code) {
    return core::failure(store::StoreError{code, ""});
  }

  store::Reply Apply(const store::Get& it) {
    const auto found = entries_.find(it.key);
    if (found == entries_.end()) return store::GetReply{std::nullopt, IndexOf(it.key)};
    return store::GetReply{found->second, IndexOf(it.key)};
  }
  store::Reply Apply(const store::Watch& it) { return Apply(store::Get{it.key}); }
  store::Reply Apply(const store::List& it) {
    store::ListReply reply;
    for (const auto& [key, entry] : entries_) {
      if (key.compare(0, it.prefix.size(), it.prefix) == 0) reply.entries.push_back(entry);
    }
    return reply;
  }
  store::Reply Apply(const store::CompareAndSwap& it) {
    const auto found = entries_.find(it.key);
    if ((found == entries_.end() ? 0 : found->second.modify_index) != it.index) {
      return store::CompareAndSwapReply{false};
    }
    entries_[it.key] = {it.key, it.value, ++index_};
    return store::CompareAndSwapReply{true};
  }
  store::Reply Apply(const store::DeletePrefix& it) {
    std::erase_if(entries_, [&it](const auto& entry) {
      return entry.first.compare(0, it.prefix.size(), it.prefix) == 0;
    });
    return store::DeletePrefixReply{};
  }
  store::Reply Apply(const store::ListInstances&) { return store::ListInstancesReply{}; }

  std::map<std::string, store::Entry> entries_;
  std::uint64_t index_ = 1;
  std::pair<std::map<std::string, store::Entry>, std::uint64_t> backup_{{}, 1};
  std::vector<store::CompareAndSwap> delayed_;
};

}  // namespace vanilladeck::config::testing
