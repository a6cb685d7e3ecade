#include <nlohmann/json.hpp>

#include "vanilladeck/gateway/gateway.h"

/// Follows the grace period after the store has returned from an older copy.
namespace vanilladeck::gateway {

void Gateway::TickFollower(core::TimePoint now) {
  const std::size_t deferred = follower_.deferred_removals();
  const std::size_t held = follower_.held_items();
  applying_held_ = true;
  follower_.Tick(now);
  applying_held_ = false;
  std::erase_if(returned_records_, [&](const auto& it) {
    if (now < it.second.due) return false;
    ApplyRecord(it.second.record);
    return true;
  });
  if (!era_settling_) return;
  era_settling_->removed += deferred - follower_.deferred_removals();
  era_settling_->brought_back += held - follower_.held_items();
  const bool waiting = now - era_settling_->since < settings_.follower.removal_grace ||
                       follower_.position().era() != follower_.era() ||
                       follower_.deferred_removals() > 0 || follower_.held_items() > 0;
  if (waiting) return;
  const auto since =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - era_settling_->since);
  events_.Write(telemetry::StreamEvent::kStoreEraSettled,
                {{"era", follower_.era()},
                 {"ms", since.count()},
                 {"revision", follower_.position().revision().number},
                 {"items", follower_.known_items()},
                 {"removed", era_settling_->removed},
                 {"brought_back", era_settling_->brought_back}});
  era_settling_.reset();
}

void Gateway::DeferReturnedRecord(const store::Item& item,
                                  const membership::InstanceRecord& record) {
  // The lease in the copy ends within its time to live, unless the instance has started again and
  // registered before the first listing of the era.
  returned_records_[item.key] = {
      record, core::RuntimeClock::now() + membership::RegistrationSettings{}.ttl};
  events_.Write(telemetry::StreamEvent::kEntryRejected,
                {{"key", item.key},
                 {"revision", item.position.revision().number},
                 {"reason", "the instance had left before the store returned"}});
}

void Gateway::ApplyRecord(const membership::InstanceRecord& record) {
  instances_[record.name] = record;
  context_.server_limits.OnStated(record.name, record.server_limits, core::RuntimeClock::now());
  instances_changed_ = true;
}

}  // namespace vanilladeck::gateway
