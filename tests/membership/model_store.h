#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/timeline.h"
#include "vanilladeck/store/versioned_call.h"

namespace vanilladeck::testing {

/// What the store answers, with the era that it states.
struct ModelResponse {
  store::Era era = 0;
  store::VersionedResult result;
};

/// A plain model of the platform's store: items with leases, a history of changes, and an era that
/// rises each time the store returns from an older copy of its data.
class ModelStore {
 public:
  using Done = std::function<void(const ModelResponse&)>;

  explicit ModelStore(Timeline& timeline) : timeline_(timeline) { KeepCopy(); }

  struct Entry {
    std::string value;
    std::int64_t revision = 0;
    core::TimePoint expires;  ///< End of the lease; the maximum without one.
  };

  /// Each returns false, without effect, while the store is silent.
  bool Put(const std::string& key, const std::string& value,
           core::Duration ttl = core::Duration::zero());
  bool Delete(const std::string& key);

  /// The store returns from the copy that is `age` old. Leases last from then on.
  void ReturnFromCopy(core::Duration age, core::Duration ttl);
  void SetSilentUntil(core::TimePoint until) { silent_until_ = until; }
  [[nodiscard]] bool silent() const { return timeline_.now() < silent_until_; }

  /// Calls `done` when the call is answered; never while the store is silent.
  void Call(const store::VersionedCall& call, Done done);
  /// Removes items whose lease has ended and answers watches whose wait has.
  void Tick();

  [[nodiscard]] const std::map<std::string, Entry>& items() const { return items_; }
  [[nodiscard]] store::Era era() const { return era_; }

 private:
  /// A change and the ones before it, which copies share.
  struct History {
    store::Change change;
    std::int64_t revision = 0;
    std::shared_ptr<const History> previous;
  };
  struct Copy {
    core::TimePoint at;
    store::Era era = 0;
    std::int64_t revision = 0;
    std::map<std::string, Entry> items;
    std::shared_ptr<const History> history;
  };
  struct Watch {
    std::int64_t after = 0;
    core::TimePoint until;
    Done done;
  };

  void Remove(const std::string& key);
  void Append(const std::string& key, const std::string& value, bool removed);
  void KeepCopy() { copies_.push_back({timeline_.now(), era_, revision_, items_, history_}); }
  [[nodiscard]] ModelResponse Read(const store::ReadRange& call) const;
  /// Nullopt if there is nothing to report yet.
  [[nodiscard]] std::optional<ModelResponse> ChangesAfter(std::int64_t after) const;
  void AnswerWatches();

  Timeline& timeline_;
  store::Era era_ = 1;
  std::int64_t revision_ = 1;
  std::map<std::string, Entry> items_;
  std::shared_ptr<const History> history_;
  std::vector<Copy> copies_;
  std::vector<Watch> watches_;
  core::TimePoint silent_until_;
};

}  // namespace vanilladeck::testing
