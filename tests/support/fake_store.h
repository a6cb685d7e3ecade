#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "support/timeline.h"
#include "vanilladeck/store/request.h"

namespace vanilladeck::testing {

/// In-memory store on virtual time that can lose answers, delay writes and fail.
class FakeStore {
 public:
  using Done = std::function<void(store::StoreResult)>;

  explicit FakeStore(Timeline& timeline) : timeline_(timeline) {}

  void Call(const store::Request& request, const Done& done) {
    ++calls;
    if (down && timeline_.Random(0, 1) == 0) {
      return Fail(store::StoreErrorCode::kUnavailable, 2, done);
    }
    if (down || timeline_.Random(0, 99) < lost_percent) return LoseAnswer(request, done);
    const auto latency = slow ? timeline_.RandomMs(150, 1'500) : timeline_.RandomMs(1, 8);
    timeline_.After(latency / 2, [this, request, done, latency] {
      auto reply = Apply(request);
      timeline_.After(latency / 2, [reply, done] { done(reply); });
    });
  }

  store::Reply Apply(const store::Request& request) {
    return std::visit([this](const auto& call) -> store::Reply { return Execute(call); }, request);
  }

  bool down = false;
  bool slow = false;
  int lost_percent = 0;
  std::uint64_t calls = 0;
  std::map<std::string, store::Entry> data;

 private:
  void Fail(store::StoreErrorCode code, int ms, const Done& done) {
    timeline_.After(Ms(ms), [code, done] { done(store::StoreError{code, ""}); });
  }

  /// Loses the answer; the call takes effect at once, later, or never.
  void LoseAnswer(const store::Request& request, const Done& done) {
    const int timeout_ms = timeline_.Random(100, 800);
    const int outcome = down ? 0 : timeline_.Random(0, 2);
    if (outcome > 0) {
      const auto delay = outcome == 1 ? Ms(1) : timeline_.RandomMs(timeout_ms, 6'000);
      timeline_.After(delay, [this, request] { (void)Apply(request); });
    }
    Fail(store::StoreErrorCode::kOutcomeUnknown, timeout_ms, done);
  }

  store::Reply Execute(const store::Get& call) {
    const auto it = data.find(call.key);
    if (it == data.end()) return store::GetReply{std::nullopt, index_};
    return store::GetReply{it->second, it->second.modify_index};
  }
  store::Reply Execute(const store::Watch& call) { return Execute(store::Get{call.key}); }
  store::Reply Execute(const store::List& call) {
    store::ListReply reply;
    for (auto it = data.lower_bound(call.prefix); it != data.end(); ++it) {
      if (!it->first.starts_with(call.prefix)) break;
      reply.entries.push_back(it->second);
    }
    return reply;
  }
  store::Reply Execute(const store::CompareAndSwap& call) {
    const auto it = data.find(call.key);
    const std::uint64_t present = it == data.end() ? 0 : it->second.modify_index;
    if (present != call.index) return store::CompareAndSwapReply{false};
    data[call.key] = {call.key, call.value, ++index_};
    return store::CompareAndSwapReply{true};
  }
  store::Reply Execute(const store::DeletePrefix& call) {
    std::erase_if(data, [&](const auto& row) { return row.first.starts_with(call.prefix); });
    return store::DeletePrefixReply{};
  }
  store::Reply Execute(const store::ListInstances& /*call*/) { return store::ListInstancesReply{}; }

  Timeline& timeline_;
  std::uint64_t index_ = 0;
};

}  // namespace vanilladeck::testing
