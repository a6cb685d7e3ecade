#include "vanilladeck/gateway/answer_queue.h"

#include <algorithm>
#include <utility>

namespace vanilladeck::gateway {

std::shared_ptr<ResponseSlot> AnswerQueue::Add(std::shared_ptr<SlotOwner> owner,
                                               const ResponseSlot::RequestInfo& request) {
  if (!request.keep_alive) ended_ = true;
  return slots_.emplace_back(std::make_shared<ResponseSlot>(std::move(owner), request));
}

void AnswerQueue::SetPending(ResponseSlot& slot, std::shared_ptr<PendingRequest> pending) {
  if (slot.open()) slot.pending_ = std::move(pending);
}

std::optional<OrderedAnswer> AnswerQueue::TakeNext(bool closing) {
  if (slots_.empty() || slots_.front()->open()) return std::nullopt;
  const auto slot = std::move(slots_.front());
  slots_.erase(slots_.begin());
  if (closing && slots_.empty()) ended_ = true;
  OrderedAnswer answer;
  answer.closes = ended_ && slots_.empty();
  answer.head = std::move(slot->head_);
  if (answer.closes) answer.head += "Connection: close\r\n";
  answer.head += "\r\n";
  answer.body = std::move(slot->body_);
  return answer;
}

std::vector<std::shared_ptr<PendingRequest>> AnswerQueue::EndAtLost() {
  ended_ = true;
  const auto lost =
      std::find_if(slots_.begin(), slots_.end(), [](const auto& it) { return it->lost_; });
  return Drop(static_cast<std::size_t>(lost - slots_.begin()));
}

std::vector<std::shared_ptr<PendingRequest>> AnswerQueue::Close() {
  ended_ = true;
  return Drop(0);
}

std::vector<std::shared_ptr<PendingRequest>> AnswerQueue::Drop(std::size_t first) {
  std::vector<std::shared_ptr<PendingRequest>> running;
  const auto begin = slots_.begin() + static_cast<std::ptrdiff_t>(first);
  const std::vector<std::shared_ptr<ResponseSlot>> dropped(begin, slots_.end());
  slots_.erase(begin, slots_.end());
  for (const auto& it : dropped) {
    it->owner_ = nullptr;
    if (auto pending = std::exchange(it->pending_, nullptr)) running.push_back(std::move(pending));
  }
  return running;
}

std::vector<std::shared_ptr<PendingRequest>> AnswerQueue::Running() const {
  std::vector<std::shared_ptr<PendingRequest>> running;
  for (const auto& it : slots_) {
    if (it->open() && it->pending_) running.push_back(it->pending_);
  }
  return running;
}

std::size_t AnswerQueue::open() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(slots_.begin(), slots_.end(), [](const auto& it) { return it->open(); }));
}

std::size_t AnswerQueue::waiting_bytes() const noexcept {
  std::size_t n = 0;
  for (const auto& it : slots_) n += it->head_.size() + it->body_.size();
  return n;
}

std::size_t AnswerQueue::request_bytes() const noexcept {
  std::size_t n = 0;
  for (const auto& it : slots_) {
    if (it->open()) n += it->request_.charged_bytes;
  }
  return n;
}

bool AnswerQueue::AllMayRunBeside() const {
  return std::all_of(slots_.begin(), slots_.end(), [](const auto& it) {
    return !it->open() || (it->pending_ != nullptr && it->pending_->MayRunBeside());
  });
}

}  // namespace vanilladeck::gateway
