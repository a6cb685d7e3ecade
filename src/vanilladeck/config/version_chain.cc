#include "vanilladeck/config/version_chain.h"

#include <algorithm>

#include "vanilladeck/core/hash.h"

namespace vanilladeck::config {
namespace {

std::size_t ContentBytes(const VersionRecord& record) {
  if (const auto* text = std::get_if<std::string>(&record.content)) return text->size();
  std::size_t bytes = 0;
  for (const auto& change : std::get<LineDiff>(record.content)) {
    for (const auto& line : change.removed) bytes += line.size();
    for (const auto& line : change.inserted) bytes += line.size();
  }
  return bytes;
}

std::optional<std::string> RebuildText(const VersionRecord& record, const std::string* previous) {
  if (const auto* text = std::get_if<std::string>(&record.content)) return *text;
  if (previous == nullptr) return std::nullopt;
  return ApplyDiff(*previous, std::get<LineDiff>(record.content));
}

}  // namespace

std::string Describe(const ChainError& error) {
  return "version " + std::to_string(error.version) + ": " +
         std::string(kChainErrorNames[static_cast<std::size_t>(error.code)]);
}

std::uint64_t VersionChain::OldestVersion() const noexcept {
  return records_.empty() ? 0 : records_.front()->head.version;
}

std::uint64_t VersionChain::NewestVersion() const noexcept {
  return records_.empty() ? 0 : records_.back()->head.version;
}

std::string VersionChain::NewestHash() const {
  return records_.empty() ? std::string() : records_.back()->head.hash;
}

VersionChain::RecordPtr VersionChain::Newest() const {
  return records_.empty() ? nullptr : records_.back();
}

VersionChain::RecordPtr VersionChain::Find(std::uint64_t version) const {
  if (records_.empty() || version < OldestVersion() || version > NewestVersion()) return nullptr;
  return records_[version - OldestVersion()];
}

VersionChain::RecordPtr VersionChain::FindByMark(std::string_view mark) const {
  const auto it = std::find_if(records_.rbegin(), records_.rend(),
                               [mark](const auto& record) { return record->head.mark == mark; });
  return it == records_.rend() ? nullptr : *it;
}

core::Result<void, ChainError> VersionChain::Verify(const VersionRecord& record) const {
  const auto& head = record.head;
  const auto fail = [&head](ChainErrorCode code) {
    return core::failure(ChainError{code, head.version});
  };
  if (head.version == 0 || RecordHash(record) != head.hash) return fail(ChainErrorCode::kWrongHash);
  if (records_.empty()) {
    if (!record.IsFullText()) return fail(ChainErrorCode::kNoFullText);
    return core::success();
  }
  const auto& newest = records_.back()->head;
  if (head.deployment != newest.deployment) return fail(ChainErrorCode::kOtherDeployment);
  if (head.version > newest.version + 1) return fail(ChainErrorCode::kGap);
  if (head.version != newest.version + 1 || head.previous_hash != newest.hash) {
    return fail(ChainErrorCode::kBrokenChain);
  }
  return core::success();
}

core::Result<void, ChainError> VersionChain::Append(VersionRecord record) {
  if (auto valid = Verify(record); !valid) return valid;
  auto text = RebuildText(record, text_.get());
  if (!text || core::Sha256Hex(*text) != record.text_hash) {
    return core::failure(ChainError{ChainErrorCode::kWrongText, record.head.version});
  }
  text_ = std::make_shared<const std::string>(std::move(*text));
  content_bytes_ += ContentBytes(record);
  records_.push_back(std::make_shared<const VersionRecord>(std::move(record)));
  DropOldGroups();
  return core::success();
}

void VersionChain::DropOldGroups() {
  while (records_.size() > max_records_ || content_bytes_ > kMaxContentBytes) {
    const auto next = std::find_if(records_.begin() + 1, records_.end(),
                                   [](const auto& record) { return record->IsFullText(); });
    if (next == records_.end()) return;
    for (auto it = records_.begin(); it != next; ++it) content_bytes_ -= ContentBytes(**it);
    records_.erase(records_.begin(), next);
  }
}

VersionRecord VersionChain::MakeNext(std::string_view text, std::string_view deployment,
                                     std::string_view who, std::int64_t when_ms,
                                     std::string_view mark) const {
  VersionRecord record;
  record.head = {NewestVersion() + 1, "",      NewestHash(),     std::string(deployment),
                 std::string(who),    when_ms, std::string(mark)};
  record.text_hash = core::Sha256Hex(text);
  const bool starts_group = GroupStart(record.head.version) == record.head.version;
  if (starts_group || !text_) {
    record.content = std::string(text);
  } else {
    record.content = DiffLines(*text_, text);
  }
  record.head.hash = RecordHash(record);
  return record;
}

std::optional<std::string> VersionChain::TextAt(std::uint64_t version) const {
  const auto wanted = Find(version);
  if (!wanted) return std::nullopt;
  std::size_t start = version - OldestVersion();
  while (!records_[start]->IsFullText()) --start;
  std::optional<std::string> text;
  for (std::size_t i = start; i <= version - OldestVersion(); ++i) {
    text = RebuildText(*records_[i], text ? &*text : nullptr);
    if (!text) return std::nullopt;
  }
  return text;
}

std::optional<LineDiff> VersionChain::Difference(std::uint64_t from, std::uint64_t to) const {
  const auto base = from == 0 ? std::optional<std::string>("") : TextAt(from);
  const auto changed = TextAt(to);
  if (!base || !changed) return std::nullopt;
  return DiffLines(*base, *changed);
}

std::vector<VersionChain::RecordPtr> VersionChain::RecordsAfter(std::uint64_t version) const {
  if (records_.empty() || version >= NewestVersion()) return {};
  std::size_t start = 0;
  if (version + 1 > OldestVersion()) {
    start = version + 1 - OldestVersion();
  } else if (version + 1 < OldestVersion()) {
    start = records_.size() - 1;
    while (!records_[start]->IsFullText()) --start;
  }
  return {records_.begin() + static_cast<std::ptrdiff_t>(start), records_.end()};
}

}  // namespace vanilladeck::config
