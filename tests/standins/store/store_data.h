#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanilladeck::standins {

/// Items, leases and changes of the platform's store, of which the state at an earlier time can be
/// restored. Values are kept as they arrive, in base64.
class StoreData {
 public:
  using Clock = std::chrono::steady_clock;
  using LeaseId = std::int64_t;

  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    LeaseId lease = 0;  ///< 0: none.
  };
  /// A write of an item, or its removal.
  struct Change {
    Clock::time_point at;
    std::string key;
    Item item;
    bool removed = false;
  };
  struct Lease {
    Clock::time_point granted;
    std::chrono::milliseconds ttl{0};
    Clock::time_point end;
  };

  [[nodiscard]] std::int64_t revision() const noexcept { return revision_; }
  [[nodiscard]] const std::map<std::string, Item>& items() const noexcept { return items_; }
  /// All changes since the start, oldest first.
  [[nodiscard]] const std::deque<Change>& changes() const noexcept { return changes_; }

  [[nodiscard]] const Item* Find(const std::string& key) const {
    const auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second;
  }

  /// Applies writes and removals as one change of the revision and returns it.
  struct Write {
    std::string key;
    std::string value;
    LeaseId lease = 0;
  };
  std::int64_t Apply(const std::vector<Write>& writes, const std::vector<std::string>& removals) {
    ++revision_;
    for (const Write& it : writes) {
      const Item* known = Find(it.key);
      const std::int64_t created = known == nullptr ? revision_ : known->created;
      items_[it.key] = {it.value, revision_, created, it.lease};
      changes_.push_back({Clock::now(), it.key, items_[it.key], false});
    }
    for (const std::string& key : removals) {
      if (items_.erase(key) == 0) continue;
      changes_.push_back({Clock::now(), key, {{}, revision_, 0, 0}, true});
    }
    return revision_;
  }

  LeaseId GrantLease(std::chrono::milliseconds ttl) {
    const auto now = Clock::now();
    leases_[++last_lease_] = {now, ttl, now + ttl};
    return last_lease_;
  }
  [[nodiscard]] bool HasLease(LeaseId lease) const { return leases_.count(lease) > 0; }
  bool RenewLease(LeaseId lease) {
    const auto it = leases_.find(lease);
    if (it == leases_.end()) return false;
    it->second.end = Clock::now() + it->second.ttl;
    return true;
  }
  bool EndLease(LeaseId lease) {
    if (leases_.erase(lease) == 0) return false;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) keys.push_back(key);
    }
    if (!keys.empty()) (void)Apply({}, keys);
    return true;
  }
  /// Ends the leases whose time is over; true if there was one.
  bool EndExpiredLeases() {
    std::vector<LeaseId> expired;
    for (const auto& [id, lease] : leases_) {
      if (lease.end <= Clock::now()) expired.push_back(id);
    }
    for (const LeaseId id : expired) (void)EndLease(id);
    return !expired.empty();
  }
  /// All leases run for their whole time again from now on, as after a pause of the store.
  void RestartLeases() {
    for (auto& [id, lease] : leases_) lease.end = Clock::now() + lease.ttl;
  }

  /// Restores the state at `time`: what was written and granted since is gone, and its revisions
  /// are given out again. Numbers of leases are not. A lease that has ended since is there again.
  void RestoreStateAt(Clock::time_point time) {
    while (!changes_.empty() && changes_.back().at > time) changes_.pop_back();
    items_.clear();
    revision_ = kFirstRevision;
    for (const Change& it : changes_) {
      revision_ = it.item.revision;
      if (it.removed) {
        items_.erase(it.key);
      } else {
        items_[it.key] = it.item;
      }
    }
    std::erase_if(leases_, [&](const auto& it) { return it.second.granted > time; });
    for (const auto& [key, item] : items_) {
      // The lease had ended between `time` and the loss.
      if (item.lease != 0 && !HasLease(item.lease)) {
        leases_[item.lease] = {time, kRestoredLease, time + kRestoredLease};
      }
    }
    RestartLeases();
  }

 private:
  // The store's revision starts above 0.
  static constexpr std::int64_t kFirstRevision = 1;
  // The time of a lease that is restored with its keys; the shortest that instances and servers
  // use.
  static constexpr std::chrono::milliseconds kRestoredLease{3000};

  std::map<std::string, Item> items_;
  std::deque<Change> changes_;
  std::map<LeaseId, Lease> leases_;
  std::int64_t revision_ = kFirstRevision;
  LeaseId last_lease_ = 0;
};

}  // namespace vanilladeck::standins
