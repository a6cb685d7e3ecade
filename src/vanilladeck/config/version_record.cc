#include "vanilladeck/config/version_record.h"

#include <charconv>
#include <iomanip>
#include <map>
#include <sstream>

#include "vanilladeck/config/impl/json_fields.h"
#include "vanilladeck/core/hash.h"

namespace vanilladeck::config {
namespace {

using nlohmann::json;

/// Space reserved for the header "PART/COUNT\n" of each part.
constexpr std::size_t kPartHeaderBytes = 32;
constexpr int kVersionDigits = 16;
constexpr int kPartDigits = 4;

std::string Padded(std::uint64_t value, int digits) {
  std::ostringstream out;
  out << std::setw(digits) << std::setfill('0') << value;
  return out.str();
}

json ToJson(const Head& head) {
  return {{"version", head.version},
          {"hash", head.hash},
          {"previous_hash", head.previous_hash},
          {"deployment", head.deployment},
          {"who", head.who},
          {"when_ms", head.when_ms},
          {"mark", head.mark}};
}

std::optional<Head> HeadFromJson(const json& from) {
  const auto version = impl::CountField(from, "version");
  const auto hash = impl::StringField(from, "hash");
  const auto previous = impl::StringField(from, "previous_hash");
  const auto deployment = impl::StringField(from, "deployment");
  const auto who = impl::StringField(from, "who");
  const auto when = impl::IntegerField(from, "when_ms");
  const auto mark = impl::StringField(from, "mark");
  if (!version || !hash || !previous || !deployment || !who || !when || !mark) return std::nullopt;
  return Head{*version, *hash, *previous, *deployment, *who, *when, *mark};
}

std::optional<std::vector<std::string>> LinesFromJson(const json& from, const char* key) {
  const auto it = from.find(key);
  if (it == from.end() || !it->is_array()) return std::nullopt;
  std::vector<std::string> lines;
  for (const auto& line : *it) {
    if (!line.is_string()) return std::nullopt;
    lines.push_back(line.get<std::string>());
  }
  return lines;
}

std::optional<LineDiff> DiffFromJson(const json& from) {
  if (!from.is_array()) return std::nullopt;
  LineDiff diff;
  for (const auto& change : from) {
    const auto line = impl::CountField(change, "line");
    if (!line) return std::nullopt;
    auto removed = LinesFromJson(change, "removed");
    auto inserted = LinesFromJson(change, "inserted");
    if (!removed || !inserted) return std::nullopt;
    diff.push_back({*line, std::move(*removed), std::move(*inserted)});
  }
  return diff;
}

struct PartHeader {
  std::size_t part = 0;
  std::size_t count = 0;
  std::size_t size = 0;  ///< Bytes up to and including the line feed.
};

std::optional<PartHeader> ParsePartHeader(std::string_view value) {
  const auto end = value.substr(0, kPartHeaderBytes).find('\n');
  const auto slash = value.substr(0, kPartHeaderBytes).find('/');
  if (end == std::string_view::npos || slash == std::string_view::npos || slash > end) {
    return std::nullopt;
  }
  PartHeader header{0, 0, end + 1};
  const char* text = value.data();
  if (std::from_chars(text, text + slash, header.part).ptr != text + slash) return std::nullopt;
  if (std::from_chars(text + slash + 1, text + end, header.count).ptr != text + end) {
    return std::nullopt;
  }
  return header;
}

/// Joins the values of one record, which must be ordered by part.
std::optional<std::string> JoinValues(const std::vector<std::string_view>& values) {
  std::string text;
  for (std::size_t i = 0; i < values.size(); ++i) {
    const auto header = ParsePartHeader(values[i]);
    if (!header || header->part != i || header->count != values.size()) return std::nullopt;
    text += values[i].substr(header->size);
  }
  return text;
}

}  // namespace

std::string RecordHash(const VersionRecord& record) {
  // JSON encoding makes field boundaries unambiguous.
  const json fields = {record.head.previous_hash, record.head.version, record.head.deployment,
                       record.head.who,           record.head.when_ms, record.head.mark,
                       record.text_hash};
  return core::Sha256Hex(impl::Dump(fields));
}

std::string Encode(const Head& head) { return impl::Dump(ToJson(head)); }

std::string Encode(const VersionRecord& record) {
  json to = ToJson(record.head);
  to["text_hash"] = record.text_hash;
  if (const auto* text = std::get_if<std::string>(&record.content)) {
    to["text"] = *text;
  } else {
    auto& changes = to["difference"] = json::array();
    for (const auto& change : std::get<LineDiff>(record.content)) {
      changes.push_back(
          {{"line", change.line}, {"removed", change.removed}, {"inserted", change.inserted}});
    }
  }
  return impl::Dump(to);
}

std::optional<Head> DecodeHead(std::string_view text) {
  return HeadFromJson(impl::ParseJson(text));
}

std::optional<VersionRecord> DecodeRecord(std::string_view text) {
  const auto from = impl::ParseJson(text);
  auto head = HeadFromJson(from);
  auto text_hash = impl::StringField(from, "text_hash");
  if (!head || !text_hash) return std::nullopt;
  VersionRecord record{std::move(*head), std::move(*text_hash), {}};
  if (auto full = impl::StringField(from, "text")) {
    record.content = std::move(*full);
    return record;
  }
  const auto it = from.find("difference");
  if (it == from.end()) return std::nullopt;
  auto diff = DiffFromJson(*it);
  if (!diff) return std::nullopt;
  record.content = std::move(*diff);
  return record;
}

std::string GroupPrefix(std::uint64_t version) {
  return "config/v/" + Padded(GroupStart(version), kVersionDigits) + '/';
}

std::string VersionPrefix(std::uint64_t version) {
  return GroupPrefix(version) + Padded(version, kVersionDigits) + '/';
}

std::string RecordPrefix(const Head& head) { return VersionPrefix(head.version) + head.hash + '/'; }

std::vector<store::CompareAndSwap> PartWrites(const VersionRecord& record) {
  const std::string text = Encode(record);
  const std::string prefix = RecordPrefix(record.head);
  constexpr std::size_t kContentBytes = kMaxPartBytes - kPartHeaderBytes;
  const std::size_t count = (text.size() + kContentBytes - 1) / kContentBytes;
  std::vector<store::CompareAndSwap> writes;
  for (std::size_t i = 0; i < count; ++i) {
    std::string value = std::to_string(i) + '/' + std::to_string(count) + '\n';
    value.append(text, i * kContentBytes, kContentBytes);
    writes.push_back({prefix + Padded(i, kPartDigits), std::move(value), store::kCreateOnly});
  }
  return writes;
}

std::vector<VersionRecord> JoinParts(const std::vector<store::Entry>& entries) {
  std::map<std::string_view, std::map<std::string_view, std::string_view>> parts;
  for (const auto& entry : entries) {
    const std::string_view key = entry.key;
    const auto slash = key.rfind('/');
    if (slash == std::string_view::npos) continue;
    parts[key.substr(0, slash + 1)][key.substr(slash + 1)] = entry.value;
  }
  std::vector<VersionRecord> records;
  for (const auto& [prefix, by_part] : parts) {
    std::vector<std::string_view> values;
    for (const auto& [part, value] : by_part) values.push_back(value);
    const auto text = JoinValues(values);
    auto record = text ? DecodeRecord(*text) : std::nullopt;
    if (record && RecordPrefix(record->head) == prefix) records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace vanilladeck::config
