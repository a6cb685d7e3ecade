#include "vanilladeck/store/era_tracker.h"

#include <algorithm>

namespace vanilladeck::store {

EraTracker::Judgement EraTracker::OnResponse(const EraReading& reading, Era sent_in,
                                             bool may_be_stale) {
  const auto* era = std::get_if<Era>(&reading);
  if (era != nullptr && *era > kMaxEra) era = nullptr;
  stated_ = era != nullptr;
  if (era == nullptr) {
    const auto finding =
        std::holds_alternative<NoEra>(reading) ? EraFinding::kAbsent : EraFinding::kUnreadable;
    // If the era has changed since the call was sent, the response may be of either.
    return {finding, sent_in == this->era(), false};
  }
  if (!era_) {
    const bool changed = *era != 0;
    era_ = *era;
    return {EraFinding::kFirst, true, changed};
  }
  if (*era == *era_) {
    unconfirmed_.reset();
    return {EraFinding::kSame, true, false};
  }
  if (*era < *era_) {
    if (sent_in < *era_) return {EraFinding::kOlder, false, false};
    // It may have been read before the era rose.
    if (may_be_stale) return {EraFinding::kFell, false, false};
    if (unconfirmed_ != *era) {
      unconfirmed_ = *era;
      return {EraFinding::kFell, false, false};
    }
    unconfirmed_.reset();
    contradicted_ = *era_;
    era_ = *era;
    return {EraFinding::kFell, true, true};
  }
  const bool next = *era == *era_ + 1;
  if (!next && unconfirmed_ != *era) {
    unconfirmed_ = *era;
    return {EraFinding::kJump, false, false};
  }
  unconfirmed_.reset();
  era_ = *era;
  return {next ? EraFinding::kNext : EraFinding::kJump, true, true};
}

bool EraTracker::OnPeer(Era era) noexcept {
  if (era <= std::max(this->era(), contradicted_) || era > kMaxEra) return false;
  // The store's responses are not used while a higher era is known, so that one damaged message
  // must not set it.
  if (era_ && era != *era_ + 1 && unconfirmed_ != era) {
    unconfirmed_ = era;
    return false;
  }
  unconfirmed_.reset();
  era_ = era;
  return true;
}

bool EraTracker::OnDataLost() noexcept {
  if (stated_) return false;
  unconfirmed_.reset();
  era_ = era() + 1;
  return true;
}

}  // namespace vanilladeck::store
