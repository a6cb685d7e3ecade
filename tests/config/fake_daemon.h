#pragma once

#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "config/fake_store.h"
#include "vanilladeck/config/operator_api.h"
#include "vanilladeck/config/publisher.h"

namespace vanilladeck::config::testing {

/// The operators' API of a daemon: handlers, replica and publisher on a fake store.
class FakeDaemon {
 public:
  explicit FakeDaemon(FakeStore& store) : store_(store), replica_({}, now_) {}

  OperatorResponse Serve(const OperatorRequest& request) {
    wall_ms_ += 1000;
    const OperatorView view{replica_, "127.0.0.1:7070", "north-a", wall_ms_, R"({"load":1})"};
    auto action = Handle(request, view);
    if (auto* change = std::get_if<PublishRequest>(&action)) {
      return RespondTo(Publish(std::move(*change)));
    }
    if (const auto* explain = std::get_if<ExplainRequest>(&action)) {
      return RespondTo(*ExplainFromDeployment(*replica_.InForce(), *explain));
    }
    return std::get<OperatorResponse>(action);
  }

  /// Fault injected into every swap of the head.
  StoreFault swap_fault = StoreFault::kNone;

 private:
  PublishOutcome Publish(PublishRequest request) {
    Publisher publisher(std::move(request), replica_.Chain(), 1);
    auto step = publisher.Begin(0, now_);
    while (!std::holds_alternative<PublishOutcome>(step)) {
      if (const auto* wait = std::get_if<PublishWait>(&step)) {
        now_ = wait->until;
        step = publisher.OnTimer(0, now_);
        continue;
      }
      const auto& call = std::get<store::Request>(step);
      const auto* swap = std::get_if<store::CompareAndSwap>(&call);
      const bool head = swap != nullptr && swap->key == kHeadKey;
      step = publisher.OnResult(store_.Call(call, head ? swap_fault : StoreFault::kNone), 0, now_);
    }
    auto outcome = std::get<PublishOutcome>(std::move(step));
    if (const auto* accepted = std::get_if<PublishAccepted>(&outcome)) {
      (void)replica_.OnAccepted(accepted->chain, now_, wall_ms_);
    }
    return outcome;
  }

  FakeStore& store_;
  core::TimePoint now_{std::chrono::hours(1)};
  std::int64_t wall_ms_ = 1'000'000;
  Replica replica_;
};

}  // namespace vanilladeck::config::testing
