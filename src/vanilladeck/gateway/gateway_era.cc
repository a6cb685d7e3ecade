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

}  // namespace vanilladeck::gateway
