#include "vanilladeck/operations/batch.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::operations {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;
constexpr std::size_t kHexDigits = 64;
constexpr int kHexBase = 16;
constexpr std::size_t kBucketDigits = 14;
constexpr std::size_t kSeqDigits = 16;
// MessagePack uses at most 9 bytes for an integer; a claim has 11 integers, an outcome 7.
constexpr std::size_t kEntryOverheadBytes = 110;

/// Stores each string of a batch once; entries refer to it by position.
class StringTable {
 public:
  std::size_t Add(const std::string& text) {
    const auto [it, added] = positions_.try_emplace(text, strings_.size());
    if (added) strings_.push_back(text);
    return it->second;
  }
  [[nodiscard]] const std::vector<std::string>& strings() const { return strings_; }

 private:
  std::unordered_map<std::string, std::size_t> positions_;
  std::vector<std::string> strings_;
};

/// The three words of the id are the first fields of every entry. A nested array would cost an
/// allocation per entry when the log is read.
RecordId ReadId(const json& doc) {
  return {doc.at(0).get<std::int64_t>(),
          {doc.at(1).get<std::uint64_t>(), doc.at(2).get<std::uint64_t>()}};
}

struct EntryEncoder {
  StringTable& table;  // NOLINT(*-avoid-const-or-ref-data-members): lives for one Encode call

  json operator()(const ClaimEntry& claim) const {
    return json::array({claim.id.issue_ms, claim.id.random[0], claim.id.random[1], claim.attempt,
                        table.Add(claim.service), claim.fingerprint[0], claim.fingerprint[1],
                        core::Index(claim.rank), table.Add(claim.holder.address),
                        claim.holder.incarnation, claim.claim_id});
  }
  json operator()(const OutcomeEntry& entry) const {
    json doc = json::array({entry.id.issue_ms, entry.id.random[0], entry.id.random[1],
                            entry.attempt, static_cast<unsigned>(entry.outcome)});
    if (entry.answer) {
      doc.push_back(entry.answer->status);
      doc.push_back(table.Add(entry.answer->content_type));
      doc.push_back(json::binary({entry.answer->body.begin(), entry.answer->body.end()}));
    }
    return doc;
  }
};

constexpr std::size_t kClaimFields = 11;
constexpr std::size_t kOutcomeFields = 5;
constexpr std::size_t kAnswerFields = 8;

ClaimEntry ReadClaim(const json& doc, const json& strings) {
  ClaimEntry claim;
  claim.id = ReadId(doc);
  claim.attempt = doc.at(3).get<std::uint64_t>();
  claim.service = strings.at(doc.at(4).get<std::size_t>()).get<std::string>();
  claim.fingerprint = {doc.at(5).get<std::uint64_t>(), doc.at(6).get<std::uint64_t>()};
  claim.rank = core::kAllRanks.at(doc.at(7).get<std::size_t>());
  claim.holder = {strings.at(doc.at(8).get<std::size_t>()).get<std::string>(),
                  doc.at(9).get<std::uint64_t>()};
  claim.claim_id = doc.at(10).get<std::uint64_t>();
  return claim;
}

OutcomeEntry ReadOutcome(const json& doc, const json& strings) {
  OutcomeEntry entry;
  entry.id = ReadId(doc);
  entry.attempt = doc.at(3).get<std::uint64_t>();
  const auto outcome = doc.at(4).get<unsigned>();
  if (outcome >= core::kOutcomeNames.size()) throw std::out_of_range("outcome");
  entry.outcome = static_cast<core::Outcome>(outcome);
  if (doc.size() == kAnswerFields) {
    const auto& body = doc.at(7).get_binary();
    entry.answer = RecordedAnswer{doc.at(5).get<int>(),
                                  strings.at(doc.at(6).get<std::size_t>()).get<std::string>(),
                                  std::string(body.begin(), body.end())};
  }
  return entry;
}

LogEntry ReadEntry(const json& doc, const json& strings) {
  if (doc.size() == kClaimFields) return ReadClaim(doc, strings);
  if (doc.size() == kOutcomeFields || doc.size() == kAnswerFields) return ReadOutcome(doc, strings);
  throw std::out_of_range("entry with " + std::to_string(doc.size()) + " fields");
}

std::string Padded(std::uint64_t number, std::size_t digits) {
  std::string text = std::to_string(number);
  return text.size() >= digits ? text : std::string(digits - text.size(), '0') + text;
}

}  // namespace

Fingerprint CompactFingerprint(std::string_view fingerprint) {
  const bool hex = fingerprint.size() == kHexDigits &&
                   std::all_of(fingerprint.begin(), fingerprint.end(), [](char c) {
                     return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
                   });
  const std::string digits = hex ? std::string(fingerprint) : core::Sha256Hex(fingerprint);
  constexpr std::size_t kWord = 16;
  Fingerprint words{};
  for (std::size_t i = 0; i < words.size(); ++i) {
    const char* begin = digits.data() + i * kWord;
    std::from_chars(begin, begin + kWord, words[i], kHexBase);
  }
  return words;
}

std::size_t EncodedBytes(const LogEntry& entry) {
  if (const auto* claim = std::get_if<ClaimEntry>(&entry)) {
    return kEntryOverheadBytes + claim->service.size() + claim->holder.address.size();
  }
  const auto& outcome = std::get<OutcomeEntry>(entry);
  const std::size_t answer =
      outcome.answer ? outcome.answer->body.size() + outcome.answer->content_type.size() : 0;
  return kEntryOverheadBytes + answer;
}

std::string Encode(const Batch& batch) {
  StringTable table;
  json entries = json::array();
  for (const auto& entry : batch.entries) entries.push_back(std::visit(EntryEncoder{table}, entry));
  const json doc =
      json::array({kFormatVersion, batch.epoch, batch.owner.address, batch.owner.incarnation,
                   batch.nonce, batch.wall_ms, batch.unknown_until_ms, batch.log_start_seq,
                   batch.takes_over, table.strings(), std::move(entries)});
  std::string value;
  json::to_msgpack(doc, value);
  return value;
}

core::Result<Batch, BatchError> Decode(std::string_view key, std::string_view value) {
  try {
    const json doc = json::from_msgpack(value.begin(), value.end());
    if (doc.at(0).get<int>() != kFormatVersion) {
      return BatchError{std::string(key), "unknown format version"};
    }
    Batch batch;
    batch.epoch = doc.at(1).get<std::uint64_t>();
    batch.owner = {doc.at(2).get<std::string>(), doc.at(3).get<std::uint64_t>()};
    batch.nonce = doc.at(4).get<std::uint64_t>();
    batch.wall_ms = doc.at(5).get<std::int64_t>();
    batch.unknown_until_ms = doc.at(6).get<std::int64_t>();
    batch.log_start_seq = doc.at(7).get<std::uint64_t>();
    batch.takes_over = doc.at(8).get<bool>();
    batch.entries.reserve(doc.at(10).size());
    for (const auto& entry : doc.at(10)) batch.entries.push_back(ReadEntry(entry, doc.at(9)));
    return batch;
  } catch (const std::exception& error) {
    return BatchError{std::string(key), error.what()};
  }
}

std::string ShardPrefix(std::string_view shard) { return "ops/" + std::string(shard) + '/'; }

std::string BucketPrefix(std::string_view shard, std::uint64_t bucket) {
  return ShardPrefix(shard) + Padded(bucket, kBucketDigits) + '/';
}

std::string BatchKey(std::string_view shard, std::uint64_t seq) {
  return BucketPrefix(shard, seq / kBatchesPerBucket) + Padded(seq, kSeqDigits);
}

std::optional<std::uint64_t> ParseBatchKey(std::string_view shard, std::string_view key) {
  const auto slash = key.rfind('/');
  if (slash == std::string_view::npos) return std::nullopt;
  std::uint64_t seq = 0;
  const auto digits = key.substr(slash + 1);
  std::from_chars(digits.data(), digits.data() + digits.size(), seq);
  return BatchKey(shard, seq) == key ? std::optional(seq) : std::nullopt;
}

}  // namespace vanilladeck::operations
