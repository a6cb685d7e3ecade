#include "vanilladeck/store/impl/base64.h"

#include <openssl/evp.h>

namespace vanilladeck::store::impl {

std::optional<std::string> DecodeBase64(std::string_view text) {
  constexpr std::size_t kGroup = 4;
  constexpr std::size_t kBytesPerGroup = 3;
  if (text.empty()) return std::string();
  if (text.size() % kGroup != 0) return std::nullopt;
  std::string out(text.size() / kGroup * kBytesPerGroup, '\0');
  const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(text.data()),
                                static_cast<int>(text.size()));
  if (n < 0) return std::nullopt;
  // EVP_DecodeBlock includes the padding in its byte count.
  const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
  out.resize(static_cast<std::size_t>(n) - padding);
  return out;
}

}  // namespace vanilladeck::store::impl
