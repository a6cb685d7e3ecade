#include "vanilladeck/config/chain_reader.h"

#include <utility>
#include <vector>

namespace vanilladeck::config {

ChainReader::ChainReader(VersionChain chain, Head target, std::uint64_t start_version)
    : chain_(std::move(chain)),
      target_(std::move(target)),
      first_(chain_.IsEmpty() ? GroupStart(start_version == 0 ? target_.version : start_version)
                              : chain_.NewestVersion() + 1),
      next_(first_) {}

store::Request ChainReader::NextRequest() const {
  const bool only_one = next_ == target_.version;
  return store::List{only_one ? VersionPrefix(next_) : GroupPrefix(next_)};
}

core::Result<bool, ChainError> ChainReader::OnReply(const store::ListReply& reply) {
  for (auto& record : JoinParts(reply.entries)) {
    records_.emplace(record.head.hash, std::move(record));
  }
  next_ = GroupStart(next_) + kFullTextInterval;
  if (next_ <= target_.version) return core::success(false);
  if (auto linked = Link(); !linked) return core::failure(linked.error());
  return core::success(true);
}

core::Result<void, ChainError> ChainReader::Link() {
  std::vector<VersionRecord*> path;
  std::string hash = target_.hash;
  for (auto version = target_.version; version >= first_; --version) {
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
