#include "vanilladeck/operations/operation_key.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>
#include <stdexcept>

namespace vanilladeck::operations {
namespace {

// Longer than any shard name plus the fixed fields; limits the cost of parsing untrusted headers.
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kWordDigits = 16;
constexpr int kHexBase = 16;

std::string ToHex(std::uint64_t word) {
  std::string digits(kWordDigits, '0');
  std::array<char, kWordDigits> buf{};
  const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), word, kHexBase).ptr;
  const auto n = static_cast<std::size_t>(end - buf.data());
  std::copy(buf.data(), end, digits.begin() + static_cast<std::ptrdiff_t>(kWordDigits - n));
  return digits;
}

/// Parses exactly 16 lower-case hexadecimal digits.
std::optional<std::uint64_t> ParseWord(std::string_view text) {
  const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (text.size() != kWordDigits || !digits) return std::nullopt;
  std::uint64_t word = 0;
  std::from_chars(text.data(), text.data() + text.size(), word, kHexBase);
  return word;
}

std::optional<std::int64_t> ParseIssueTime(std::string_view text) {
  std::int64_t ms = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
  const bool canonical = !text.empty() && text.front() >= '1' && text.front() <= '9';
  if (ec != std::errc{} || end != text.data() + text.size() || !canonical) return std::nullopt;
  return ms;
}

/// Removes the field after the last dot from `rest`, and the dot, and returns the field.
std::optional<std::string_view> SplitLastField(std::string_view& rest) {
  const auto dot = rest.rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const auto part = rest.substr(dot + 1);
  rest = rest.substr(0, dot);
  return part;
}

KeyError MakeError(KeyErrorCode code, std::string_view field) { return {code, std::string(field)}; }

}  // namespace

std::uint64_t OperationKey::Digest(std::string_view client, std::string_view salt) const {
  std::string text = shard_ + '.' + std::to_string(id_.issue_ms) + '.' + ToHex(id_.random[0]) +
                     ToHex(id_.random[1]) + '.';
  text += client;
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), salt.data(), static_cast<int>(salt.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac.data(), &n);
  std::uint64_t word = 0;
  std::memcpy(&word, mac.data(), sizeof(word));
  return word;
}

OperationKey OperationKey::Issue(std::string_view shard, std::int64_t wall_ms,
                                 std::string_view client, std::string_view salt) {
  OperationKey key;
  key.shard_ = shard;
  key.id_.issue_ms = wall_ms;
  std::array<unsigned char, sizeof(key.id_.random)> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("cannot generate an operation key: RAND_bytes failed");
  }
  std::memcpy(key.id_.random.data(), bytes.data(), bytes.size());
  key.digest_ = key.Digest(client, salt);
  return key;
}

core::Result<OperationKey, KeyError> OperationKey::Parse(std::string_view text) {
  if (text.size() > kMaxKeyBytes) {
    return MakeError(KeyErrorCode::kTooLong, text.substr(0, kMaxKeyBytes));
  }
  std::string_view rest = text;
  const auto random = SplitLastField(rest);
  const auto digest = SplitLastField(rest);
  const auto issued = SplitLastField(rest);
  if (!random || !digest || !issued) return MakeError(KeyErrorCode::kFieldCount, text);
  if (rest.empty()) return MakeError(KeyErrorCode::kShard, rest);
  const auto issue_ms = ParseIssueTime(*issued);
  if (!issue_ms) return MakeError(KeyErrorCode::kIssueTime, *issued);
  const auto digest_word = ParseWord(*digest);
  if (!digest_word) return MakeError(KeyErrorCode::kDigest, *digest);
  if (random->size() != 2 * kWordDigits) return MakeError(KeyErrorCode::kRandom, *random);
  const auto high = ParseWord(random->substr(0, kWordDigits));
  const auto low = ParseWord(random->substr(kWordDigits));
  if (!high || !low) return MakeError(KeyErrorCode::kRandom, *random);
  OperationKey key;
  key.shard_ = rest;
  key.id_ = {*issue_ms, {*high, *low}};
  key.digest_ = *digest_word;
  return key;
}

bool OperationKey::BelongsTo(std::string_view client, std::string_view salt) const {
  return Digest(client, salt) == digest_;
}

std::string OperationKey::Text() const {
  return shard_ + '.' + std::to_string(id_.issue_ms) + '.' + ToHex(digest_) + '.' +
         ToHex(id_.random[0]) + ToHex(id_.random[1]);
}

}  // namespace vanilladeck::operations
