#include "vanilladeck/membership/seat_witness.h"

namespace vanilladeck::membership {

void SeatWitness::Tick(core::TimePoint now) {
  if (now - last_tick_ > hold_ / 2) no_confirmation_before_ = now + hold_;
  last_tick_ = now;
}

void SeatWitness::Note(std::uint32_t seat, const core::InstanceId& holder, std::uint64_t term) {
  auto& known = holders_[seat];
  if (term > known.term) known = {term, holder};
}

bool SeatWitness::Confirm(std::uint32_t seat, const core::InstanceId& holder, std::uint64_t term,
                          core::TimePoint now) {
  Tick(now);
  if (now < no_confirmation_before_) return false;
  const auto it = holders_.find(seat);
  // For an unknown seat, both the previous and a newer holder would be confirmed.
  if (it == holders_.end()) return false;
  return it->second.term < term || (it->second.term == term && it->second.holder == holder);
}

}  // namespace vanilladeck::membership
