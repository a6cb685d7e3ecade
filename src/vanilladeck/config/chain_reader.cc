#include "vanilladeck/config/chain_reader.h"

#include <utility>
#include <vector>

namespace vanilladeck::config {

ChainReader::ChainReader(VersionChain chain, Head target, std::uint64_t start_version)
    : chain_(std::move(chain)),
      target_(std::move(target)),
      first_version_(chain_.IsEmpty()
                         ? GroupStart(start_version == 0 ? target_.version : start_version)
                         : chain_.NewestVersion() + 1),
      next_version_(first_version_) {}

store::Request ChainReader::NextRequest() const {
  const bool only_head_missing = next_version_ == target_.version;
  return store::List{only_head_missing ? VersionPrefix(next_version_) : GroupPrefix(next_version_)};
}

core::Result<bool, ChainError> ChainReader::OnReply(const store::ListReply& reply) {
  for (auto& record : JoinParts(reply.entries)) {
    records_.emplace(record.head.hash, std::move(record));
  }
  next_version_ = GroupStart(next_version_) + kFullTextInterval;
  if (next_version_ <= target_.version) return core::success(false);
  if (auto linked = AppendLinkedRecords(); !linked) return core::failure(linked.error());
  return core::success(true);
}

core::Result<void, ChainError> ChainReader::AppendLinkedRecords() {
  std::vector<VersionRecord*> path;
  std::string hash = target_.hash;
  for (auto version = target_.version; version >= first_version_; --version) {
    const auto it = records_.find(hash);
    if (it == records_.end() || it->second.head.version != version) {
      return core::failure(ChainError{ChainErrorCode::kMissingRecord, version});
    }
    path.push_back(&it->second);
    hash = it->second.head.previous_hash;
  }
  for (auto it = path.rbegin(); it != path.rend(); ++it) {
    if (auto appended = chain_.Append(std::move(**it)); !appended) return appended;
  }
  return core::success();
}

}  // namespace vanilladeck::config
