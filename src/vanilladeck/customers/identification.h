#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "vanilladeck/customers/key_index.h"

namespace vanilladeck::customers {

/// The keys that a request carries in its credential fields.
class Credentials {
 public:
  /// `scheme` is the authentication scheme of keys; letter case does not matter (RFC 9110, 11.1).
  explicit Credentials(std::string_view scheme) : scheme_(scheme) {}

  /// Reads one credential field. Those of other schemes carry no key of a customer.
  void Add(std::string_view value);

  /// Empty if there is no key, or if there are several different ones.
  [[nodiscard]] std::string_view key() const noexcept { return ambiguous_ ? "" : key_; }
  [[nodiscard]] bool ambiguous() const noexcept { return ambiguous_; }

 private:
  std::string_view scheme_;
  std::string_view key_;
  bool ambiguous_ = false;
};

/// Why a request is refused for its key.
enum class KeyRefusal : std::uint8_t {
  kNoKey,
  kUnknownKey,   ///< No customer of this version holds it.
  kSeveralKeys,  ///< The request states different keys.
};

inline constexpr std::array<std::string_view, 3> kKeyRefusalNames{"no-key", "unknown-key",
                                                                  "several-keys"};

/// On whose behalf a request runs.
struct Identity {
  const config::Customer* customer = nullptr;  ///< Holder of the key; null without a known key.
  std::optional<KeyRefusal> refusal;           ///< Set if the request must not run.
};

/// Decides by the keys of one version. A request on a public route is never refused, but has a
/// holder if its key is known.
[[nodiscard]] Identity Identify(const KeyIndex& keys, const Credentials& credentials,
                                bool is_public);

}  // namespace vanilladeck::customers
