#include "vanilladeck/gateway/request_body.h"

#include <utility>

namespace vanilladeck::gateway {
namespace {

// One part waits while the previous one is written.
constexpr std::size_t kPartCapacity = RequestBody::kQueueBytes + RequestBody::kMaxAppend;
constexpr std::size_t kPartsHeld = 2;

void RunOnce(std::function<void()>& action) {
  if (const auto it = std::exchange(action, nullptr)) it();
}

}  // namespace

RequestBody::RequestBody(const core::ByteBudgetPtr& messages, const core::ByteBudgetPtr& share,
                         std::string first_part, std::optional<std::uint64_t> length)
    : account_(messages, nullptr),
      share_(share, nullptr),
      first_part_(std::make_shared<const std::string>(std::move(first_part))),
      length_(length) {}

RequestBodyPtr RequestBody::Create(const core::ByteBudgetPtr& messages,
                                   const core::ByteBudgetPtr& share, std::string first_part,
                                   std::optional<std::uint64_t> length) {
  RequestBodyPtr body(new RequestBody(messages, share, std::move(first_part), length));
  if (!body->Reserve(body->first_part_->capacity() + kPartsHeld * kPartCapacity)) return nullptr;
  return body;
}

bool RequestBody::Reserve(std::size_t bytes) {
  return share_.TryResize(bytes) && account_.TryResize(bytes);
}

void RequestBody::Append(std::string_view bytes) {
  if (bytes.empty()) return;
  // At once, since growth by doubling would need memory that isn't charged.
  queue_.reserve(kPartCapacity);
  queue_.append(bytes);
  RunOnce(on_bytes_);
}

void RequestBody::End() {
  ended_ = true;
  RunOnce(on_bytes_);
}

void RequestBody::Break(unsigned status) {
  if (const auto it = std::exchange(on_broken_, nullptr)) it(status);
}

std::string RequestBody::Take() {
  if (queue_.empty()) return {};
  if (first_part_) {
    first_part_ = nullptr;
    share_.Resize(kPartsHeld * kPartCapacity);
    account_.Resize(kPartsHeld * kPartCapacity);
  }
  std::string part = std::exchange(queue_, {});
  RunOnce(on_space_);
  return part;
}

std::shared_ptr<void> StreamCounts::TryAcquire(const std::string& service, std::uint32_t limit) {
  std::shared_ptr<std::uint32_t>& count = counts_[service];
  if (!count) count = std::make_shared<std::uint32_t>(0);
  if (*count >= limit) return nullptr;
  ++*count;
  return {count.get(), [count](std::uint32_t* n) { --*n; }};
}

}  // namespace vanilladeck::gateway
