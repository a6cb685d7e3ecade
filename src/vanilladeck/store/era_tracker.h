#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "vanilladeck/store/era.h"

namespace vanilladeck::store {

/// How the era that a response states relates to the known one.
enum class EraFinding : std::uint8_t {
  kSame,
  kFirst,       ///< None was known.
  kNext,        ///< The store has returned from an older copy.
  kJump,        ///< More than one above the known one.
  kOlder,       ///< The call was sent before the known era was.
  kFell,        ///< Below the known one, although the call was sent later.
  kAbsent,      ///< The response states none.
  kUnreadable,  ///< The response states one that cannot be read.
};

inline constexpr std::array<std::string_view, 8> kEraFindingNames{
    "same", "first", "next", "jump", "older", "fell", "absent", "unreadable"};

/// Decides by the era that a response of the store states whether the response is used.
///
/// Calls are under way on several connections, so that responses of an older era arrive after the
/// store has returned. A jump or a fall counts only if the next response that states an era
/// confirms it: the store raises its era by one at each return, so that after a fall the known one
/// was wrong.
///
/// While the store states no era, the returns that its revisions show are counted (`OnDataLost`).
class EraTracker {
 public:
  struct Judgement {
    EraFinding finding = EraFinding::kSame;
    bool usable = false;   ///< The response belongs to `era()`.
    bool changed = false;  ///< `era()` was changed by the response.
  };

  /// `sent_in` is the era that was known when the call was sent. `may_be_stale` is true for a read
  /// that the store may answer with state that is seconds old.
  Judgement OnResponse(const EraReading& reading, Era sent_in, bool may_be_stale = false);

  /// Another instance states the era; true if it is newer than the known one and now known. A jump
  /// counts only if the next message or response with a newer era confirms it.
  /// One that the store has contradicted does not count.
  bool OnPeer(Era era) noexcept;

  /// The store's revisions have gone back. True if `era()` was raised, which it is only if the
  /// last response stated none.
  bool OnDataLost() noexcept;

  /// 0 before any was stated.
  [[nodiscard]] Era era() const noexcept { return era_.value_or(0); }

 private:
  std::optional<Era> era_;
  std::optional<Era> unconfirmed_;  ///< A jump or fall that the next response may confirm.
  Era contradicted_ = 0;            ///< Known era from which the last one fell.
  bool stated_ = false;             ///< The last response stated an era.
};

}  // namespace vanilladeck::store
