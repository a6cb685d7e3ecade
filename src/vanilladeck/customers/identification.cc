#include "vanilladeck/customers/identification.h"

#include <algorithm>
#include <cctype>

namespace vanilladeck::customers {
namespace {

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

void Credentials::Add(std::string_view value) {
  value = Trim(value);
  const std::string_view scheme = value.substr(0, value.find_first_of(" \t"));
  if (!EqualIgnoringCase(scheme, scheme_)) return;
  const std::string_view key = Trim(value.substr(scheme.size()));
  if (key.empty()) return;
  if (!key_.empty() && key_ != key) ambiguous_ = true;
  key_ = key;
}

Identity Identify(const KeyIndex& keys, const Credentials& credentials, bool is_public) {
  Identity identity;
  if (!keys.keys_needed()) return identity;
  const std::string_view key = credentials.key();
  if (!key.empty()) identity.customer = keys.HolderOf(key);
  if (is_public || identity.customer != nullptr) return identity;
  if (credentials.ambiguous()) {
    identity.refusal = KeyRefusal::kSeveralKeys;
  } else {
    identity.refusal = key.empty() ? KeyRefusal::kNoKey : KeyRefusal::kUnknownKey;
  }
  return identity;
}

}  // namespace vanilladeck::customers
