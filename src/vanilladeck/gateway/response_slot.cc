#include "vanilladeck/gateway/response_slot.h"

#include <utility>

namespace vanilladeck::gateway {

void ResponseSlot::Reply(std::string head, std::string body) {
  if (!open()) return;
  const auto owner = std::move(owner_);
  owner_ = nullptr;
  pending_ = nullptr;
  head_ = std::move(head);
  body_ = std::move(body);
  owner->OnAnswered();
}

void ResponseSlot::Abort() {
  if (!open()) return;
  const auto owner = std::move(owner_);
  owner_ = nullptr;
  pending_ = nullptr;
  lost_ = true;
  owner->OnAnswerLost();
}

}  // namespace vanilladeck::gateway
